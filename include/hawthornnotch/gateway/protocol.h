/// \file
/// Interface between the gateway and a platform's message formats.
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
#include "hawthornnotch/servers/rate_limit.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::gateway {

/// A caller's decoded request.
struct caller_request {
  /// Method, target and body as received, and the headers that may be forwarded to a server.
  net::http_request message;
  /// Id of this attempt of the caller; empty if none was sent.
  std::string id;
  std::string host;
  /// Path without the query.
  std::string path;
  std::string api_key;
  /// The caller's timeout, counted from when it sent the request.
  std::optional<duration> time_left;
  /// Set if the caller resumes a broken stream.
  std::optional<std::uint64_t> last_event_id;
  /// Id of the attempt that brought the first event of the resumed stream; empty if none was sent.
  std::string resumed_attempt;
  dispatch::prompt_shape prompt;
};

/// How a request is forwarded to a backend server.
struct forward_options {
  /// Id of the intended server; any other server at the address must reject the request.
  std::string server_id;
  duration time_left;
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Empty if the request belongs to no workspace.
  std::string workspace;
  /// Server from which the receiving server may copy cached parts of the prompt that it lacks.
  std::optional<endpoint> fetch_from;
  /// Id of the event after which the stream resumes.
  std::optional<std::uint64_t> resume_after;
};

/// Decoded head of a server's response.
struct response_info {
  /// Id of the request that is answered; empty if the server sent none.
  std::string id;
  /// True if the response carries the server's seal, i.e. was produced by the server itself.
  bool sealed = false;
  /// True if the server states that it has not executed the request and will not.
  bool not_run = false;
  /// True if a server other than the one meant answered; it has not executed the request either.
  bool wrong_server = false;
  /// True if the server announces that it is leaving.
  bool leaving = false;
  /// How long the server asks this VM to send it no requests; none if it does not ask.
  std::optional<duration> pause;
  /// What the answer says of the rate of requests that the server takes from all VMs together.
  servers::limit_notice limit;
  /// Rejections a second that the server bears before it falls over; none if it is not brittle.
  std::optional<std::uint32_t> bearable_rejections_per_s;
  /// True if an intermediary changed the body, e.g. its encoding.
  bool body_transformed = false;
  /// Load that the server reports, if it does.
  std::optional<dispatch::reported_load> load;
  /// True if the server reports its load in a form that can't be decoded.
  bool load_malformed = false;
};

enum class decode_failure : std::uint8_t { malformed };

/// Translates between a platform's messages and the gateway's types.  Stateless; makes no
/// decisions.
///
/// Configurations and server entries that can't be decoded fail as `malformed`.  Malformed headers
/// of requests and responses count as absent.
///
/// Ownership: outlives the gateway.  Thread safety: all members are thread safe.
class protocol {
 public:
  virtual ~protocol() = default;

  [[nodiscard]] virtual caller_request decode_request(net::http_request received) const = 0;
  [[nodiscard]] virtual net::http_request encode_request(const caller_request& request,
                                                         const forward_options& order) const = 0;
  [[nodiscard]] virtual response_info decode_answer(const net::http_response& head) const = 0;
  /// \returns the headers of a server's response that are passed to the caller.
  [[nodiscard]] virtual net::header_list headers_for_caller(
      const net::http_response& head) const = 0;
  /// \param text the configuration as stored in the platform's store.
  [[nodiscard]] virtual result<routes::routing_config, decode_failure> decode_config(
      std::string_view text) const = 0;
  /// \returns the entry of the server list under `key`.
  [[nodiscard]] virtual result<servers::server_entry, decode_failure> decode_server(
      std::string_view key, std::string_view value) const = 0;
  /// Key of the configuration, and the prefix under which it is watched.
  [[nodiscard]] virtual std::string_view config_key() const = 0;
  [[nodiscard]] virtual std::string_view config_prefix() const = 0;
  /// Prefix of the keys of the server list.
  [[nodiscard]] virtual std::string_view server_prefix() const = 0;
  /// Path of the balancer's readiness probe.
  [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

}  // namespace hawthornnotch::gateway

#endif  // HAWTHORNNOTCH_GATEWAY_PROTOCOL_H_
