#include "peer_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <tuple>
#include <utility>

#include "hawthornnotch/net/deflate.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;

namespace {

/// Pause between two exchanges.
constexpr std::chrono::milliseconds exchange_period{150};
constexpr duration connect_timeout{300};
constexpr duration answer_timeout{600};
constexpr duration whole_answer_timeout{3'000};
constexpr duration tcp_user_timeout{1'000};
constexpr std::uint64_t most_message_bytes = 16 * 1024 * 1024;
/// Servers whose speed one message tells; the next message goes on with the others.
constexpr std::size_t paces_in_message = 16;
constexpr std::string_view exchange_path = "/exchange";

result<relay::exchange_message, relay::codec_failure> decode(std::string_view compressed) {
  const auto plain = net::inflate(compressed, most_message_bytes);
  if (!plain) {
    return failed{relay::codec_failure::malformed};
  }
  return relay::decode(*plain);
}

}  // namespace

peer_link::peer_link(state& shared, knowledge& known, asio::any_io_executor executor)
    : shared_(shared), known_(known), executor_(executor), timer_(executor) {}

void peer_link::tick() {
  const auto next = shared_.peers.next_contact(shared_.time.now(), shared_.random);
  if (next) {
    exchange_with(*next);
  }
  log_changes();
  timer_.expires_after(exchange_period);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void peer_link::log_changes() {
  const relay::peer_changes changes = shared_.peers.take_changes(shared_.time.now());
  for (const std::string& vm : changes.found) {
    observe::log_event(observe::level::info, "peer_found", {{"peer", vm}});
  }
  for (const std::string& vm : changes.lost) {
    observe::log_event(observe::level::warning, "peer_lost", {{"peer", vm}});
  }
}

void peer_link::tell_all() {
  for (const endpoint& address :
       shared_.peers.peers_to_notify(shared_.time.now(), shared_.random)) {
    exchange_with(address);
  }
}

void peer_link::exchange_with(const endpoint& to) {
  asio::co_spawn(executor_, exchange(to), asio::detached);
}

asio::awaitable<void> peer_link::exchange(endpoint to) {
  const auto answer = co_await send(to, compose());
  if (!answer) {
    co_return;
  }
  relay::exchange_message more = compose();
  add_missing(more, *answer);
  if (more.config || more.list) {
    std::ignore = co_await send(to, more);
  }
}

asio::awaitable<std::optional<relay::exchange_message>> peer_link::send(
    const endpoint& to, const relay::exchange_message& message) {
  net::http_request request;
  request.method = "POST";
  request.target = exchange_path;
  request.body = net::deflate(relay::encode(message));
  net::exchange_limits limits;
  limits.connect_timeout = connect_timeout;
  limits.head_timeout = answer_timeout;
  limits.read_timeout = answer_timeout;
  limits.total_timeout = whole_answer_timeout;
  limits.tcp_user_timeout = tcp_user_timeout;
  limits.body_bytes = most_message_bytes;
  auto response = co_await shared_.http->fetch(to, std::move(request), limits);
  if (!response) {
    shared_.peers.contact_failed(to, shared_.time.now());
    co_return std::nullopt;
  }
  const auto answer = decode(response->body);
  if (!answer) {
    observe::log_event(observe::level::warning, "exchange_unreadable", {{"peer", to.address}});
    co_return std::nullopt;
  }
  take(*answer);
  co_return *answer;
}

asio::awaitable<void> peer_link::handle(net::http_request request, net::response_writer& writer) {
  net::http_response response;
  const auto message = decode(request.body);
  if (!message) {
    response.status = 400;
  } else {
    take(*message);
    relay::exchange_message answer = compose();
    add_missing(answer, *message);
    response.body = net::deflate(relay::encode(answer));
  }
  std::ignore = co_await writer.send(std::move(response));
}

relay::exchange_message peer_link::compose() {
  relay::exchange_message message;
  const time_point now = shared_.time.now();
  message.from = shared_.peers.next_heartbeat(shared_.dispatcher.local_work());
  message.config_version = shared_.config.version();
  message.config_id = shared_.config_seen.id;
  message.config_seen = shared_.config_seen.version;
  message.config_age = now - shared_.config_seen.at;
  if (const auto& list = shared_.servers.newest()) {
    message.list_version = list->version;
    message.list_id = list->id;
    message.list_age = now - list->read_at;
    message.list_digest = shared_.servers.digest();
  }
  message.absences = shared_.dispatcher.absences(now);
  message.departures = shared_.servers.departures_to_gossip(now);
  message.paces = shared_.dispatcher.local_paces(paces_in_message, now);
  message.peers = shared_.peers.sample_peers(now, shared_.random);
  return message;
}

void peer_link::add_missing(relay::exchange_message& message,
                            const relay::exchange_message& theirs) const {
  if (theirs.config_version < message.config_version) {
    message.config = shared_.config_text;
  }
  const auto& list = shared_.servers.newest();
  const bool newer = list && theirs.list_version < message.list_version;
  if (newer && theirs.list_digest != message.list_digest) {
    message.list = list->entries;
  }
}

void peer_link::take(const relay::exchange_message& message) {
  const time_point now = shared_.time.now();
  shared_.peers.merge_message(message, now);
  shared_.dispatcher.apply_peer_paces(message.paces, now);
  shared_.dispatcher.apply_absences(message.absences, now);
  shared_.dispatcher.apply_peer_work(shared_.peers.total_peer_work(now));
  known_.hear_era(std::max(message.config_seen.era, message.list_version.era), message.from.vm);
  for (const servers::departure& each : message.departures) {
    known_.hear_departure(each, message.from.vm);
  }
  if (message.config) {
    // An outdated or unreadable one is logged, and what is in force stays.
    std::ignore = known_.offer_config(*message.config, message.from.vm);
  }
  known_.confirm_config(message.config_version,
                        {message.config_id, message.config_seen, now - message.config_age});
  take_list(message);
}

void peer_link::take_list(const relay::exchange_message& message) {
  const auto& own = shared_.servers.newest();
  servers::list_snapshot reading;
  reading.id = message.list_id;
  reading.version = message.list_version;
  reading.read_at = shared_.time.now() - message.list_age;
  if (shared_.servers.record_copy(reading.id, reading.read_at)) {
    return;
  }
  // The store's revision stands still while nothing changes: then the later reading is newer.
  const bool newer = !own || reading.version > own->version ||
                     (reading.version == own->version && reading.read_at > own->read_at);
  if (message.list_version.revision == 0 || !newer) {
    return;
  }
  if (message.list) {
    reading.entries = *message.list;
  } else if (own && shared_.servers.digest() == message.list_digest) {
    reading.entries = own->entries;
  } else {
    return;
  }
  known_.offer_list(std::move(reading), message.from.vm);
}

}  // namespace hawthornnotch::gateway::internal
