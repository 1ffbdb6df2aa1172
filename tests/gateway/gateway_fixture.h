// A small platform around one gateway: store, backend servers and callers over loopback sockets.
#ifndef HAWTHORNNOTCH_TESTS_GATEWAY_WORLD_H_
#define HAWTHORNNOTCH_TESTS_GATEWAY_WORLD_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
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

// Two threads that run the stand-ins.
class loopback {
 public:
  loopback();
  ~loopback();
  loopback(const loopback&) = delete;
  loopback& operator=(const loopback&) = delete;
  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  std::unique_ptr<net::http_server> serve(net::request_handler handler);
  // Ends the threads.  Call before stand-ins that they run are gone.
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

// The platform's store: keys, revisions, leases, watches; refuses every call while it is away.
class fake_store {
 public:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };
  // What the store held at one moment.
  struct copy {
    std::map<std::string, item> items;
    std::int64_t revision = 100;
    std::set<std::int64_t> leases;
    std::int64_t last_lease = 0;
  };

  explicit fake_store(loopback& around);
  // \returns the revision of the change.
  std::int64_t put(const std::string& key, const std::string& value);
  void erase(const std::string& key);
  void set_away(bool away);
  [[nodiscard]] copy take_copy();
  // The store comes back as it was, in its next era: later changes are gone, and their revisions
  // and leases are given out again.
  void restore(const copy& older);
  // Whether a watch behind the newest revision waits, as one may after a restore, instead of being
  // told that its history is gone.
  void wait_for_lost_history(bool waits);
  // Leaves `Store-Era` out of all answers.
  void hide_era();
  [[nodiscard]] std::optional<item> find(const std::string& key);
  // Gives a lease to somebody else.
  std::int64_t grant_lease();
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }

 private:
  boost::asio::awaitable<void> handle(http_request request, net::response_writer& writer);
  boost::asio::awaitable<http_response> watch(std::string prefix, std::int64_t after);
  http_response answer(const http_request& request);
  http_response write(const http_request& request);
  http_response transact(const http_request& request);
  http_response read(const http_request& request);
  http_response changes_after(const std::string& prefix, std::int64_t after);
  void name_era(http_response& response);

  std::mutex mutex_;
  copy held_;
  std::int64_t era_ = 1;
  bool shows_era_ = true;
  bool waits_for_lost_history_ = false;
  bool away_ = false;
  std::unique_ptr<net::http_server> server_;
};

// A backend server that keeps what it was sent and answers as told.
class fake_server {
 public:
  using behaviour =
      std::function<boost::asio::awaitable<void>(const http_request&, net::response_writer&)>;
  fake_server(loopback& around, std::string id, behaviour answers);
  [[nodiscard]] std::vector<http_request> received();
  [[nodiscard]] std::size_t left();
  // What the server writes into the list.
  // \param born when it started.
  [[nodiscard]] std::string entry(const std::string& service, bool leaving = false,
                                  std::int64_t born = 1) const;
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }

 private:
  std::string id_;
  std::mutex mutex_;
  std::vector<http_request> received_;
  std::size_t left_ = 0;
  behaviour answers_;
  std::unique_ptr<net::http_server> server_;
};

// Behaviours of servers.
boost::asio::awaitable<void> answer_whole(const http_request& request,
                                          net::response_writer& writer);
// Answers so late that a faster server is preferred.
boost::asio::awaitable<void> answer_slowly(const http_request& request,
                                           net::response_writer& writer);
boost::asio::awaitable<void> answer_error(const http_request& request,
                                          net::response_writer& writer);
boost::asio::awaitable<void> refuse_unrun(const http_request& request,
                                          net::response_writer& writer);
boost::asio::awaitable<void> break_off(const http_request& request, net::response_writer& writer);
boost::asio::awaitable<void> never_answer(const http_request& request,
                                          net::response_writer& writer);
boost::asio::awaitable<void> stream_four(const http_request& request, net::response_writer& writer);
boost::asio::awaitable<void> stream_two_and_break(const http_request& request,
                                                  net::response_writer& writer);
// Leaves the connection open.
boost::asio::awaitable<void> stream_two_and_fall_silent(const http_request& request,
                                                        net::response_writer& writer);

// Refuses as full, and says for how many seconds it wants nothing more.
fake_server::behaviour refuse_for(std::string seconds);
// Answers, and says that the server leaves.
boost::asio::awaitable<void> answer_and_leave(const http_request& request,
                                              net::response_writer& writer);
// Refuses unrun, and says that the server leaves.
boost::asio::awaitable<void> refuse_and_leave(const http_request& request,
                                              net::response_writer& writer);

// One gateway with its store.
class gateway_world {
 public:
  gateway_world();
  ~gateway_world();
  gateway_world(const gateway_world&) = delete;
  gateway_world& operator=(const gateway_world&) = delete;

  fake_server& add_server(const std::string& id, const std::string& service,
                          fake_server::behaviour answers);
  void list(fake_server& server, const std::string& service, bool leaving = false);
  // Lists a server that is none of this world's.
  void list(const std::string& id, const std::string& service, const endpoint& address);
  // Starts the gateway and waits until it is ready.
  void start(std::vector<endpoint> seeds = {});
  // Starts the gateway while the store is away; requests wait for its return.
  void start_before_the_store();
  // The same, with an empty retry budget.
  void start_without_retries();
  result<http_response, net::net_failure> call(http_request request);
  http_response must_answer(http_request request);
  // Sends idempotent requests one after another; each must be answered by a server.
  void read_often(int requests);
  // Waits until a server, though the fastest one, gets none of several requests in a row.
  void await_no_work(fake_server& server);
  // What a caller sees that reads an answer without keeping it.
  struct seen_answer {
    unsigned status = 0;
    std::uint64_t body_bytes = 0;
  };
  result<seen_answer, net::net_failure> read_through(http_request request);
  // Sends the request and closes the connection when no answer has come for a moment.
  void call_and_leave(http_request request);
  unsigned readiness();
  std::string metrics_text();
  // \returns the value of a metric without labels; none where it is not shown.
  std::optional<double> metric(const std::string& name);
  // Waits until `holds`; fails the test after some seconds.
  void await(const std::function<bool()>& holds);
  gateway::gateway& gateway() { return *gateway_; }
  fake_store& store() { return store_; }
  loopback& around() { return around_; }
  [[nodiscard]] endpoint callers() const;
  [[nodiscard]] endpoint peers() const { return {"127.0.0.1", gateway_->peer_port()}; }

 private:
  loopback around_;
  fake_store store_;
  std::unique_ptr<net::http_client> client_;
  std::vector<std::unique_ptr<fake_server>> servers_;
  void launch(std::vector<endpoint> seeds);

  dispatch::retry_budget_settings retries_;
  duration startup_hold_{400};
  adapter::wire_protocol wire_;
  std::unique_ptr<gateway::gateway> gateway_;
  std::thread thread_;
  int reads_ = 0;
};

// Requests of the routes of `usual_config`.
http_request make_request(std::string method, std::string path, std::string id);
// Version with one route of each kind: /read/, /order/, /draft/ (resumable), /open/ and
// /late/, which has little time.
std::string usual_config(int version, const std::string& key = "key-z");

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_GATEWAY_WORLD_H_
