// Runs one gateway with a fake store, fake backend servers and a caller over loopback sockets.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_GATEWAY_FIXTURE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/array.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "hawthornnotch/gateway/gateway.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/net/http_server.h"
#include "platform/wire_protocol.h"

namespace hawthornnotch::test {

using net::header_list;
using net::http_request;
using net::http_response;

// Longest wait for a condition, and how often it is checked.
constexpr auto await_timeout = std::chrono::seconds(20);
constexpr auto poll_period = std::chrono::milliseconds(5);

// Two threads that run the fakes.
class loopback_runtime {
 public:
  loopback_runtime();
  ~loopback_runtime();
  loopback_runtime(const loopback_runtime&) = delete;
  loopback_runtime& operator=(const loopback_runtime&) = delete;
  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  std::unique_ptr<net::http_server> serve(net::request_handler handler);
  // Ends the threads.  Call before the fakes that they run are destroyed.
  void stop();
  template <class Result>
  Result await(boost::asio::awaitable<Result> what) {
    return boost::asio::co_spawn(boost::asio::make_strand(context_), std::move(what),
                                 boost::asio::use_future)
        .get();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread threads_[2];
};

// The platform's store: keys, revisions, leases and watches.  Answers 503 to every call while it is
// unavailable.
class fake_store {
 public:
  struct stored_value {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };
  // The contents of the store at one moment.
  struct snapshot {
    std::map<std::string, stored_value> items;
    std::int64_t revision = 100;
    std::set<std::int64_t> leases;
    std::int64_t last_lease = 0;
  };

  explicit fake_store(loopback_runtime& runtime);
  // \returns the revision of the change.
  std::int64_t put(const std::string& key, const std::string& value);
  void erase(const std::string& key);
  void set_unavailable(bool unavailable);
  [[nodiscard]] snapshot take_snapshot();
  // Restores the store from a snapshot, in its next era.  Later changes are lost, and their
  // revisions and leases are assigned again.
  void restore(const snapshot& older);
  // Sets whether a watch after a revision that the store does not have waits, as it may after a
  // restore, instead of failing because its history is gone.
  void hang_on_lost_history(bool waits);
  // Omits `Store-Era` from all responses.
  void omit_era();
  [[nodiscard]] std::optional<stored_value> find(const std::string& key);
  // Grants a lease to another client.
  std::int64_t grant_lease();
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }

 private:
  boost::asio::awaitable<void> handle(http_request request, net::response_writer& writer);
  boost::asio::awaitable<http_response> watch(std::string prefix, std::int64_t after);
  http_response answer(const http_request& request);
  http_response write(const http_request& request);
  http_response end_lease(const http_request& request);
  http_response transact(const http_request& request);
  [[nodiscard]] std::optional<boost::json::array> conflicts_of(
      const boost::json::array& conditions) const;
  http_response read(const http_request& request);
  http_response changes_after(const std::string& prefix, std::int64_t after);
  void add_era_header(http_response& response);

  std::mutex mutex_;
  snapshot data_;
  std::int64_t era_ = 1;
  bool sends_era_ = true;
  bool hangs_on_lost_history_ = false;
  bool unavailable_ = false;
  std::unique_ptr<net::http_server> server_;
};

// The text of a server's entry in the server list.
// \param start_time tells restarts of the server apart.
// \param version of its software; not in the entry if empty.
std::string entry_text(const std::string& service, const endpoint& address, bool leaving = false,
                       std::int64_t start_time = 1, const std::string& version = "");

// A backend server that records requests and answers with a given behaviour.
class fake_server {
 public:
  using behaviour =
      std::function<boost::asio::awaitable<void>(const http_request&, net::response_writer&)>;
  fake_server(loopback_runtime& runtime, std::string id, behaviour answers);
  [[nodiscard]] std::vector<http_request> received();
  [[nodiscard]] std::size_t disconnects();
  // \returns the server's entry in the server list.
  // \param start_time tells restarts of the server apart.
  [[nodiscard]] std::string entry(const std::string& service, bool leaving = false,
                                  std::int64_t start_time = 1) const;
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }
  // Refuses new connections from now on, as a server does that has crashed.
  void stop_accepting() { server_->stop_accepting(); }

 private:
  std::string id_;
  std::mutex mutex_;
  std::vector<http_request> received_;
  std::size_t disconnects_ = 0;
  behaviour answers_;
  std::unique_ptr<net::http_server> server_;
};

// Behaviours of servers.
boost::asio::awaitable<void> answer_ok(const http_request& request, net::response_writer& writer);
// Answers slowly enough that a faster server is preferred.
boost::asio::awaitable<void> answer_slowly(const http_request& request,
                                           net::response_writer& writer);
boost::asio::awaitable<void> answer_error(const http_request& request,
                                          net::response_writer& writer);
boost::asio::awaitable<void> refuse_unexecuted(const http_request& request,
                                               net::response_writer& writer);
boost::asio::awaitable<void> abort_connection(const http_request& request,
                                              net::response_writer& writer);
boost::asio::awaitable<void> never_answer(const http_request& request,
                                          net::response_writer& writer);
boost::asio::awaitable<void> stream_four(const http_request& request, net::response_writer& writer);
// Leaves the answer open.
boost::asio::awaitable<void> stream_two(const http_request& request, net::response_writer& writer);
boost::asio::awaitable<void> stream_two_and_abort(const http_request& request,
                                                  net::response_writer& writer);
// Leaves the connection open.
boost::asio::awaitable<void> stream_two_and_stall(const http_request& request,
                                                  net::response_writer& writer);

// Rejects unexecuted, and asks for a pause of so many seconds.
fake_server::behaviour refuse_for(std::string seconds);
// Answers, and announces that the server is leaving.
boost::asio::awaitable<void> answer_and_leave(const http_request& request,
                                              net::response_writer& writer);
// Rejects unexecuted, and announces that the server is leaving.
boost::asio::awaitable<void> refuse_and_leave(const http_request& request,
                                              net::response_writer& writer);

// One gateway with its store and servers.
class gateway_fixture {
 public:
  gateway_fixture();
  ~gateway_fixture();
  gateway_fixture(const gateway_fixture&) = delete;
  gateway_fixture& operator=(const gateway_fixture&) = delete;

  fake_server& add_server(const std::string& id, const std::string& service,
                          fake_server::behaviour answers);
  void list(fake_server& server, const std::string& service, bool leaving = false);
  // Lists a server that the fixture does not own.
  void list(const std::string& id, const std::string& service, const endpoint& address);
  // Gives the gateway the time to drain after a signal to stop; call before `start`.  By default it
  // stops soon, so that a test does not wait for it at its end.
  void allow_drain() { stop_grace_ = duration{5'000}; }
  // Gives the fleet duties; call before `start`.
  void set_duties(gateway::duty_settings duties) { duties_ = duties; }
  // Connects to servers and peers through this client; call before `start`.
  void connect_through(std::unique_ptr<net::http_client> http) { http_ = std::move(http); }
  // Uses the store of another fixture, which outlives this one; call before `start`.
  void share_store_of(const gateway_fixture& owner) { store_address_ = owner.store_.address(); }
  // Starts the gateway and waits until it is ready.
  void start(std::vector<endpoint> seeds = {});
  // As `start`, under a VM name of its own, for fleets of more than two.
  void start_vm(std::string vm, std::vector<endpoint> seeds);
  // Ends the process.
  void stop();
  // Ends the process and starts a new one without any state under the same VM name.
  void restart(std::vector<endpoint> seeds = {});
  // Starts a process without any state under the same VM name after `stop`.
  void start_again(std::vector<endpoint> seeds = {});
  // Starts the gateway while the store is unavailable; requests wait for the store.
  void start_without_store();
  // Starts the gateway with an empty retry budget and waits until it is ready.
  void start_without_retries();
  result<http_response, net::net_failure> call(http_request request);
  http_response expect_response(http_request request);
  // Sends idempotent requests sequentially; each must succeed.
  void send_reads(int requests);
  // Waits until a server, even if it is the fastest, gets none of several consecutive requests.
  void await_no_requests(fake_server& server);
  // A response whose body was read but not stored.
  struct discarded_response {
    unsigned status = 0;
    std::uint64_t body_bytes = 0;
  };
  result<discarded_response, net::net_failure> read_and_discard(http_request request);
  // Sends the request and reads no more than the head of its answer.  Destroy the result before the
  // fixture.
  std::unique_ptr<net::response_stream> open_unread(http_request request);
  // Sends the request and closes the connection after a short time without an answer.
  void call_and_disconnect(http_request request);
  unsigned readiness();
  std::string metrics_text();
  // \returns the value of a metric without labels; none if it is not exposed.
  std::optional<double> metric(const std::string& name);
  // Waits until `holds` returns true; fails the test after a timeout.
  void await(const std::function<bool()>& holds);
  gateway::gateway& gateway() { return *gateway_; }
  fake_store& store() { return store_; }
  loopback_runtime& runtime() { return runtime_; }
  [[nodiscard]] endpoint callers() const;
  [[nodiscard]] endpoint peers() const { return {"127.0.0.1", gateway_->peer_port()}; }

 private:
  loopback_runtime runtime_;
  fake_store store_;
  std::unique_ptr<net::http_client> client_;
  std::vector<std::unique_ptr<fake_server>> servers_;
  void launch(std::string vm, std::vector<endpoint> seeds);

  std::string vm_;
  dispatch::retry_budget_settings retries_{.window = duration{50}};
  duration startup_hold_{400};
  duration stop_grace_{450};
  std::optional<gateway::duty_settings> duties_;
  std::optional<endpoint> store_address_;
  std::unique_ptr<net::http_client> http_ = gateway::gateway::make_http_client();
  adapter::wire_protocol wire_;
  std::unique_ptr<gateway::gateway> gateway_;
  std::thread thread_;
  int reads_sent_ = 0;
};

// Requests for the routes of `default_config`.
http_request make_request(std::string method, std::string path, std::string id);
// A configuration with one route of each kind: /read/, /order/, /draft/ (resumable), /open/
// (anonymous) and /late/ (short timeout).
std::string default_config(int version, const std::string& key = "key-z");

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
