// One request from its arrival to the end of its answer.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_PROXIED_REQUEST_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_PROXIED_REQUEST_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_splitter.h"
#include "gateway_error.h"
#include "gateway_state.h"
#include "hawthornnotch/net/http_server.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// Finds the route, sends the request to one backend server after another as far as its route
// allows, and hands the answer on.
//
// A non-idempotent request is sent again only if the server before states that it has not run it,
// or if nothing was sent.  Ownership: lives in the coroutine of its connection.
class proxied_request {
 public:
  proxied_request(gateway_state& shared, state_updater& updater, net::response_writer& writer,
                  const boost::asio::any_io_executor& executor);
  ~proxied_request();
  proxied_request(const proxied_request&) = delete;
  proxied_request& operator=(const proxied_request&) = delete;

  boost::asio::awaitable<void> run(net::http_request received);

 private:
  // What follows a sending.
  enum class attempt_outcome : std::uint8_t { done, may_retry, give_up };

  // Waits for the first configuration and server list of a process that has just started.
  boost::asio::awaitable<void> await_initial_state();
  // \returns why there is no route, or nothing where one was found.
  [[nodiscard]] std::optional<gateway_error> find_route();
  [[nodiscard]] bool too_late_to_stream() const;
  void prepare();
  [[nodiscard]] bool is_retryable() const;
  [[nodiscard]] duration time_remaining() const;
  // \returns whether enough time is left to send the request to a server.
  [[nodiscard]] bool has_time_to_send() const;
  [[nodiscard]] bool is_over() const { return caller_left_ || time_over_; }
  void watch_caller();
  void start_timeout();
  void cancel_exchange();

  boost::asio::awaitable<void> send_with_retries();
  boost::asio::awaitable<attempt_outcome> send_attempt(const dispatch::placement& to);
  boost::asio::awaitable<attempt_outcome> deliver_response(net::response_stream& answer);
  boost::asio::awaitable<attempt_outcome> deliver_buffered(net::response_stream& answer);
  boost::asio::awaitable<attempt_outcome> deliver_unbuffered(net::response_stream& answer,
                                                             std::string begin);
  boost::asio::awaitable<attempt_outcome> finish_buffered(net::http_response whole);
  boost::asio::awaitable<bool> write_body(std::string_view bytes);
  attempt_outcome on_caller_left(net::response_stream& answer);
  boost::asio::awaitable<attempt_outcome> deliver_events(net::response_stream& answer);
  void record_event_gap();
  boost::asio::awaitable<bool> start_response(const net::http_response& head);
  boost::asio::awaitable<bool> forward(const net::http_response& head, const event_batch& batch);
  attempt_outcome on_attempt_failed(const net::net_failure& why);
  attempt_outcome on_attempt_refused(const response_info& info, unsigned status);
  // Takes in what the server says of itself.
  void apply_server_notices(const response_info& info);
  [[nodiscard]] bool server_accepts_work() const;
  boost::asio::awaitable<void> finish_without_server();
  boost::asio::awaitable<void> send_error(gateway_error why);
  [[nodiscard]] std::optional<duration> retry_after(gateway_error why);
  // \returns the least time to wait before the spread.
  [[nodiscard]] duration base_retry_after(gateway_error why) const;
  [[nodiscard]] net::exchange_limits limits_for(const dispatch::placement& to) const;
  [[nodiscard]] bool consume_retry();
  void finish_attempt(dispatch::send_end end);
  void log_attempt(const dispatch::placement& to) const;
  void log_request();

  gateway_state& shared_;
  state_updater& updater_;
  net::response_writer& writer_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<net::exchange_breaker> breaker_;
  // Cleared when the run ends: callbacks that come later do nothing.
  std::shared_ptr<bool> alive_;

  caller_request request_;
  std::shared_ptr<const routes::route_table> table_;
  const routes::route* route_ = nullptr;
  const routes::workspace_access* workspace_ = nullptr;
  std::string service_;
  std::vector<dispatch::prompt_prefix> prefixes_;
  // Events of the whole answer by the caller's estimate; 0 where there is none.
  double expected_events_ = 0;
  time_point arrived_;
  time_point deadline_;
  std::optional<dispatch::sending> attempt_;
  std::vector<std::string> tried_servers_;
  // A failure that the server itself reported, delivered if no other server does better.
  std::optional<net::http_response> fallback_response_;
  event_splitter splitter_;
  // Servers that may have run the request.
  std::uint32_t possible_executions_ = 0;
  // Servers that refused it without running it.
  std::uint32_t refusals_ = 0;
  // No server takes the request for now, since all that could are full.
  bool all_paused_ = false;
  // A server has seen the request: from then on, sending it again is a repeat.
  bool reached_server_ = false;
  bool head_sent_ = false;
  bool caller_left_ = false;
  bool time_over_ = false;
  // For the log line at the end.
  std::string outcome_ = "unfinished";
  unsigned status_ = 0;
  std::uint32_t events_ = 0;
  std::optional<duration> time_to_first_event_;
  time_point last_events_at_;
  // The longest wait for the next event at the server that answers.
  duration event_timeout_;
  duration longest_gap_;
  dispatch::placement chosen_;
  // As the last server told it.
  std::optional<dispatch::reported_load> load_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_PROXIED_REQUEST_H_
