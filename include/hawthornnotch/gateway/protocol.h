/// \file
/// What the gateway needs to know of the messages of a platform, free of their names.
#ifndef HAWTHORNNOTCH_GATEWAY_PROTOCOL_H_
#define HAWTHORNNOTCH_GATEWAY_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/dispatch/prompt.h"
#include "hawthornnotch/dispatch/server_state.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/routes/routing_config.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::gateway {

/// A caller's request as it was read.
struct caller_request {
  /// Method, target and body as they came, and the headers that a server may see.
  net::http_request message;
  /// Names this try of the caller; empty where none was sent.
  std::string id;
  std::string host;
  /// Path without the query part.
  std::string path;
  std::string api_key;
  /// How long the caller waits, from the moment of sending.
  std::optional<duration> time_left;
  /// Set where the caller goes on with a stream that broke.
  std::optional<std::uint64_t> last_event_id;
  dispatch::prompt_shape prompt;
};

/// How a request goes to a backend server.
struct forward_options {
  /// Another server at the address must refuse the request.
  std::string server_id;
  duration time_left;
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Empty where the request belongs to no workspace.
  std::string workspace;
  /// The server copies parts of the prompt from this one, if it holds any that are missing.
  std::optional<endpoint> fetch_from;
  /// The stream goes on behind this event.
  std::optional<std::uint64_t> resume_after;
};

/// What the head of a server's answer says.
struct response_info {
  /// The request that is answered; empty where the server names none.
  std::string id;
  /// True if the server vouches that it gave this answer.
  bool sealed = false;
  /// True if the server states that it has not run the request and will not.
  bool not_run = false;
  /// True if another server than the one that was meant answered, which has not run it either.
  bool wrong_server = false;
  /// True if the server says that it leaves.
  bool leaving = false;
  /// How long the server wants nothing more from this VM; none where it does not say.
  std::optional<duration> pause;
  /// True if the body is not the server's own, e.g. encoded on the way.
  bool body_transformed = false;
  /// The server's own count of its work, where it tells it.
  std::optional<dispatch::reported_load> load;
};

enum class decode_failure : std::uint8_t { malformed };

/// Translates between a platform's messages and the gateway's types.  Holds no state and takes no
/// decision.
///
/// Ownership: outlives the gateway.  Thread safety: all members are thread safe.
class protocol {
 public:
  virtual ~protocol() = default;

  [[nodiscard]] virtual caller_request decode_request(net::http_request received) const = 0;
  [[nodiscard]] virtual net::http_request encode_request(const caller_request& request,
                                                         const forward_options& order) const = 0;
  [[nodiscard]] virtual response_info decode_answer(const net::http_response& head) const = 0;
  /// \returns the headers of a server's answer that the caller sees.
  [[nodiscard]] virtual net::header_list headers_for_caller(
      const net::http_response& head) const = 0;
  /// \param text the configuration as the platform's store holds it.
  [[nodiscard]] virtual result<routes::routing_config, decode_failure> decode_config(
      std::string_view text) const = 0;
  /// \returns the entry of the server list under `key`.
  [[nodiscard]] virtual result<servers::server_entry, decode_failure> decode_server(
      std::string_view key, std::string_view value) const = 0;
  /// Key of the configuration, and the prefix that a watch of it takes.
  [[nodiscard]] virtual std::string_view config_key() const = 0;
  [[nodiscard]] virtual std::string_view config_prefix() const = 0;
  /// Prefix of the keys of the server list.
  [[nodiscard]] virtual std::string_view server_prefix() const = 0;
  /// Path that the platform's balancer asks for readiness.
  [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

}  // namespace hawthornnotch::gateway

#endif  // HAWTHORNNOTCH_GATEWAY_PROTOCOL_H_
