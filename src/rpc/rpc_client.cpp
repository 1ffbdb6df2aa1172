#include "hawthornnotch/rpc/rpc_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <optional>
#include <utility>

#include "rpc/blocking_call.h"

namespace hawthornnotch::rpc {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;

result<std::string, call_failure> to_result(call_outcome outcome) {
  switch (outcome.fault) {
    case call_fault::none:
      return std::move(outcome.body);
    case call_fault::transport:
      return failed{call_failure::transport};
    case call_fault::malformed_answer:
      return failed{call_failure::malformed_answer};
    case call_fault::refused:
      return failed{call_failure::refused};
  }
  return failed{call_failure::malformed_answer};
}

class http_rpc_client final : public rpc_client {
 public:
  http_rpc_client(asio::any_io_executor executor, net::http_client& http,
                  rpc_client_settings settings)
      : executor_(std::move(executor)), http_(http), settings_(settings), pool_(settings.threads) {}

  asio::awaitable<result<std::string, call_failure>> call(endpoint to, std::string method,
                                                          std::string body) override {
    auto pending_call = run_call(std::move(to), std::move(method), std::move(body));
    auto answer = co_await asio::co_spawn(pool_, std::move(pending_call), asio::use_awaitable);
    co_return std::move(*answer);
  }

 private:
  // co_spawn requires default-constructible results, hence the optional.
  using optional_result = std::optional<result<std::string, call_failure>>;
  using optional_response = std::optional<result<net::http_response, net::net_failure>>;

  // Blocks a thread of the pool until the call completes.
  asio::awaitable<optional_result> run_call(endpoint to, std::string method, std::string body) {
    const call_transport transport = [this, &to](const std::string& request, std::string& answer) {
      return post(to, request, answer);
    };
    co_return to_result(blocking_call(method, body, transport));
  }

  asio::awaitable<optional_response> fetch(endpoint to, net::http_request message,
                                           net::exchange_limits limits) {
    co_return co_await http_.fetch(std::move(to), std::move(message), limits);
  }

  bool post(const endpoint& to, const std::string& request, std::string& answer) {
    net::exchange_limits limits;
    limits.connect_timeout = settings_.timeout;
    limits.head_timeout = settings_.timeout;
    limits.read_timeout = settings_.timeout;
    limits.body_bytes = settings_.max_response_bytes;
    net::http_request message{"POST", "/rpc", {{"Content-Type", "application/json"}}, request};
    auto exchange = fetch(to, std::move(message), limits);
    const auto response =
        asio::co_spawn(asio::make_strand(executor_), std::move(exchange), asio::use_future).get();
    if (!response || !response->has_value() || (*response)->status != status_ok) {
      return false;
    }
    answer = (*response)->body;
    return true;
  }

  asio::any_io_executor executor_;
  net::http_client& http_;
  rpc_client_settings settings_;
  asio::thread_pool pool_;
};

}  // namespace

std::string_view to_string(call_failure failure) {
  switch (failure) {
    case call_failure::transport:
      return "transport";
    case call_failure::malformed_answer:
      return "malformed_answer";
    case call_failure::refused:
      return "refused";
  }
  return "unknown";
}

std::unique_ptr<rpc_client> rpc_client::create(asio::any_io_executor executor,
                                               net::http_client& http,
                                               rpc_client_settings settings) {
  return std::make_unique<http_rpc_client>(std::move(executor), http, settings);
}

}  // namespace hawthornnotch::rpc
