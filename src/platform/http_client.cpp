#include "hawthornnotch/platform/http_client.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <limits>
#include <utility>

#include "hawthornnotch/base/blackboard.h"
#include "hawthornnotch/platform/base64.h"
#include "hawthornnotch/platform/gateway_json.h"

namespace hawthornnotch::platform {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

failure_kind kind_of(net::net_failure_kind kind) {
  switch (kind) {
    case net::net_failure_kind::resolve:
    case net::net_failure_kind::address_in_use:
    case net::net_failure_kind::connect:
    case net::net_failure_kind::closed:
    case net::net_failure_kind::cancelled:
      return failure_kind::unreachable;
    case net::net_failure_kind::timed_out:
      return failure_kind::timed_out;
    case net::net_failure_kind::too_large:
    case net::net_failure_kind::malformed:
      return failure_kind::malformed_answer;
  }
  return failure_kind::malformed_answer;
}

platform_failure failure_of(const net::net_failure& failure) {
  return {kind_of(failure.kind), failure.request_may_have_left};
}

// An answered call has reached the service: even an error may stand for one that took effect.
platform_failure failure_of(unsigned status) {
  switch (status) {
    case status_not_found:
      return {failure_kind::lease_gone, true};
    case status_too_many_requests:
    case status_unavailable:
      return {failure_kind::overloaded, true};
    case status_request_timeout:
    case status_gateway_timeout:
      return {failure_kind::timed_out, true};
    default:
      return {failure_kind::malformed_answer, true};
  }
}

constexpr platform_failure malformed{failure_kind::malformed_answer, true};
constexpr platform_failure ended{failure_kind::unreachable, true};

net::http_request make_call(std::string target, std::string body) {
  net::http_request request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers.emplace_back("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

// The addresses of the service; all callers start at the one that answered last.
class address_book {
 public:
  explicit address_book(std::vector<endpoint> addresses) : addresses_(std::move(addresses)) {}
  [[nodiscard]] std::size_t size() const { return addresses_.size(); }
  [[nodiscard]] std::size_t first() const { return preferred_.load(); }
  [[nodiscard]] const endpoint& at(std::size_t index) const {
    return addresses_[index % addresses_.size()];
  }
  void prefer(std::size_t index) { preferred_ = index % addresses_.size(); }

 private:
  std::vector<endpoint> addresses_;
  std::atomic<std::size_t> preferred_{0};
};

// Tries one address after another while nothing has left.  `attempt` returns an awaitable result.
template <class T, class Attempt>
awaitable<result<T, platform_failure>> try_addresses(address_book& book, Attempt attempt) {
  platform_failure last{failure_kind::unreachable, false};
  const std::size_t first = book.first();
  for (std::size_t index = first; index < first + book.size(); ++index) {
    auto answer = co_await attempt(book.at(index));
    if (answer) {
      book.prefer(index);
      co_return std::move(*answer);
    }
    last = failure_of(answer.last_reason());
    book.prefer(index + 1);
    if (last.may_have_taken_effect) {
      break;
    }
  }
  co_return failed{last};
}

// One watch; shared by its coroutine and its handle.
class watch_task : public std::enable_shared_from_this<watch_task> {
 public:
  watch_task(asio::any_io_executor executor, net::http_client& http, address_book& book,
             call_limits limits, watch_callback events)
      : strand_(asio::make_strand(executor)),
        http_(http),
        book_(book),
        limits_(limits),
        events_(std::move(events)) {}

  void start(net::http_request request) {
    auto self = shared_from_this();
    asio::co_spawn(strand_, run(std::move(self), std::move(request)), asio::detached);
  }

  void stop() {
    stopped_ = true;
    asio::post(strand_, [self = shared_from_this()] {
      if (self->stream_) {
        self->stream_->cancel();
      }
    });
  }

 private:
  static awaitable<void> run(std::shared_ptr<watch_task> self, net::http_request request) {
    co_await asio::post(self->strand_, asio::use_awaitable);
    auto opened = co_await self->open(request);
    if (!opened) {
      self->end(opened.last_reason());
      co_return;
    }
    self->stream_ = std::move(*opened);
    const unsigned status = self->stream_->head().status;
    if (status != status_ok) {
      self->end(failure_of(status));
    } else {
      co_await self->follow();
    }
    self->stream_.reset();
  }

  awaitable<result<std::unique_ptr<net::response_stream>, platform_failure>> open(
      const net::http_request& request) {
    net::exchange_limits limits;
    limits.connect_timeout = limits_.connect_timeout;
    limits.head_timeout = limits_.answer_timeout;
    limits.read_timeout = limits_.watch_silence;
    limits.body_bytes = std::numeric_limits<std::uint64_t>::max();
    limits.reuse_connection = false;
    auto attempt = [this, &request, limits](const endpoint& to) {
      return http_.open(to, request, limits);
    };
    co_return co_await try_addresses<std::unique_ptr<net::response_stream>>(book_, attempt);
  }

  awaitable<void> follow() {
    std::string buffer;
    while (!stopped_) {
      auto piece = co_await stream_->read();
      if (!piece) {
        end(failure_of(piece.last_reason()));
        co_return;
      }
      if (piece->empty()) {
        end(ended);
        co_return;
      }
      buffer += *piece;
      const auto failure = take_lines(buffer);
      if (failure) {
        end(*failure);
        co_return;
      }
    }
  }

  // Handles the whole lines of `buffer`; the rest stays.
  std::optional<platform_failure> take_lines(std::string& buffer) {
    std::size_t begin = 0;
    for (auto at = buffer.find('\n'); at != std::string::npos; at = buffer.find('\n', begin)) {
      const auto failure = take_line(std::string_view(buffer).substr(begin, at - begin));
      if (failure) {
        return failure;
      }
      begin = at + 1;
    }
    buffer.erase(0, begin);
    return buffer.size() > limits_.answer_bytes ? std::optional(malformed) : std::nullopt;
  }

  std::optional<platform_failure> take_line(std::string_view line) {
    if (line.empty()) {
      return {};
    }
    auto note = parse_watch_note(line);
    if (!note) {
      return malformed;
    }
    if (!note->events.empty() && !stopped_) {
      events_(std::move(note->events));
    }
    return note->ended ? std::optional(ended) : std::nullopt;
  }

  void end(const platform_failure& why) {
    if (!stopped_.exchange(true)) {
      events_(failed{why});
    }
  }

  asio::strand<asio::any_io_executor> strand_;
  net::http_client& http_;
  address_book& book_;
  call_limits limits_;
  watch_callback events_;
  std::atomic<bool> stopped_{false};
  std::unique_ptr<net::response_stream> stream_;
};

class task_handle final : public watch_handle {
 public:
  explicit task_handle(std::shared_ptr<watch_task> task) : task_(std::move(task)) {}
  task_handle(const task_handle&) = delete;
  task_handle& operator=(const task_handle&) = delete;
  ~task_handle() override { task_->stop(); }

 private:
  std::shared_ptr<watch_task> task_;
};

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
    auto task = std::make_shared<watch_task>(executor_, http_, book_, limits_, std::move(events));
    task->start(make_call("/v3/watch", watch_body(prefix, revision + 1)));
    return std::make_unique<task_handle>(std::move(task));
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
    limits.head_timeout = limits_.answer_timeout;
    limits.read_timeout = limits_.answer_timeout;
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
        std::chrono::steady_clock::now() + std::chrono::milliseconds(limits_.answer_timeout.ms);
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
