// One request from its arrival to the end of its answer.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_REQUEST_RUN_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_REQUEST_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_splitter.h"
#include "hawthornnotch/net/http_server.h"
#include "own_answer.h"
#include "state.h"
#include "store_follower.h"

namespace hawthornnotch::gateway::internal {

// Finds the route, sends the request to one backend server after another as far as its route
// allows, and hands the answer on.
//
// A non-idempotent request is sent again only if the server before states that it has not run it,
// or if nothing was sent.  Ownership: lives in the coroutine of its connection.
class request_run {
 public:
  request_run(state& shared, knowledge& known, net::response_writer& writer,
              const boost::asio::any_io_executor& executor);
  ~request_run();
  request_run(const request_run&) = delete;
  request_run& operator=(const request_run&) = delete;

  boost::asio::awaitable<void> run(net::http_request received);

 private:
  // What follows a sending.
  enum class next_step : std::uint8_t { done, may_repeat, must_end };

  // Waits for the first configuration and server list of a process that has just started.
  boost::asio::awaitable<void> await_knowledge();
  // \returns why there is no route, or nothing where one was found.
  [[nodiscard]] std::optional<own_answer> resolve();
  [[nodiscard]] bool comes_too_late() const;
  void prepare();
  [[nodiscard]] bool may_run_again() const;
  [[nodiscard]] duration left() const;
  // \returns whether enough time is left to send the request to a server.
  [[nodiscard]] bool time_to_send() const;
  [[nodiscard]] bool over() const { return caller_left_ || time_over_; }
  void watch_caller();
  void watch_time();
  void break_off();

  boost::asio::awaitable<void> send_until_answered();
  boost::asio::awaitable<next_step> send_once(const dispatch::placement& to);
  boost::asio::awaitable<next_step> deliver(net::response_stream& answer);
  boost::asio::awaitable<next_step> deliver_whole(net::response_stream& answer);
  boost::asio::awaitable<next_step> deliver_long(net::response_stream& answer, std::string begin);
  boost::asio::awaitable<next_step> end_whole(net::http_response whole);
  boost::asio::awaitable<bool> write_on(std::string_view bytes);
  next_step caller_has_left(net::response_stream& answer);
  boost::asio::awaitable<next_step> deliver_events(net::response_stream& answer);
  void note_events();
  boost::asio::awaitable<bool> start_answer(const net::http_response& head);
  boost::asio::awaitable<bool> forward(const net::http_response& head, const event_batch& batch);
  next_step after_failure(const net::net_failure& why);
  next_step after_refusal(const response_info& facts, unsigned status);
  // Takes in what the server says of itself.
  void take_notices(const response_info& facts);
  [[nodiscard]] bool may_send_now() const;
  boost::asio::awaitable<void> answer_without_server();
  boost::asio::awaitable<void> refuse(own_answer why);
  [[nodiscard]] std::optional<duration> retry_after(own_answer why);
  // \returns the least time to wait before the spread.
  [[nodiscard]] duration base_wait(own_answer why) const;
  [[nodiscard]] net::exchange_limits limits_for(const dispatch::placement& to) const;
  [[nodiscard]] bool repeat_allowed();
  void finish_sending(dispatch::attempt_end end);
  void log_sending(const dispatch::placement& to) const;
  void log_end();

  state& shared_;
  knowledge& known_;
  net::response_writer& writer_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<net::cancellation_token> breaker_;
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
  time_point end_at_;
  std::optional<dispatch::attempt> sending_;
  std::vector<std::string> tried_;
  // A failure that the server itself reported, delivered if no other server does better.
  std::optional<net::http_response> kept_answer_;
  event_splitter splitter_;
  // Servers that may have run the request.
  std::uint32_t runs_ = 0;
  // Servers that refused it without running it.
  std::uint32_t refusals_ = 0;
  // No server takes the request for now, since all that could are full.
  bool all_paused_ = false;
  // A server has seen the request: from then on, sending it again is a repeat.
  bool arrived_somewhere_ = false;
  bool head_sent_ = false;
  bool caller_left_ = false;
  bool time_over_ = false;
  // For the log line at the end.
  std::string outcome_ = "unfinished";
  unsigned status_ = 0;
  std::uint32_t events_ = 0;
  std::optional<duration> first_event_after_;
  time_point last_events_at_;
  // The longest wait for the next event at the server that answers.
  duration event_timeout_;
  duration longest_gap_;
  dispatch::placement chosen_;
  // As the last server told it.
  std::optional<dispatch::reported_load> load_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_REQUEST_RUN_H_
