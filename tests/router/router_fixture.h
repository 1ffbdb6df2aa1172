// A router in this process between stand-in engines and a stand-in platform.
#ifndef HAWTHORNNOTCH_TESTS_ROUTER_ROUTER_FIXTURE_H_
#define HAWTHORNNOTCH_TESTS_ROUTER_ROUTER_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/router/router.h"
#include "hawthornnotch/standin/engine.h"
#include "standin_platform.h"

namespace hawthornnotch::test {

// One HTTP server on one thread of its own; faults by POST /standin/fault.
class threaded_server {
 public:
  explicit threaded_server(net::request_handler handler);
  ~threaded_server();
  threaded_server(const threaded_server&) = delete;
  threaded_server& operator=(const threaded_server&) = delete;
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }

 private:
  boost::asio::io_context context_{1};
  std::unique_ptr<net::http_server> server_;
  std::thread thread_;
};

class engine_under_test {
 public:
  engine_under_test();
  [[nodiscard]] endpoint address() const { return server_->address(); }

 private:
  std::shared_ptr<standin::fault_switches> faults_ = std::make_shared<standin::fault_switches>();
  std::unique_ptr<standin::engine> engine_;
  std::unique_ptr<threaded_server> server_;
};

// What a test asks of the fixture's router.
struct fixture_options {
  std::size_t engines = 1;
  net::server_limits limits;
};

class router_fixture {
 public:
  explicit router_fixture(fixture_options options = {});
  ~router_fixture();
  router_fixture(const router_fixture&) = delete;
  router_fixture& operator=(const router_fixture&) = delete;

  // Puts the classes `chat` (idempotent) and `order` (not) of workspace `dispatch` into force, with
  // model `m` at all engines, service `s` at the platform stand-in's place, and `extra` servers.
  void configure(std::vector<backend_server> extra = {}, std::uint64_t version = 1);
  net::http_response call(std::string_view method, std::string_view target, std::string_view body,
                          net::header_list headers = {});
  net::http_response chat(std::string_view class_name, std::string_view body,
                          net::header_list headers = {});
  net::http_response operate(std::string_view method, std::string_view target,
                             std::string_view body = "");
  standin_platform& platform() { return *platform_; }
  engine_under_test& engine(std::size_t index) { return *engines_.at(index); }
  void fault(const endpoint& at, std::string_view body) {
    platform_->send(at, "POST", "/standin/fault", body);
  }
  router::router& router() { return *router_; }
  // Waits for the router's end.  \returns whether nothing was cut.
  bool join();

 private:
  net::http_response send(const endpoint& to, net::http_request request);

  std::unique_ptr<standin_platform> platform_ = standin_platform::start();
  std::vector<std::unique_ptr<engine_under_test>> engines_;
  boost::asio::io_context calls_{1};
  // Keeps sockets of `calls_`, so it goes first.
  std::unique_ptr<net::http_client> http_ = net::http_client::create(1);
  std::unique_ptr<router::router> router_;
  std::thread thread_;
  bool whole_ = false;
};

// \returns the text of a plain chat answer, or of all events of a streamed one.
std::string text_of(const net::http_response& answer);
// \returns the `error.<key>` of an answer.
std::string error_of(const net::http_response& answer, std::string_view key);
inline constexpr std::string_view hello =
    R"({"model":"m","x_length":12,"messages":[{"role":"user","content":"hello"}]})";
inline constexpr std::string_view hello_streamed =
    R"({"model":"m","stream":true,"x_length":12,"messages":[{"role":"user","content":"hello"}]})";

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_ROUTER_ROUTER_FIXTURE_H_
