#include "hawthornnotch/ctl/session.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>

#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::ctl {
namespace {

using fetched = result<net::http_response, net::net_failure>;

constexpr std::size_t idle_connections = 2;

class threaded_session final : public session {
 public:
  threaded_session(settings with, progress& shown)
      : with_(std::move(with)),
        shown_(shown),
        work_(context_.get_executor()),
        http_(net::http_client::create(idle_connections)) {}
  threaded_session(const threaded_session&) = delete;
  threaded_session& operator=(const threaded_session&) = delete;
  ~threaded_session() override {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  status<platform::platform_failure> start() {
    platform::call_limits limits;
    limits.connect_timeout = with_.call_timeout;
    limits.response_timeout = with_.call_timeout;
    auto made = platform::http_platform_client::create(context_.get_executor(), with_.platform,
                                                       limits, *http_);
    if (!made) {
      return failed{made.last_reason()};
    }
    platform_ = std::move(*made);
    thread_ = std::thread([this] { context_.run(); });
    return ok;
  }

  const settings& with() const override { return with_; }
  platform::http_platform_client& platform() override { return *platform_; }
  progress& shown() override { return shown_; }

  fetched fetch(const endpoint& to, std::string_view method, std::string_view target) override {
    return wait_for(begin(to, method, target), shown_, "waiting for " + to.address);
  }

  std::vector<fetched> fetch_all(const std::vector<endpoint>& from,
                                 std::string_view target) override {
    std::vector<std::future<fetched>> asked;
    asked.reserve(from.size());
    for (const endpoint& to : from) {
      asked.push_back(begin(to, "GET", target));
    }
    std::vector<fetched> answers;
    for (std::size_t index = 0; index < asked.size(); ++index) {
      answers.push_back(
          wait_for(std::move(asked[index]), shown_, "waiting for " + from[index].address));
    }
    return answers;
  }

 private:
  std::future<fetched> begin(const endpoint& to, std::string_view method, std::string_view target) {
    net::http_request request{std::string(method), std::string(target), {}, ""};
    net::exchange_limits limits;
    limits.connect_timeout = with_.call_timeout;
    limits.head_timeout = with_.call_timeout;
    limits.read_timeout = with_.call_timeout;
    return boost::asio::co_spawn(context_.get_executor(),
                                 http_->fetch(to, std::move(request), limits),
                                 boost::asio::use_future);
  }

  settings with_;
  progress& shown_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<platform::http_platform_client> platform_;
  std::thread thread_;
};

}  // namespace

result<std::unique_ptr<session>, command_failure> session::open(settings with, progress& shown) {
  auto made = std::make_unique<threaded_session>(std::move(with), shown);
  if (!made->start()) {
    return failed{command_failure{exit_code::bad_input, "settings name no platform address"}};
  }
  return std::unique_ptr<session>(std::move(made));
}

}  // namespace hawthornnotch::ctl
