#include "watch_task.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <optional>
#include <utility>

#include "hawthornnotch/platform/gateway_json.h"

namespace hawthornnotch::platform::internal {

namespace {

namespace asio = boost::asio;
using asio::awaitable;

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
    limits.head_timeout = limits_.response_timeout;
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

}  // namespace

std::unique_ptr<watch_handle> open_watch(const asio::any_io_executor& executor,
                                         net::http_client& http, address_book& book,
                                         call_limits limits, net::http_request request,
                                         watch_callback events) {
  auto task = std::make_shared<watch_task>(executor, http, book, limits, std::move(events));
  task->start(std::move(request));
  return std::make_unique<task_handle>(std::move(task));
}

}  // namespace hawthornnotch::platform::internal
