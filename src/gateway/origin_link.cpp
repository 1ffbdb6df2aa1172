#include "origin_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <tuple>
#include <utility>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view origins_path = "/origins";
/// VMs that are told of a stream.
constexpr std::size_t keepers_per_stream = 3;
/// Origins that begin within this time are told in one message.
constexpr std::chrono::milliseconds flush_delay{20};
constexpr duration connect_timeout{150};
constexpr duration response_timeout{250};
constexpr duration total_timeout{500};
constexpr duration tcp_user_timeout{500};
constexpr std::uint64_t max_message_bytes = 4 * 1024 * 1024;

std::uint64_t placement_of(const streams::stream_key& key) {
  return stable_hash(key.attempt, stable_hash(key.workspace));
}

}  // namespace

// A question that is put to several VMs; the first that knows answers it.
struct origin_link::inquiry {
  inquiry(streams::stream_key what, const asio::any_io_executor& executor)
      : key(std::move(what)), answered(executor) {}
  streams::stream_key key;
  std::optional<streams::stream_origin> found;
  std::size_t open = 0;
  bool all_answered = true;
  asio::steady_timer answered;
};

origin_link::origin_link(gateway_state& shared, asio::any_io_executor executor)
    : shared_(shared), executor_(executor), flush_timer_(executor) {}

void origin_link::on_stream_begun(const streams::stream_origin& origin) {
  const time_point now = shared_.time.now();
  shared_.origins.record(origin, streams::origin_source::own, now);
  if (shared_.versions.is_mixed(origin.key.service, now)) {
    tell(origin);
  }
}

void origin_link::on_versions_mixed(std::span<const std::string> services) {
  for (const std::string& service : services) {
    for (const streams::stream_origin& each :
         shared_.origins.own_streams(service, shared_.time.now())) {
      tell(each);
    }
  }
}

void origin_link::tell(const streams::stream_origin& origin) {
  for (const endpoint& keeper :
       shared_.peers.keepers_of(placement_of(origin.key), keepers_per_stream)) {
    auto& [address, origins] = waiting_[to_text(keeper)];
    address = keeper;
    origins.push_back(origin);
  }
  if (flush_pending_) {
    return;
  }
  flush_pending_ = true;
  flush_timer_.expires_after(flush_delay);
  flush_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      flush();
    }
  });
}

void origin_link::flush() {
  flush_pending_ = false;
  for (auto& [name, batch] : std::exchange(waiting_, {})) {
    asio::co_spawn(executor_, send_origins(batch.first, std::move(batch.second)), asio::detached);
  }
}

asio::awaitable<void> origin_link::send_origins(endpoint to,
                                                std::vector<streams::stream_origin> what) {
  streams::origin_message message;
  message.origins = std::move(what);
  const auto answer = co_await exchange(to, message);
  if (!answer) {
    // The store's record and the other keepers remain.
    shared_.metrics->count("hawthornnotch_origins_untold_total", {});
    observe::log_event(observe::level::debug, "origins_untold",
                       {{"peer", to.address}, {"origins", message.origins.size()}});
  }
}

asio::awaitable<origin_link::search_result> origin_link::find(streams::stream_key key) {
  auto known = shared_.origins.find(key, shared_.time.now());
  if (known || key.attempt.empty()) {
    co_return search_result{std::move(known), false};
  }
  const auto question = std::make_shared<inquiry>(key, executor_);
  question->answered.expires_at(std::chrono::steady_clock::time_point::max());
  for (const endpoint& keeper : shared_.peers.keepers_of(placement_of(key), keepers_per_stream)) {
    ++question->open;
    asio::co_spawn(executor_, ask(keeper, question), asio::detached);
  }
  const bool asked = question->open > 0;
  if (asked) {
    co_await question->answered.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (question->found) {
    shared_.origins.record(*question->found, streams::origin_source::peer, shared_.time.now());
  }
  co_return search_result{question->found, asked && question->all_answered};
}

asio::awaitable<void> origin_link::ask(endpoint to, std::shared_ptr<inquiry> about) {
  streams::origin_message message;
  message.questions.push_back(about->key);
  const auto answer = co_await exchange(to, message);
  --about->open;
  about->all_answered = about->all_answered && answer.has_value();
  if (answer && !answer->origins.empty() && answer->origins.front().key == about->key) {
    about->found = answer->origins.front();
  }
  if (about->found || about->open == 0) {
    about->answered.cancel();
  }
}

asio::awaitable<std::optional<streams::origin_message>> origin_link::exchange(
    const endpoint& to, const streams::origin_message& message) {
  net::http_request request;
  request.method = "POST";
  request.target = origins_path;
  request.body = streams::encode(message);
  net::exchange_limits limits;
  limits.connect_timeout = connect_timeout;
  limits.head_timeout = response_timeout;
  limits.read_timeout = response_timeout;
  limits.total_timeout = total_timeout;
  limits.tcp_user_timeout = tcp_user_timeout;
  limits.body_bytes = max_message_bytes;
  const auto response = co_await shared_.http->fetch(to, std::move(request), limits);
  if (!response) {
    co_return std::nullopt;
  }
  auto answer = streams::decode_origin_message(response->body);
  if (!answer) {
    // A VM of an earlier release knows no origins.
    observe::log_event(observe::level::debug, "origins_unreadable", {{"peer", to.address}});
    co_return std::nullopt;
  }
  co_return std::move(*answer);
}

bool origin_link::is_for_origins(const net::http_request& request) {
  return request.target == origins_path;
}

asio::awaitable<void> origin_link::handle(net::http_request request, net::response_writer& writer) {
  net::http_response response;
  const auto message = streams::decode_origin_message(request.body);
  if (!message) {
    response.status = 400;
  } else {
    const time_point now = shared_.time.now();
    for (const streams::stream_origin& each : message->origins) {
      shared_.origins.record(each, streams::origin_source::peer, now);
    }
    streams::origin_message answer;
    for (const streams::stream_key& each : message->questions) {
      if (auto known = shared_.origins.find(each, now)) {
        answer.origins.push_back(std::move(*known));
      }
    }
    response.body = streams::encode(answer);
  }
  std::ignore = co_await writer.send(std::move(response));
}

}  // namespace hawthornnotch::gateway::internal
