// Handles one request from its arrival to the end of its response.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_PROXIED_REQUEST_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_PROXIED_REQUEST_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "crash_guard.h"
#include "event_splitter.h"
#include "forward_link.h"
#include "gateway_error.h"
#include "gateway_state.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/quarantine/fingerprint.h"
#include "origin_link.h"
#include "path_monitor.h"
#include "store_sync.h"
#include "stream_records.h"

namespace hawthornnotch::gateway::internal {

// Finds the route, sends the request to a backend server, retries at others as far as the route and
// the retry budget allow, and delivers the response.
//
// A non-idempotent request is retried only if nothing was sent or if the server states that it has
// not executed the request.  A resumable stream continues at another server after its last event.
// If all attempts fail, the caller gets a `gateway_error`; if the response has already begun, the
// connection is aborted.
//
// Ownership: lives in the coroutine of its connection.  Thread safety: none.
class proxied_request {
 public:
  // What is known of the versions that began streams.
  struct stream_resumption {
    origin_link& origins;
    stream_records& records;
    server_list_poller& list;
  };

  // How servers are reached.
  struct server_access {
    path_monitor& paths;
    forward_link& forwards;
  };

  proxied_request(gateway_state& shared, state_updater& updater, crash_guard& crashes,
                  stream_resumption& resumption, server_access access, net::response_writer& writer,
                  const boost::asio::any_io_executor& executor);
  ~proxied_request();
  proxied_request(const proxied_request&) = delete;
  proxied_request& operator=(const proxied_request&) = delete;

  boost::asio::awaitable<void> run(net::http_request received);

 private:
  // What to do after an attempt: nothing, try another server, or fail the request.
  enum class attempt_outcome : std::uint8_t { done, may_retry, give_up };

  // After startup, waits for the first configuration and server list for at most `startup_hold`.
  boost::asio::awaitable<void> await_initial_state();
  // \returns the error if there is no route, nothing if one was found.
  [[nodiscard]] std::optional<gateway_error> find_route();
  // \returns whether the process is stopping and may end before the request does.
  [[nodiscard]] bool may_outlast_process() const;
  // \returns how long the caller and the route let the request take.
  [[nodiscard]] duration allowed_time() const;
  void prepare();
  [[nodiscard]] bool is_resumable() const;
  // \returns whether the caller resumes a stream that another attempt began.
  [[nodiscard]] bool resumes_stream() const;
  [[nodiscard]] streams::stream_key stream_key_of(std::string attempt) const;
  // Finds the software version that began the resumed stream.  \returns false if it is unknown.
  boost::asio::awaitable<bool> find_version();
  // \returns the origin of the resumed stream by the records in the platform's store.
  boost::asio::awaitable<std::optional<streams::stream_origin>> find_recorded_origin();
  // \returns the one version at which the service's streams can have begun; none if there may be
  // several.
  // \param complete whether the server list shows every version in service, or the VMs that would
  // know of another one were reached.
  [[nodiscard]] std::optional<std::string> only_version(bool complete) const;
  // \returns whether the request begins a stream of a service that has several recent versions.
  [[nodiscard]] bool begins_mixed_stream() const;
  // \returns the versions at which a new stream of a mixed service begins, in this order where
  // their servers take it; empty if it may begin at any.
  [[nodiscard]] std::vector<std::string> preferred_versions() const;
  // \returns whether the stream may begin at this version, perhaps once the store's record names
  // it.
  [[nodiscard]] bool may_begin_at(const std::string& version) const;
  [[nodiscard]] streams::begin_permission permission_at(const std::string& version) const;
  // Chooses a server, of the version at which the stream has to go on or may begin.
  [[nodiscard]] result<dispatch::placement, dispatch::placement_failure> choose_server(
      dispatch::placement_query query);
  // \returns the server at which the stream's first event is expected sooner: the preferred one, or
  // one of any version, where it has to wait for its record.
  [[nodiscard]] dispatch::placement prefer_sooner(const dispatch::placement& preferred,
                                                  dispatch::placement_query query);
  // Finds the only version at which the stream can have begun, since it is in no record.
  // \returns false if there may be several.
  boost::asio::awaitable<bool> prove_version();
  // \returns whether the facts prove a version.
  bool take_proof(const streams::begin_facts& facts, std::string_view known_by);
  void log_resumption(std::string_view known_by, duration age) const;
  void log_refusal(bool peers_answered) const;
  // Called before events of the response are forwarded.  \returns whether they may be.
  boost::asio::awaitable<bool> on_stream_begun();
  // Ends the attempt, as nothing can prove later at which version the stream began.
  attempt_outcome on_stream_unrecorded(net::response_stream& answer);
  // Called after the whole response was forwarded.
  void on_stream_finished();
  [[nodiscard]] bool is_retryable() const;
  [[nodiscard]] duration time_remaining() const;
  // \returns whether enough time remains to send the request to a server.
  [[nodiscard]] bool has_time_to_send() const;
  [[nodiscard]] bool is_aborted() const { return caller_left_ || time_over_; }
  void monitor_caller();
  void start_timeout();
  void cancel_exchange();
  // Ends the request as at its deadline.
  void end_now();
  // Ends the attempt, as its answer takes more memory than there is.
  void give_way();

  boost::asio::awaitable<void> send_with_retries();
  boost::asio::awaitable<attempt_outcome> send_attempt(const dispatch::placement& to);
  using opened_exchange = result<std::unique_ptr<net::response_stream>, net::net_failure>;
  // Sends the request to the server, or through another VM if this one does not reach the server.
  boost::asio::awaitable<opened_exchange> open_exchange(const dispatch::placement& to);
  boost::asio::awaitable<opened_exchange> open_directly(const dispatch::placement& to);
  boost::asio::awaitable<opened_exchange> open_through_peer(const dispatch::placement& to);
  [[nodiscard]] net::http_request message_for(const dispatch::placement& to) const;
  // \returns whether no other VM was found that sends to the service.
  [[nodiscard]] bool nobody_sends() const;
  boost::asio::awaitable<attempt_outcome> deliver_response(net::response_stream& answer);
  boost::asio::awaitable<attempt_outcome> deliver_body(net::response_stream& answer);
  // Reads a complete response before sending it, so that a failure can still be retried.
  boost::asio::awaitable<attempt_outcome> deliver_buffered(net::response_stream& answer);
  // Forwards a response as it arrives.  \param begin what was read so far.
  boost::asio::awaitable<attempt_outcome> deliver_unbuffered(net::response_stream& answer,
                                                             std::string begin);
  boost::asio::awaitable<attempt_outcome> finish_buffered(net::http_response response);
  boost::asio::awaitable<bool> write_body(std::string_view bytes);
  attempt_outcome on_caller_left(net::response_stream& answer);
  boost::asio::awaitable<attempt_outcome> deliver_events(net::response_stream& answer);
  void record_event_gap();
  boost::asio::awaitable<bool> start_response(const net::http_response& head);
  boost::asio::awaitable<bool> forward_events(const net::http_response& head,
                                              const event_batch& batch);
  attempt_outcome on_attempt_failed(const net::net_failure& failure);
  // Called when an answer could not be read to its end.
  attempt_outcome on_read_failed(const net::net_failure& failure);
  attempt_outcome on_attempt_refused(const response_info& details, unsigned status);
  // Applies the server's announcements that it is leaving, full or limited.
  void apply_server_notices(const response_info& details);
  [[nodiscard]] bool server_accepts_work();
  // \returns whether the request is known to crash servers and none has begun to answer it.
  [[nodiscard]] bool is_quarantined();
  // Records events of the current server's answer.
  void record_answer_events(std::uint32_t count);
  // Counts the request for usage reports when it begins to run, once for all its attempts.
  void count_usage();
  boost::asio::awaitable<void> finish_without_server();
  boost::asio::awaitable<void> send_error(gateway_error error);
  [[nodiscard]] std::optional<duration> retry_after(gateway_error error);
  // \returns the minimum wait, to which jitter is added.
  [[nodiscard]] duration base_retry_after(gateway_error error) const;
  [[nodiscard]] net::exchange_limits limits_for(const dispatch::placement& to);
  // Takes a retry from the budget.  \returns whether there was one.
  [[nodiscard]] bool consume_retry();
  void finish_attempt(dispatch::attempt_end end);
  void log_attempt(const dispatch::placement& to) const;
  // Counts and logs that no server accepts requests now.
  void record_held_back() const;
  void log_request();

  gateway_state& shared_;
  state_updater& updater_;
  crash_guard& crashes_;
  stream_resumption& resumption_;
  server_access access_;
  net::response_writer& writer_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<net::cancellation_token> breaker_;
  // Cleared on destruction, so that later callbacks do nothing.
  std::shared_ptr<bool> alive_;

  caller_request request_;
  std::shared_ptr<const routes::route_table> table_;
  const routes::route* route_ = nullptr;
  const routes::workspace_access* workspace_ = nullptr;
  std::string service_;
  std::vector<dispatch::prompt_prefix> prefixes_;
  // The parts of the prompt that other requests share, and the request itself.
  std::vector<quarantine::fingerprint> carried_;
  // Events of the complete response by the caller's estimate; 0 if there is none.
  double expected_events_ = 0;
  time_point arrived_at_;
  time_point deadline_;
  std::optional<dispatch::attempt> attempt_;
  std::vector<std::string> tried_servers_;
  // An error response of a server, delivered if no retry yields a better one.
  std::optional<net::http_response> fallback_response_;
  event_splitter splitter_;
  // The answer that is being delivered.
  net::response_stream* answer_ = nullptr;
  held_memory::share held_;
  // The answer took more memory than there was.
  bool gave_way_ = false;
  // Part of an answer is being written to the caller.
  bool writing_ = false;
  // Number of servers that may have executed the request.
  std::uint32_t possible_executions_ = 0;
  // The current attempt was sent by this VM itself.
  bool sent_directly_ = true;
  // Number of other VMs that refused to send an attempt.
  std::size_t forward_refusals_ = 0;
  // Number of servers that rejected the request without executing it.
  std::uint32_t refusals_ = 0;
  // No server was available, since all asked for a pause or are at their limit.
  bool all_paused_ = false;
  // The stream has begun at this software version and goes on at no other.
  std::optional<std::string> required_version_;
  // Why the version of the resumed stream is not proved.
  streams::begin_doubt doubt_ = streams::begin_doubt::records_unread;
  bool version_unavailable_ = false;
  // The request, or a part of it, is known to crash servers.
  bool quarantined_ = false;
  // A server may have received the request, so any further attempt needs the retry budget.
  bool reached_server_ = false;
  bool head_sent_ = false;
  bool usage_counted_ = false;
  bool caller_left_ = false;
  bool time_over_ = false;
  // For the log event at the end.
  std::string outcome_ = "unfinished";
  unsigned status_ = 0;
  std::uint32_t events_ = 0;
  std::optional<duration> time_to_first_event_;
  time_point last_events_at_;
  // Timeout for the next event from the current server.
  duration event_timeout_;
  duration longest_gap_;
  dispatch::placement placement_;
  // As reported by the last server.
  std::optional<dispatch::reported_load> reported_load_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_PROXIED_REQUEST_H_
