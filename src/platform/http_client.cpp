#include "hawthornnotch/platform/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "hawthornnotch/base/blackboard.h"
#include "hawthornnotch/platform/base64.h"
#include "hawthornnotch/platform/gateway_json.h"
#include "watch_task.h"

namespace hawthornnotch::platform {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using namespace internal;

// The last list that came with a tag.
struct kept_list {
  std::string tag;
  std::string failure_domain;
  std::vector<listed_vm> vms;
};

class gateway_client final : public http_platform_client {
 public:
  gateway_client(asio::any_io_executor executor, std::vector<endpoint> addresses,
                 call_limits limits, net::http_client& http)
      : executor_(std::move(executor)), book_(std::move(addresses)), limits_(limits), http_(http) {}

  void transact(transaction what, transaction_callback done) override {
    call<transaction_outcome>(make_call("/v3/kv/txn", transaction_body(what)), parse_transaction,
                              std::move(done));
  }

  void read(std::string key, read_callback done) override {
    call<read_outcome>(make_call("/v3/kv/range", range_body(key, "")), parse_range,
                       std::move(done));
  }

  void read_prefix(std::string prefix, read_callback done) override {
    call<read_outcome>(make_call("/v3/kv/range", range_body(prefix, prefix_end(prefix))),
                       parse_range, std::move(done));
  }

  void grant_lease(duration time_to_live, lease_callback done) override {
    call<std::int64_t>(make_call("/v3/lease/grant", grant_body(time_to_live)), parse_grant,
                       std::move(done));
  }

  void keep_alive(std::int64_t lease, lease_callback done) override {
    auto judge = [lease, done = std::move(done)](result<lease_state, platform_failure> state) {
      if (!state) {
        done(failed{state.last_reason()});
      } else if (state->id != lease) {
        done(failed{malformed});
      } else if (!state->alive) {
        done(failed{platform_failure{failure_kind::lease_gone, true}});
      } else {
        done(lease);
      }
    };
    call<lease_state>(make_call("/v3/lease/keepalive", lease_body(lease)), parse_keep_alive,
                      std::move(judge));
  }

  void revoke(std::int64_t lease, lease_callback done) override {
    auto parse = [lease](std::string_view) { return std::optional(lease); };
    call<std::int64_t>(make_call("/v3/lease/revoke", lease_body(lease)), parse, std::move(done));
  }

  std::unique_ptr<watch_handle> watch(std::string prefix, std::int64_t revision,
                                      watch_callback events) override {
    return open_watch(executor_, http_, book_, limits_,
                      make_call("/v3/watch", watch_body(prefix, revision + 1)), std::move(events));
  }

  void fetch_vm_list(std::string failure_domain, vm_list_callback done) override {
    asio::co_spawn(asio::make_strand(executor_),
                   run_list(std::move(failure_domain), std::move(done)), asio::detached);
  }

 private:
  template <class T>
  using parser = std::function<std::optional<T>(std::string_view)>;
  template <class T>
  using callback = std::function<void(result<T, platform_failure>)>;

  template <class T>
  void call(net::http_request request, parser<T> parse, callback<T> done) {
    asio::co_spawn(asio::make_strand(executor_),
                   run<T>(std::move(request), std::move(parse), std::move(done)), asio::detached);
  }

  template <class T>
  awaitable<void> run(net::http_request request, parser<T> parse, callback<T> done) {
    // Never inside the call itself, also when the caller runs on this executor.
    co_await asio::post(executor_, asio::use_awaitable);
    auto answer = co_await fetch(request);
    if (!answer) {
      done(failed{answer.last_reason()});
      co_return;
    }
    if (answer->status != status_ok) {
      done(failed{failure_of(answer->status)});
      co_return;
    }
    auto outcome = parse(answer->body);
    if (!outcome) {
      done(failed{malformed});
      co_return;
    }
    done(std::move(*outcome));
  }

  // The list is large and seldom changes, so it is asked for on the condition that it did.
  awaitable<void> run_list(std::string failure_domain, vm_list_callback done) {
    co_await asio::post(executor_, asio::use_awaitable);
    const auto held = kept_list_.read();
    const bool usable = held && held->failure_domain == failure_domain;
    net::http_request request;
    request.target = "/vms";
    if (usable) {
      request.headers.emplace_back("If-None-Match", held->tag);
    }
    auto answer = co_await fetch(request);
    if (!answer) {
      done(failed{answer.last_reason()});
    } else if (usable && answer->status == status_not_modified) {
      done(held->vms);
    } else if (answer->status != status_ok) {
      done(failed{failure_of(answer->status)});
    } else {
      done(take_list(*answer, std::move(failure_domain)));
    }
  }

  // Keeps the wanted part of a list that has a tag.
  result<std::vector<listed_vm>, platform_failure> take_list(const net::http_response& answer,
                                                             std::string failure_domain) {
    auto vms = parse_vm_list(answer.body, failure_domain);
    if (!vms) {
      return failed{malformed};
    }
    if (const auto tag = answer.header("ETag")) {
      kept_list_.post(std::make_shared<const kept_list>(
          kept_list{std::string(*tag), std::move(failure_domain), *vms}));
    }
    return std::move(*vms);
  }

  awaitable<result<net::http_response, platform_failure>> fetch(const net::http_request& request) {
    net::exchange_limits limits;
    limits.connect_timeout = limits_.connect_timeout;
    limits.head_timeout = limits_.response_timeout;
    limits.read_timeout = limits_.response_timeout;
    limits.body_bytes = limits_.answer_bytes;
    auto attempt = [this, &request, limits](const endpoint& to) {
      return exchange(to, request, limits);
    };
    co_return co_await try_addresses<net::http_response>(book_, attempt);
  }

  // Reads the answer piece by piece, so that one that only drips ends as well.
  awaitable<result<net::http_response, net::net_failure>> exchange(const endpoint& to,
                                                                   const net::http_request& request,
                                                                   net::exchange_limits limits) {
    auto opened = co_await http_.open(to, request, limits);
    if (!opened) {
      co_return failed{opened.last_reason()};
    }
    net::response_stream& stream = **opened;
    net::http_response answer = stream.head();
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(limits_.response_timeout.ms);
    while (std::chrono::steady_clock::now() < end) {
      auto piece = co_await stream.read();
      if (!piece) {
        co_return failed{piece.last_reason()};
      }
      if (piece->empty()) {
        co_return answer;
      }
      answer.body += *piece;
    }
    co_return failed{net::net_failure{net::net_failure_kind::timed_out, true}};
  }

  asio::any_io_executor executor_;
  address_book book_;
  call_limits limits_;
  net::http_client& http_;
  entry<kept_list> kept_list_;
};

}  // namespace

result<std::unique_ptr<http_platform_client>, platform_failure> http_platform_client::create(
    asio::any_io_executor executor, std::vector<endpoint> addresses, call_limits limits,
    net::http_client& http) {
  if (addresses.empty()) {
    return failed{platform_failure{failure_kind::unreachable, false}};
  }
  std::unique_ptr<http_platform_client> made =
      std::make_unique<gateway_client>(std::move(executor), std::move(addresses), limits, http);
  return made;
}

}  // namespace hawthornnotch::platform
