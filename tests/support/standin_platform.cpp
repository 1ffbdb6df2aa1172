#include "standin_platform.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>
#include <utility>

#include "hawthornnotch/standin/platform.h"

namespace hawthornnotch::test {
namespace {

class threaded_platform final : public standin_platform {
 public:
  threaded_platform()
      : faults_(std::make_shared<standin::fault_switches>()),
        platform_(standin::platform::create({}, time_, faults_)),
        http_(net::http_client::create(4)) {
    auto handler = [this](net::http_request request, net::response_writer& writer) {
      return platform_->handle(std::move(request), writer);
    };
    auto made = net::http_server::listen(context_.get_executor(), {"127.0.0.1", 0}, {},
                                         standin::with_faults(faults_, std::move(handler)));
    server_ = std::move(*made);
    thread_ = std::thread([this] { context_.run(); });
  }
  threaded_platform(const threaded_platform&) = delete;
  threaded_platform& operator=(const threaded_platform&) = delete;
  ~threaded_platform() override {
    context_.stop();
    thread_.join();
  }

  endpoint address() const override { return {"127.0.0.1", server_->port()}; }
  net::http_client& http() override { return *http_; }

  std::unique_ptr<platform::http_platform_client> connect(platform::call_limits limits) override {
    return connect({address()}, limits);
  }

  std::unique_ptr<platform::http_platform_client> connect(std::vector<endpoint> addresses,
                                                          platform::call_limits limits) override {
    auto made = platform::http_platform_client::create(context_.get_executor(),
                                                       std::move(addresses), limits, *http_);
    return std::move(*made);
  }

  net::http_response send(const endpoint& to, std::string_view method, std::string_view target,
                          std::string_view body) override {
    net::http_request request{std::string(method), std::string(target), {}, std::string(body)};
    auto answer =
        boost::asio::co_spawn(context_.get_executor(), http_->fetch(to, std::move(request), {}),
                              boost::asio::use_future)
            .get();
    if (!answer) {
      net::http_response none;
      none.status = 0;
      return none;
    }
    return *answer;
  }

 private:
  boost::asio::io_context context_;
  system_clock time_;
  std::shared_ptr<standin::fault_switches> faults_;
  std::unique_ptr<standin::platform> platform_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<net::http_server> server_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<standin_platform> standin_platform::start() {
  return std::make_unique<threaded_platform>();
}

endpoint closed_address() {
  // The discard port; no test machine is expected to listen on it.
  return {"127.0.0.1", 9};
}

}  // namespace hawthornnotch::test
