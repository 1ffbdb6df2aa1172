// Runs a router in this process, with stand-in engines and a stand-in platform.
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

// Runs an HTTP server on its own thread.
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

// A stand-in engine that serves model `m`; faults are set by POST /standin/fault.
class standin_engine {
 public:
  standin_engine();
  [[nodiscard]] endpoint address() const { return server_->address(); }

 private:
  std::shared_ptr<standin::fault_switches> faults_ = std::make_shared<standin::fault_switches>();
  std::unique_ptr<standin::engine> engine_;
  std::unique_ptr<threaded_server> server_;
};

// Options of `router_fixture`.
struct fixture_options {
  std::size_t engines = 1;
  net::server_limits limits;
};

// A running router; it rejects all requests until `configure` is called.
class router_fixture {
 public:
  explicit router_fixture(fixture_options options = {});
  ~router_fixture();
  router_fixture(const router_fixture&) = delete;
  router_fixture& operator=(const router_fixture&) = delete;

  // Applies a snapshot with workspace `dispatch`, its classes `chat` (idempotent) and `order` (not
  // idempotent), the fixture's engines, which serve model `m`, and the servers in `extra_servers`.
  void configure(std::vector<backend_server> extra_servers = {}, std::uint64_t version = 1);
  // Sends a request to the callers' listener.  \returns status 0 if there is no response.
  net::http_response call(std::string_view method, std::string_view target, std::string_view body,
                          net::header_list headers = {});
  // Calls /v1/chat/completions as workspace `dispatch`.
  net::http_response chat(std::string_view class_name, std::string_view body,
                          net::header_list headers = {});
  // Sends a request to the operators' listener.
  net::http_response call_operator(std::string_view method, std::string_view target,
                                   std::string_view body = "");
  standin_platform& platform() { return *platform_; }
  standin_engine& engine(std::size_t index) { return *engines_.at(index); }
  // Sets a fault of the engine at this address.
  void fault(const endpoint& at, std::string_view body) {
    platform_->send(at, "POST", "/standin/fault", body);
  }
  router::router& router() { return *router_; }
  // Waits until the router has stopped.  \returns the result of `router::run`.
  bool join();

 private:
  net::http_response send(const endpoint& to, net::http_request request);

  std::unique_ptr<standin_platform> platform_ = standin_platform::start();
  std::vector<std::unique_ptr<standin_engine>> engines_;
  boost::asio::io_context client_context_{1};
  // Holds sockets of `client_context_`, so it is destroyed first.
  std::unique_ptr<net::http_client> http_ = net::http_client::create(1);
  std::unique_ptr<router::router> router_;
  std::thread thread_;
  bool stopped_cleanly_ = false;
};

// \returns the generated text of a chat response, streamed or not.
std::string text_of(const net::http_response& answer);
// \returns the `error.<key>` of a response.
std::string error_of(const net::http_response& answer, std::string_view key);
inline constexpr std::string_view hello =
    R"({"model":"m","x_length":12,"messages":[{"role":"user","content":"hello"}]})";
inline constexpr std::string_view hello_streamed =
    R"({"model":"m","stream":true,"x_length":12,"messages":[{"role":"user","content":"hello"}]})";

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_ROUTER_ROUTER_FIXTURE_H_
