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

using fetch_result = result<net::http_response, net::net_failure>;

constexpr std::size_t max_idle_connections = 2;

class threaded_session final : public session {
 public:
  threaded_session(settings tool_settings, progress& progress_line)
      : tool_settings_(std::move(tool_settings)),
        progress_line_(progress_line),
        work_guard_(context_.get_executor()),
        http_(net::http_client::create(max_idle_connections)) {}
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
    limits.connect_timeout = tool_settings_.call_timeout;
    limits.response_timeout = tool_settings_.call_timeout;
    auto created = platform::http_platform_client::create(context_.get_executor(),
                                                          tool_settings_.platform, limits, *http_);
    if (!created) {
      return failed{created.last_reason()};
    }
    platform_ = std::move(*created);
    thread_ = std::thread([this] { context_.run(); });
    return ok;
  }

  const settings& tool_settings() const override { return tool_settings_; }
  platform::http_platform_client& platform() override { return *platform_; }
  progress& progress_line() override { return progress_line_; }

  fetch_result fetch(const endpoint& to, std::string_view method,
                     std::string_view target) override {
    return wait_for(start_fetch(to, method, target), progress_line_, "waiting for " + to.address);
  }

  std::vector<fetch_result> fetch_all(const std::vector<endpoint>& addresses,
                                      std::string_view target) override {
    std::vector<std::future<fetch_result>> pending;
    pending.reserve(addresses.size());
    for (const endpoint& to : addresses) {
      pending.push_back(start_fetch(to, "GET", target));
    }
    std::vector<fetch_result> responses;
    for (std::size_t index = 0; index < pending.size(); ++index) {
      responses.push_back(wait_for(std::move(pending[index]), progress_line_,
                                   "waiting for " + addresses[index].address));
    }
    return responses;
  }

 private:
  std::future<fetch_result> start_fetch(const endpoint& to, std::string_view method,
                                        std::string_view target) {
    net::http_request request{std::string(method), std::string(target), {}, ""};
    net::exchange_limits limits;
    limits.connect_timeout = tool_settings_.call_timeout;
    limits.head_timeout = tool_settings_.call_timeout;
    limits.read_timeout = tool_settings_.call_timeout;
    return boost::asio::co_spawn(context_.get_executor(),
                                 http_->fetch(to, std::move(request), limits),
                                 boost::asio::use_future);
  }

  settings tool_settings_;
  progress& progress_line_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<platform::http_platform_client> platform_;
  std::thread thread_;
};

}  // namespace

result<std::unique_ptr<session>, command_failure> session::open(settings tool_settings,
                                                                progress& progress_line) {
  auto created = std::make_unique<threaded_session>(std::move(tool_settings), progress_line);
  if (!created->start()) {
    return failed{command_failure{exit_code::bad_input, "settings name no platform address"}};
  }
  return std::unique_ptr<session>(std::move(created));
}

}  // namespace hawthornnotch::ctl
