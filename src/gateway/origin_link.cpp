#include "origin_link.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
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
/// How long the first event of a stream waits for its keepers and for this VM's declaration.
constexpr duration max_begin_wait{100};
/// How long it waits for the store's record.
constexpr duration max_record_wait{2'000};
constexpr std::chrono::milliseconds declaration_poll_period{5};
/// A header, since VMs of an earlier release refuse a message with a field that they do not know.
constexpr std::string_view knows_own_header = "Hawthornnotch-Knows-Own-Streams";
/// A stream is not looked for at more VMs than this.
constexpr std::size_t max_vms_asked = 32;

std::uint64_t placement_of(const streams::stream_key& key) {
  return stable_hash(key.attempt, stable_hash(key.workspace));
}

// \returns how many keepers know of a stream before it begins at another version than the base one.
std::size_t copies_needed(const relay::keeper_set& keepers) {
  return std::min<std::size_t>(keepers.size(), 2);
}

}  // namespace

// The keepers of a stream that know of it.
struct origin_link::delivery {
  delivery(const relay::keeper_set& keepers, const asio::any_io_executor& executor)
      : copies(keepers.includes_this_vm ? 1 : 0),
        needed(copies_needed(keepers)),
        open(keepers.peers.size()),
        settled(executor) {}
  [[nodiscard]] bool is_settled() const { return copies >= needed || open == 0; }
  std::size_t copies;
  std::size_t needed;
  std::size_t open;
  asio::steady_timer settled;
};

// A question that is put to several VMs; the first that knows answers it.
struct origin_link::inquiry {
  inquiry(streams::stream_key what, const asio::any_io_executor& executor)
      : key(std::move(what)), answered(executor) {}
  streams::stream_key key;
  std::optional<streams::stream_origin> found;
  std::size_t open = 0;
  bool all_answered = true;
  // VMs that do not know the stream and know all that they began.
  std::set<std::string> excluded;
  asio::steady_timer answered;
};

origin_link::origin_link(gateway_state& shared, asio::any_io_executor executor)
    : shared_(shared), executor_(executor), flush_timer_(executor) {}

asio::awaitable<bool> origin_link::begin_stream(streams::stream_origin origin) {
  const time_point now = shared_.time.now();
  const std::string service = origin.key.service;
  shared_.origins.record(origin, streams::origin_source::own, now);
  const auto base = shared_.versions.base(service);
  const bool mixed = shared_.versions.is_mixed(service, now);
  const bool at_base = base == origin.software_version;
  if (at_base && !mixed) {
    co_return true;
  }
  const auto permission = shared_.declaration.permission({service, origin.key.attempt, base},
                                                         origin.software_version, now);
  const std::shared_ptr<delivery> progress = tell(origin);
  if (mixed && permission == streams::begin_permission::needs_record) {
    shared_.declaration.demand_write(now);
    const bool recorded = co_await await_record(service, now);
    co_return recorded;
  }
  if (at_base) {
    co_return true;
  }
  if (!progress->is_settled()) {
    progress->settled.expires_after(std::chrono::milliseconds(max_begin_wait.ms));
    co_await progress->settled.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (permission == streams::begin_permission::unknown) {
    co_await await_declaration(service, now + max_begin_wait);
  }
  co_return true;
}

asio::awaitable<bool> origin_link::await_record(std::string service, time_point began_at) {
  asio::steady_timer timer(executor_);
  time_point now = began_at;
  bool named = false;
  while (!named && now - began_at < max_record_wait && shared_.versions.is_mixed(service, now)) {
    timer.expires_after(declaration_poll_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    now = shared_.time.now();
    named = shared_.declaration.names_streams_until(service, began_at, now);
  }
  co_return named || !shared_.versions.is_mixed(service, now);
}

asio::awaitable<void> origin_link::await_declaration(std::string service, time_point end) {
  asio::steady_timer timer(executor_);
  time_point now = shared_.time.now();
  while (now < end && shared_.versions.is_mixed(service, now) &&
         !shared_.declaration.covers(service, now)) {
    timer.expires_after(declaration_poll_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    now = shared_.time.now();
  }
}

void origin_link::on_versions_mixed(std::span<const std::string> services) {
  for (const std::string& service : services) {
    for (const streams::stream_origin& each :
         shared_.origins.own_streams(service, shared_.time.now())) {
      std::ignore = tell(each);
    }
  }
}

std::shared_ptr<origin_link::delivery> origin_link::tell(const streams::stream_origin& origin) {
  const relay::keeper_set keepers =
      shared_.peers.keepers_of(placement_of(origin.key), keepers_per_stream);
  auto progress = std::make_shared<delivery>(keepers, executor_);
  for (const endpoint& keeper : keepers.peers) {
    batch& waiting = waiting_[to_text(keeper)];
    waiting.keeper = keeper;
    waiting.origins.push_back({origin, progress});
  }
  if (flush_pending_ || keepers.peers.empty()) {
    return progress;
  }
  flush_pending_ = true;
  flush_timer_.expires_after(flush_delay);
  flush_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      flush();
    }
  });
  return progress;
}

void origin_link::flush() {
  flush_pending_ = false;
  for (auto& [name, waiting] : std::exchange(waiting_, {})) {
    asio::co_spawn(executor_, send_origins(std::move(waiting)), asio::detached);
  }
}

asio::awaitable<void> origin_link::send_origins(batch what) {
  streams::origin_message message;
  for (const untold_origin& each : what.origins) {
    message.origins.push_back(each.origin);
  }
  const auto answer = co_await exchange(what.keeper, message);
  if (!answer) {
    // The store's record and the other keepers remain.
    shared_.metrics->count("hawthornnotch_origins_untold_total", {});
    observe::log_event(observe::level::debug, "origins_untold",
                       {{"peer", what.keeper.address}, {"origins", message.origins.size()}});
  }
  for (const untold_origin& each : what.origins) {
    delivery& progress = *each.progress;
    --progress.open;
    progress.copies += answer ? 1 : 0;
    if (progress.is_settled()) {
      progress.settled.cancel();
    }
  }
}

asio::awaitable<origin_link::search_result> origin_link::find(streams::stream_key key) {
  auto known = shared_.origins.find(key, shared_.time.now());
  if (known || key.attempt.empty()) {
    co_return search_result{std::move(known), false};
  }
  const auto question = std::make_shared<inquiry>(key, executor_);
  const relay::keeper_set keepers = shared_.peers.keepers_of(placement_of(key), keepers_per_stream);
  std::map<std::string, endpoint> addresses;
  for (const endpoint& keeper : keepers.peers) {
    addresses.emplace(to_text(keeper), keeper);
  }
  const bool asked = !addresses.empty();
  co_await ask_all(std::move(addresses), question);
  co_return search_result{question->found, asked && question->all_answered};
}

asio::awaitable<origin_link::vm_search_result> origin_link::find_among(streams::stream_key key,
                                                                       std::set<std::string> vms) {
  std::map<std::string, endpoint> addresses;
  for (const std::string& vm : vms) {
    if (const auto address = shared_.peers.address_of(vm)) {
      addresses.emplace(vm, *address);
    }
  }
  vm_search_result out;
  if (vms.contains(shared_.settings.vm) && knows_own_streams(key.service)) {
    out.excluded.insert(shared_.settings.vm);
  }
  if (addresses.size() > max_vms_asked) {
    co_return out;
  }
  const auto question = std::make_shared<inquiry>(std::move(key), executor_);
  co_await ask_all(std::move(addresses), question);
  out.found = question->found;
  out.excluded.merge(question->excluded);
  co_return out;
}

asio::awaitable<void> origin_link::ask_all(std::map<std::string, endpoint> vms,
                                           std::shared_ptr<inquiry> about) {
  about->open = vms.size();
  about->answered.expires_at(std::chrono::steady_clock::time_point::max());
  for (const auto& [vm, address] : vms) {
    asio::co_spawn(executor_, ask(vm, address, about), asio::detached);
  }
  if (!vms.empty()) {
    co_await about->answered.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (about->found) {
    shared_.origins.record(*about->found, streams::origin_source::peer, shared_.time.now());
  }
}

bool origin_link::knows_own_streams(const std::string& service) const {
  return shared_.origins.is_complete(shared_.time.now()) &&
         shared_.declaration.knows_own_streams(service);
}

asio::awaitable<void> origin_link::ask(std::string vm, endpoint to,
                                       std::shared_ptr<inquiry> about) {
  streams::origin_message message;
  message.questions.push_back(about->key);
  const auto answer = co_await exchange(to, message);
  --about->open;
  about->all_answered = about->all_answered && answer.has_value();
  const auto* origins = answer ? &answer->message.origins : nullptr;
  if (origins != nullptr && !origins->empty() && origins->front().key == about->key) {
    about->found = origins->front();
  } else if (answer && answer->knows_own_streams) {
    about->excluded.insert(std::move(vm));
  }
  if (about->found || about->open == 0) {
    about->answered.cancel();
  }
}

asio::awaitable<std::optional<origin_link::peer_answer>> origin_link::exchange(
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
  co_return peer_answer{std::move(*answer), response->header(knows_own_header).has_value()};
}

void origin_link::add_own_knowledge(const std::string& service,
                                    net::http_response& response) const {
  if (knows_own_streams(service)) {
    response.headers.emplace_back(knows_own_header, "1");
  }
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
    if (!message->questions.empty()) {
      add_own_knowledge(message->questions.front().service, response);
    }
  }
  std::ignore = co_await writer.send(std::move(response));
}

}  // namespace hawthornnotch::gateway::internal
