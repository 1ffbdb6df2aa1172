#include "peer_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <tuple>
#include <utility>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/net/deflate.h"
#include "hawthornnotch/observe/log.h"
#include "limit_events.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;

namespace {

/// Pause between exchanges.
constexpr std::chrono::milliseconds exchange_period{150};
constexpr duration connect_timeout{300};
constexpr duration response_timeout{600};
constexpr duration total_timeout{3'000};
constexpr duration tcp_user_timeout{1'000};
constexpr std::uint64_t max_message_bytes = 16 * 1024 * 1024;
/// Number of servers whose speed one message reports; later messages report the others.
constexpr std::size_t max_paces_per_message = 16;
/// Number of servers whose limit one message reports; later messages report the others.
constexpr std::size_t max_limits_per_message = 8;
constexpr std::string_view exchange_path = "/exchange";
/// Announces what the sender of an exchange understands beyond its first release.
constexpr std::string_view features_header = "Exchange-Features";
constexpr std::string_view limits_feature = "limits";
constexpr std::string_view suspicions_feature = "suspicions";
constexpr std::string_view software_versions_feature = "software-versions";
constexpr std::string_view records_feature = "records";
constexpr std::string_view declarations_feature = "declarations";
/// Number of suspicions in one message; later messages hold the others.
constexpr std::size_t max_suspicions_per_message = 16;
/// Number of new records in one message; later messages hold the others.  Each costs the smallest
/// VMs processor time at both ends of some 26 messages a second.
constexpr std::size_t max_records_per_message = 12;
/// Number of records that a process gets back when it starts.
constexpr std::size_t max_records_handed_back = 2'000;
/// Minimum time between two rounds of exchanges about crashes.
constexpr duration min_news_interval{100};

net::header_list own_features() {
  return {{std::string(features_header), std::string(limits_feature)},
          {std::string(features_header), std::string(suspicions_feature)},
          {std::string(features_header), std::string(software_versions_feature)},
          {std::string(features_header), std::string(records_feature)},
          {std::string(features_header), std::string(declarations_feature)}};
}

result<relay::exchange_message, relay::codec_failure> decode(std::string_view compressed) {
  const auto plain = net::inflate(compressed, max_message_bytes);
  if (!plain) {
    return failed{relay::codec_failure::malformed};
  }
  return relay::decode(*plain);
}

}  // namespace

peer_link::peer_link(gateway_state& shared, state_updater& updater, crash_guard& crashes,
                     asio::any_io_executor executor)
    : shared_(shared),
      updater_(updater),
      crashes_(crashes),
      executor_(executor),
      timer_(executor) {}

void peer_link::tick() {
  const auto next = shared_.peers.next_contact(shared_.time.now(), shared_.random);
  if (next) {
    start_exchange(*next);
  }
  log_changes();
  if (news_waiting_) {
    spread_news();
  }
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

void peer_link::notify_peers() {
  for (const endpoint& address :
       shared_.peers.peers_to_notify(shared_.time.now(), shared_.random)) {
    start_exchange(address);
  }
}

void peer_link::spread_news() {
  const time_point now = shared_.time.now();
  news_waiting_ = now - news_spread_at_ < min_news_interval;
  if (!news_waiting_) {
    news_spread_at_ = now;
    notify_peers();
  }
}

// An earlier release reads only the first header line of this name.
peer_link::peer_features peer_link::announced_features(const net::header_list& headers) {
  peer_features announced;
  for (const auto& [name, value] : headers) {
    if (name == features_header) {
      announced.limits = announced.limits || value == limits_feature;
      announced.suspicions = announced.suspicions || value == suspicions_feature;
      announced.software_versions =
          announced.software_versions || value == software_versions_feature;
      announced.records = announced.records || value == records_feature;
      announced.declarations = announced.declarations || value == declarations_feature;
    }
  }
  return announced;
}

// The first message to a peer names nothing that the peer may not understand.
void peer_link::add_announced(relay::exchange_message& message, const net::header_list& headers) {
  message.from.declares_versions =
      message.from.declares_versions || announced_features(headers).declarations;
}

peer_link::peer_features peer_link::features_of(const endpoint& peer) const {
  const auto found = features_.find(to_text(peer));
  return found == features_.end() ? peer_features{} : found->second;
}

void peer_link::start_exchange(const endpoint& to) {
  asio::co_spawn(executor_, exchange(to), asio::detached);
}

asio::awaitable<void> peer_link::exchange(endpoint to) {
  const auto answer = co_await send(to, compose_message(features_of(to)));
  if (!answer) {
    co_return;
  }
  // Composed only to be sent, since it takes what is gossiped a limited number of times.
  if (lacks_config(*answer) || lacks_list(*answer)) {
    relay::exchange_message follow_up = compose_message(features_of(to));
    add_missing(follow_up, *answer, features_of(to));
    std::ignore = co_await send(to, follow_up);
  }
}

asio::awaitable<std::optional<relay::exchange_message>> peer_link::send(
    const endpoint& to, const relay::exchange_message& message) {
  net::http_request request;
  request.method = "POST";
  request.target = exchange_path;
  request.headers = own_features();
  request.body = net::deflate(relay::encode(message));
  net::exchange_limits limits;
  limits.connect_timeout = connect_timeout;
  limits.head_timeout = response_timeout;
  limits.read_timeout = response_timeout;
  limits.total_timeout = total_timeout;
  limits.tcp_user_timeout = tcp_user_timeout;
  limits.body_bytes = max_message_bytes;
  auto response = co_await shared_.http->fetch(to, std::move(request), limits);
  if (response) {
    features_[to_text(to)] = announced_features(response->headers);
  } else {
    features_.erase(to_text(to));
    shared_.peers.contact_failed(to, shared_.time.now());
    co_return std::nullopt;
  }
  auto answer = decode(response->body);
  if (!answer) {
    observe::log_event(observe::level::warning, "exchange_unreadable", {{"peer", to.address}});
    co_return std::nullopt;
  }
  add_announced(*answer, response->headers);
  apply_message(*answer);
  // A peer that has just started too may know as little.
  const bool handed_back = message.records_wanted && !answer->records_wanted;
  shared_.wants_records = shared_.wants_records && !handed_back;
  co_return *answer;
}

asio::awaitable<void> peer_link::handle_exchange(net::http_request request,
                                                 net::response_writer& writer) {
  net::http_response response;
  response.headers = own_features();
  auto message = decode(request.body);
  if (!message) {
    response.status = 400;
  } else {
    add_announced(*message, request.headers);
    apply_message(*message);
    const peer_features understood = announced_features(request.headers);
    relay::exchange_message answer = compose_message(understood);
    add_missing(answer, *message, understood);
    if (message->records_wanted) {
      answer.records =
          shared_.records.records_to_hand_back(max_records_handed_back, shared_.time.now());
    }
    response.body = net::deflate(relay::encode(answer));
  }
  std::ignore = co_await writer.send(std::move(response));
}

relay::exchange_message peer_link::compose_message(const peer_features& understood) {
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
  message.paces = shared_.dispatcher.local_paces(max_paces_per_message, now);
  message.peers = shared_.peers.sample_peers(now, shared_.random);
  if (understood.suspicions) {
    message.suspicions = crashes_.suspicions_to_gossip(max_suspicions_per_message);
  }
  if (understood.limits) {
    dispatch::server_limits& limits = shared_.dispatcher.limits();
    message.fleet_time = limits.fleet_time(now);
    message.limits = limits.limits_to_gossip(max_limits_per_message);
  }
  if (understood.records) {
    message.records = shared_.records.records_to_send(max_records_per_message, now);
    message.records_wanted = shared_.wants_records;
  }
  if (!understood.declarations) {
    message.from.declares_versions = false;
    for (relay::peer& each : message.peers) {
      each.declares_versions = false;
    }
  }
  return message;
}

bool peer_link::lacks_config(const relay::exchange_message& theirs) const {
  return theirs.config_version < shared_.config.version();
}

bool peer_link::lacks_list(const relay::exchange_message& theirs) const {
  const auto& list = shared_.servers.newest();
  const bool newer = list && theirs.list_version < list->version;
  return newer && theirs.list_digest != shared_.servers.digest();
}

void peer_link::add_missing(relay::exchange_message& message, const relay::exchange_message& theirs,
                            const peer_features& understood) const {
  if (lacks_config(theirs)) {
    message.config = shared_.config_text;
  }
  if (lacks_list(theirs)) {
    message.list = shared_.servers.newest()->entries;
    if (!understood.software_versions) {
      for (servers::server_entry& each : *message.list) {
        each.software_version.clear();
      }
    }
    if (!understood.records) {
      for (servers::server_entry& each : *message.list) {
        each.preemptible = false;
        each.leaves_in.reset();
      }
    }
  }
}

void peer_link::apply_message(const relay::exchange_message& message) {
  const time_point now = shared_.time.now();
  shared_.peers.merge_message(message, now);
  shared_.dispatcher.apply_peer_paces(message.paces, now);
  shared_.dispatcher.apply_absences(message.absences, now);
  shared_.dispatcher.apply_peer_work(shared_.peers.total_peer_work(now));
  apply_limits(message);
  apply_records(message);
  crashes_.merge(message.suspicions, message.from.vm);
  updater_.observe_era(std::max(message.config_seen.era, message.list_version.era),
                       message.from.vm);
  for (const servers::departure& each : message.departures) {
    updater_.apply_departure(each, message.from.vm);
  }
  if (message.config) {
    // If it is outdated or unreadable, the one in force stays.
    std::ignore = updater_.apply_config(*message.config, message.from.vm);
  }
  updater_.confirm_config_version(
      message.config_version, {message.config_id, message.config_seen, now - message.config_age});
  apply_peer_list(message);
}

void peer_link::apply_limits(const relay::exchange_message& message) {
  const time_point now = shared_.time.now();
  dispatch::server_limits& limits = shared_.dispatcher.limits();
  limits.set_other_members(shared_.peers.known_hashes());
  limits.observe_fleet_time(message.fleet_time, now);
  for (const servers::rate_limit& each : message.limits) {
    if (const auto change = limits.record_peer(each, now)) {
      log_limit_change(*change, message.from.vm, "");
    }
  }
}

void peer_link::apply_records(const relay::exchange_message& message) {
  const time_point now = shared_.time.now();
  shared_.records.drop_expired(now);
  shared_.records.set_fleet_size(shared_.peers.live_count(now));
  for (const replication::record& each : message.records) {
    shared_.records.merge(each, now);
  }
}

void peer_link::apply_peer_list(const relay::exchange_message& message) {
  const auto& current = shared_.servers.newest();
  servers::list_snapshot reading;
  reading.id = message.list_id;
  reading.version = message.list_version;
  reading.read_at = shared_.time.now() - message.list_age;
  if (shared_.servers.record_copy(reading.id, reading.read_at)) {
    return;
  }
  // The store's revision does not change while nothing is written; the later reading is newer then.
  const bool newer = !current || reading.version > current->version ||
                     (reading.version == current->version && reading.read_at > current->read_at);
  if (message.list_version.revision == 0 || !newer) {
    return;
  }
  if (message.list) {
    reading.entries = *message.list;
  } else if (current && shared_.servers.digest() == message.list_digest) {
    reading.entries = current->entries;
  } else {
    return;
  }
  updater_.apply_list(std::move(reading), message.from.vm);
}

}  // namespace hawthornnotch::gateway::internal
