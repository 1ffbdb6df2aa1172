// Sends attempts through other entry VMs, and sends theirs.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_FORWARD_LINK_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_FORWARD_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/servers/server_entry.h"
#include "path_monitor.h"

namespace hawthornnotch::gateway::internal {

// What another entry VM made of an attempt that it was asked to send.
enum class forward_outcome : std::uint8_t {
  // The response is the server's.
  responded,
  // Nothing was sent, and that VM sends nothing to the service for now.
  not_sent,
  // Nothing was sent, since the server could not be reached.
  server_unreachable,
  // The request may have been sent.
  may_be_sent,
};

// An attempt that is sent through another entry VM.
struct forwarded_attempt {
  std::string_view request_id;
  const servers::server_entry& server;
  duration time_left;
};

// An entry VM without a path to a server sends its attempt through one that has a path. The other
// VM only sends: everything that is decided about the attempt is decided by the first one.
//
// The request goes to the peers' port with headers that name the server; its other headers, method,
// target and body are the server's. The response is the server's with a header that says so;
// without it the other VM has sent nothing, unless the response names a failure after sending.
//
// Ownership: refers to the state and the monitor, which outlive it.  Thread safety: none.
class forward_link {
 public:
  forward_link(gateway_state& shared, path_monitor& paths) : shared_(shared), paths_(paths) {}

  // Sends the attempt through another VM: one after the other is asked until one sends it.
  // \param refusals is increased by the number of VMs that send nothing to the service.
  // \returns the server's response; `connect` with nothing sent if no VM reaches the server.
  boost::asio::awaitable<result<std::unique_ptr<net::response_stream>, net::net_failure>> open(
      const forwarded_attempt& attempt, net::http_request message, net::exchange_limits limits,
      std::size_t& refusals);
  // Asks a few other VMs whether the server has crashed.  \returns `accepted` if one of them
  // reaches it, `refused` if none does and one found that it has crashed.
  boost::asio::awaitable<net::connect_check> check_crash(const servers::server_entry& server);
  // \returns whether another VM may be asked to send to the service.
  [[nodiscard]] bool has_forwarder(std::string_view service) const;
  [[nodiscard]] static bool is_forwarded(const net::http_request& request);
  // Sends an attempt of another VM.
  boost::asio::awaitable<void> handle(net::http_request request, net::response_writer& writer);
  // \returns the number of other VMs' attempts that are in progress here.
  [[nodiscard]] std::size_t open_attempts() const { return open_attempts_.size(); }
  // Breaks off other VMs' attempts, before the process ends.
  void cancel_attempts();

 private:
  struct incoming;
  [[nodiscard]] const servers::server_entry* find_server(const incoming& attempt) const;
  [[nodiscard]] std::optional<forward_outcome> refusal_of(
      const servers::server_entry* listed) const;
  boost::asio::awaitable<void> answer_check(const incoming& attempt, net::response_writer& writer);
  boost::asio::awaitable<void> deliver(net::response_stream& answer, net::response_writer& writer);
  boost::asio::awaitable<void> refuse(const incoming& attempt, forward_outcome outcome,
                                      net::response_writer& writer);
  boost::asio::awaitable<void> fail(const incoming& attempt, const net::net_failure& failure,
                                    net::response_writer& writer);

  gateway_state& shared_;
  path_monitor& paths_;
  std::map<const void*, std::shared_ptr<net::cancellation_token>> open_attempts_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_FORWARD_LINK_H_
