#include "hawthornnotch/net/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <chrono>

#include "beast_support.h"
#include "connection_pool.h"
#include "message_head.h"
#include "request_write.h"

namespace hawthornnotch::net {

namespace internal {

namespace {

using response_parser = http::response_parser<http::buffer_body>;
using unacknowledged_option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

using steady_time = std::chrono::steady_clock::time_point;

// Responses that are skipped, with their bodies, before the expected one.
constexpr std::size_t max_skipped_responses = 4;
// Interim (1xx) responses before the final one.
constexpr std::size_t max_interim_responses = 16;
constexpr std::uint32_t max_head_bytes = 8 * 1024;
// Received bytes of an incomplete head, chunk header or trailer.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;

// \returns whether an answer to a request of ours may have this status. No request asks to switch
// protocols, so what would follow such an answer is none in HTTP.
bool is_possible_status(unsigned status) {
  constexpr unsigned first = 100;
  constexpr unsigned last = 599;
  constexpr unsigned switching_protocols = 101;
  return status >= first && status <= last && status != switching_protocols;
}

bool is_interim(unsigned status) {
  constexpr unsigned first_final = 200;
  return status < first_final;
}

// \returns the `timeout` parameter of a Keep-Alive header.
std::optional<duration> parse_keep_alive_timeout(std::string_view header) {
  constexpr std::string_view name = "timeout=";
  constexpr std::int64_t ms_per_second = 1000;
  const std::size_t at = header.find(name);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = header.substr(at + name.size());
  std::int64_t seconds = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return duration{seconds * ms_per_second};
}

request_message to_message(const endpoint& to, http_request request) {
  request_message message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, to.address + ":" + std::to_string(to.port));
  for (const auto& [name, value] : request.headers) {
    if (beast::iequals(name, "Host")) {
      message.set(http::field::host, value);
    } else {
      message.insert(name, value);
    }
  }
  message.body() = std::move(request.body);
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

}  // namespace

// One request and its response on one connection.
class exchange final : public response_stream {
 public:
  exchange(std::shared_ptr<connection_pool> pool, endpoint to, exchange_limits limits)
      : pool_(std::move(pool)), to_(std::move(to)), limits_(std::move(limits)) {
    if (limits_.cancellation) {
      limits_.cancellation->attach([this] { cancel(); });
    }
  }
  ~exchange() override {
    if (limits_.cancellation) {
      limits_.cancellation->attach(nullptr);
    }
    release_connection();
  }

  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  asio::awaitable<status<net_failure>> connect() {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    if (limits_.reuse_connection) {
      if (auto idle = pool_->take(to_, executor, limits_.request_tag)) {
        stream_ = std::make_shared<beast::tcp_stream>(std::move(*idle));
        co_return ok;
      }
    }
    stream_ = std::make_shared<beast::tcp_stream>(executor);
    error_code error;
    const auto address = asio::ip::make_address(to_.address, error);
    if (error) {
      co_return failed{net_failure{net_failure_kind::resolve, false}};
    }
    stream_->expires_after(to_chrono(limits_.connect_timeout));
    const auto [connect_error] =
        co_await stream_->async_connect(tcp::endpoint(address, to_.port), as_result);
    if (connect_error) {
      stream_.reset();
      co_return failed{net_failure{net_failure_kind::connect, false}};
    }
    stream_->socket().set_option(tcp::no_delay(true), error);
    if (limits_.tcp_user_timeout.ms > 0) {
      const int timeout_ms = static_cast<int>(limits_.tcp_user_timeout.ms);
      stream_->socket().set_option(unacknowledged_option(timeout_ms), error);
    }
    co_return ok;
  }

  // Starts sending the request. The response is read concurrently, since a server may respond
  // before it has read a long body.
  status<net_failure> send(http_request request) {
    if (is_cancelled() || (limits_.may_send && !limits_.may_send())) {
      return failed{net_failure{net_failure_kind::cancelled, false}};
    }
    sent_at_ = std::chrono::steady_clock::now();
    deadline_ = sent_at_ + to_chrono(limits_.head_timeout);
    stream_->expires_at(deadline_);
    write_ = request_write::start(stream_, to_message(to_, std::move(request)));
    return ok;
  }

  // Skipped responses do not extend the deadline of the expected one's head.
  asio::awaitable<status<net_failure>> read_head() {
    for (std::size_t skipped = 0; skipped <= max_skipped_responses; ++skipped) {
      const error_code error = co_await read_final_head();
      if (error) {
        const net_failure failure = co_await explain(error);
        co_return failed{failure};
      }
      if (!limits_.is_expected || limits_.is_expected(head_)) {
        const bool bounded = limits_.total_timeout.ms > 0;
        has_expected_head_ = true;
        deadline_ = bounded ? sent_at_ + to_chrono(limits_.total_timeout) : steady_time::max();
        co_return ok;
      }
      const auto skipped_body = co_await skip_body();
      if (!skipped_body) {
        co_return failed{skipped_body.last_reason()};
      }
      if (!parser_->keep_alive()) {
        co_return failed{net_failure{net_failure_kind::closed, true}};
      }
    }
    co_return failed{net_failure{net_failure_kind::malformed, true}};
  }

  asio::awaitable<error_code> read_final_head() {
    for (std::size_t interim = 0; interim <= max_interim_responses; ++interim) {
      const error_code error = co_await read_next_head();
      if (error || !is_interim(head_.status)) {
        co_return error;
      }
    }
    co_return http::error::bad_status;
  }

  asio::awaitable<error_code> read_next_head() {
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(limits_.body_bytes);
    head_ = http_response{};
    stream_->expires_at(deadline_);
    const error_code error =
        co_await internal::read_head(*stream_, buffer_, *parser_, max_head_bytes);
    if (error) {
      co_return error;
    }
    head_.status = parser_->get().result_int();
    if (!is_possible_status(head_.status)) {
      co_return http::error::bad_status;
    }
    if (has_ambiguous_body(parser_->get())) {
      co_return http::error::bad_transfer_encoding;
    }
    for (const auto& field : parser_->get()) {
      head_.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    co_return error_code();
  }

  asio::awaitable<status<net_failure>> skip_body() {
    while (!parser_->is_done()) {
      const auto piece = co_await read();
      if (!piece) {
        co_return failed{piece.last_reason()};
      }
    }
    co_return ok;
  }

  [[nodiscard]] const http_response& head() const override { return head_; }

  asio::awaitable<result<std::string, net_failure>> read() override {
    constexpr std::size_t chunk_bytes = 16 * 1024;
    if (cancelled_) {
      co_return failed{net_failure{net_failure_kind::cancelled, true}};
    }
    std::string chunk;
    while (chunk.empty() && !parser_->is_done()) {
      chunk.resize(chunk_bytes);
      parser_->get().body().data = chunk.data();
      parser_->get().body().size = chunk.size();
      const steady_time now = std::chrono::steady_clock::now();
      stream_->expires_at(std::min(deadline_, now + to_chrono(limits_.read_timeout)));
      const auto [error, count] =
          co_await http::async_read_some(*stream_, buffer_, *parser_, as_result);
      chunk.resize(chunk_bytes - parser_->get().body().size);
      if (error && error != http::error::need_buffer) {
        const net_failure failure = co_await explain(error);
        co_return failed{failure};
      }
    }
    // Nothing but the end of the connection marks the end of this body.
    if (chunk.empty() && parser_->need_eof()) {
      const error_code broken = co_await write_->find_break();
      if (broken) {
        co_return failed{to_failure(broken)};
      }
    }
    co_return chunk;
  }

  void cancel() override {
    cancelled_ = true;
    close();
  }

 private:
  [[nodiscard]] bool is_cancelled() const {
    return cancelled_ || (limits_.cancellation && limits_.cancellation->cancelled());
  }

  [[nodiscard]] net_failure to_failure(const error_code& error) const {
    return {cancelled_ ? net_failure_kind::cancelled : to_failure_kind(error), true};
  }

  // \param error of a read.
  asio::awaitable<net_failure> explain(error_code error) {
    if (is_cut_short(error)) {
      const error_code broken = co_await write_->find_break();
      error = broken ? broken : error;
    }
    co_return to_failure(error);
  }

  // Closes the connection; a pending write ends.
  void close() {
    if (stream_) {
      stream_->cancel();
      error_code ignored;
      stream_->socket().close(ignored);
    }
  }

  // Returns the connection to the pool only if the request was sent and its response read, both
  // completely. After responses to other requests only, its own may still arrive at any time.
  void release_connection() {
    const bool sent = write_ && write_->complete();
    const bool complete =
        has_expected_head_ && parser_ && parser_->is_done() && buffer_.size() == 0;
    if (!sent || !complete || cancelled_ || !parser_->keep_alive()) {
      close();
      return;
    }
    stream_->expires_never();
    pool_->put(to_, stream_->release_socket(),
               parse_keep_alive_timeout(parser_->get()[http::field::keep_alive]),
               limits_.request_tag);
  }

  std::shared_ptr<connection_pool> pool_;
  endpoint to_;
  exchange_limits limits_;
  std::shared_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_{max_unparsed_bytes};
  std::optional<response_parser> parser_;
  std::shared_ptr<request_write> write_;
  http_response head_;
  // The head of the expected response has been read.
  bool has_expected_head_ = false;
  steady_time sent_at_;
  // Deadline of the response head and then of the whole response.
  steady_time deadline_ = steady_time::max();
  bool cancelled_ = false;
};

class pooling_client final : public http_client {
 public:
  explicit pooling_client(idle_connections pool_limits)
      : pool_(std::make_shared<connection_pool>(pool_limits)) {}

  asio::awaitable<result<std::unique_ptr<response_stream>, net_failure>> open(
      endpoint to, http_request request, exchange_limits limits) override {
    auto opened = std::make_unique<exchange>(pool_, std::move(to), std::move(limits));
    if (auto connected = co_await opened->connect(); !connected) {
      co_return failed{connected.last_reason()};
    }
    if (auto sent = opened->send(std::move(request)); !sent) {
      co_return failed{sent.last_reason()};
    }
    if (auto head = co_await opened->read_head(); !head) {
      co_return failed{head.last_reason()};
    }
    co_return std::unique_ptr<response_stream>(std::move(opened));
  }

  asio::awaitable<result<http_response, net_failure>> fetch(endpoint to, http_request request,
                                                            exchange_limits limits) override {
    auto opened = co_await open(std::move(to), std::move(request), std::move(limits));
    if (!opened) {
      co_return failed{opened.last_reason()};
    }
    http_response response = (*opened)->head();
    while (true) {
      auto piece = co_await (*opened)->read();
      if (!piece) {
        co_return failed{piece.last_reason()};
      }
      if (piece->empty()) {
        break;
      }
      response.body += *piece;
    }
    co_return response;
  }

  asio::awaitable<connect_check> check_connect(endpoint to, duration timeout) override {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (error) {
      co_return connect_check::unknown;
    }
    stream.expires_after(to_chrono(timeout));
    const auto [connect_error] =
        co_await stream.async_connect(tcp::endpoint(address, to.port), as_result);
    if (connect_error) {
      const bool refused = connect_error == asio::error::connection_refused ||
                           connect_error == asio::error::connection_reset;
      co_return refused ? connect_check::refused : connect_check::unknown;
    }
    stream.expires_never();
    stream.socket().set_option(tcp::no_delay(true), error);
    pool_->put(to, stream.release_socket(), std::nullopt, std::nullopt);
    co_return connect_check::accepted;
  }

 private:
  std::shared_ptr<connection_pool> pool_;
};

}  // namespace internal

std::unique_ptr<http_client> http_client::create(idle_connections pool_limits) {
  return std::make_unique<internal::pooling_client>(pool_limits);
}

std::unique_ptr<http_client> http_client::create(std::size_t idle_per_endpoint) {
  idle_connections pool_limits;
  pool_limits.per_endpoint = idle_per_endpoint;
  return create(pool_limits);
}

}  // namespace hawthornnotch::net
