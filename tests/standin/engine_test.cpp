#include "hawthornnotch/standin/engine.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/net/http_server.h"
#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::standin;

using fetched = result<net::http_response, net::net_failure>;

// An engine on a free port, served by a thread of its own.
class running_engine {
 public:
  explicit running_engine(engine_options options)
      : faults_(std::make_shared<fault_switches>()),
        engine_(engine::create(std::move(options), faults_)),
        http_(net::http_client::create(4)) {
    auto handler = [this](net::http_request request, net::response_writer& writer) {
      return engine_->handle(std::move(request), writer);
    };
    auto made = net::http_server::listen(context_.get_executor(), {"127.0.0.1", 0}, {},
                                         with_faults(faults_, std::move(handler)));
    server_ = std::move(*made);
    thread_ = std::thread([this] { context_.run(); });
  }
  running_engine(const running_engine&) = delete;
  running_engine& operator=(const running_engine&) = delete;
  ~running_engine() {
    context_.stop();
    thread_.join();
  }

  std::future<fetched> begin(const std::string& method, const std::string& target,
                             const std::string& body, duration patience = {30'000}) {
    net::http_request request{method, target, {}, body};
    net::exchange_limits limits;
    limits.head_timeout = patience;
    return boost::asio::co_spawn(context_.get_executor(),
                                 http_->fetch({"127.0.0.1", server_->port()}, request, limits),
                                 boost::asio::use_future);
  }
  std::string get(const std::string& target) { return begin("GET", target, "").get()->body; }
  std::int64_t counter(const std::string& name) {
    return boost::json::parse(get("/standin/counters")).at(name).to_number<std::int64_t>();
  }
  void wait_for_counter(const std::string& name, std::int64_t value) {
    while (counter(name) != value) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

 private:
  boost::asio::io_context context_;
  std::shared_ptr<fault_switches> faults_;
  std::unique_ptr<engine> engine_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<net::http_server> server_;
  std::thread thread_;
};

engine_options one_slot() {
  engine_options options;
  options.models = {"m"};
  options.slots = 1;
  options.token = std::chrono::milliseconds(2);
  return options;
}

std::string completion(int length, int priority) {
  return R"({"model":"m","prompt":"p","x_length":)" + std::to_string(length) + R"(,"priority":)" +
         std::to_string(priority) + "}";
}

TEST_THAT(engine, stops_generating_for_a_caller_that_has_gone) {
  running_engine engine(one_slot());
  auto impatient = engine.begin("POST", "/v1/completions", completion(100'000, 0), {50});
  CPPUNIT_ASSERT(!impatient.get());
  engine.wait_for_counter("cancelled", 1);
  engine.wait_for_counter("running", 0);
  CPPUNIT_ASSERT(engine.counter("tokens") < 100'000);
  const auto next = engine.begin("POST", "/v1/completions", completion(1, 0)).get();
  CPPUNIT_ASSERT(next && next->status == 200);
}

TEST_THAT(engine, refuses_an_order_with_an_old_fencing_number_only_if_it_checks) {
  for (const bool checks : {true, false}) {
    engine_options options = one_slot();
    options.checks_fencing = checks;
    running_engine engine(options);
    const auto newer =
        engine.begin("POST", "/orders", R"({"kind":"load_model","model":"a","fencing":5})").get();
    CPPUNIT_ASSERT(newer && newer->status == 200);
    const auto old =
        engine.begin("POST", "/orders", R"({"kind":"load_model","model":"b","fencing":4})").get();
    CPPUNIT_ASSERT_EQUAL(checks ? 409U : 200U, old->status);
    const bool loaded = engine.get("/v1/models").find(R"("id":"b")") != std::string::npos;
    CPPUNIT_ASSERT_EQUAL(!checks, loaded);
  }
}

}  // namespace
