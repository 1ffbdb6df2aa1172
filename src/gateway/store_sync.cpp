#include "store_sync.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// How often to check whether a call to the store is due.
constexpr duration tick_period{100};
/// How long a request waits for a reading of the server list.
constexpr duration max_refresh_wait{500};
constexpr std::chrono::milliseconds refresh_poll_period{5};

std::string joined(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& name : names) {
    out += out.empty() ? "" : ",";
    out += name;
  }
  return out;
}

relay::reading_settings reading_settings_of(relay::reading_kind kind, duration max_staleness,
                                            gateway_state& shared) {
  relay::reading_settings settings;
  settings.kind = kind;
  settings.max_staleness = max_staleness;
  settings.jitter = shared.random.unit();
  const auto& seeds = shared.settings.seeds;
  const bool is_seed = std::find(seeds.begin(), seeds.end(), shared.settings.peers) != seeds.end();
  settings.peers_ask_at_startup = is_seed || seeds.empty();
  return settings;
}

}  // namespace

std::string_view to_string(platform::failure_kind kind) {
  switch (kind) {
    case platform::failure_kind::unreachable:
      return "unreachable";
    case platform::failure_kind::timed_out:
      return "timed_out";
    case platform::failure_kind::overloaded:
      return "overloaded";
    case platform::failure_kind::malformed_answer:
      return "malformed_answer";
    case platform::failure_kind::lease_gone:
      return "lease_gone";
    case platform::failure_kind::history_gone:
      return "history_gone";
  }
  return "";
}

state_updater::config_outcome state_updater::apply_config(std::string text,
                                                          std::string_view source) {
  auto decoded = shared_.wire.decode_config(text);
  if (!decoded) {
    log_event(level::warning, "config_unreadable", {{"source", source}, {"bytes", text.size()}});
    return config_outcome::unreadable;
  }
  const std::int64_t before = shared_.config.version();
  const std::int64_t offered = decoded->version;
  const bool taken = shared_.config.offer(routes::route_table::create(std::move(*decoded)));
  if (taken) {
    shared_.config_text = std::move(text);
    log_event(level::info, "config_applied",
              {{"version", offered}, {"before", before}, {"source", source}});
    listeners_.changed();
  }
  return offered < shared_.config.version() ? config_outcome::outdated : config_outcome::in_force;
}

void state_updater::observe_era(std::int64_t era, std::string_view source) {
  const std::int64_t before = shared_.era.current();
  switch (shared_.era.observed(era)) {
    case relay::era_update::same:
    case relay::era_update::first:
      return;
    case relay::era_update::older:
      log_event(level::debug, "store_era_outdated",
                {{"era", era}, {"known", before}, {"source", source}});
      return;
    case relay::era_update::advanced:
      log_event(level::warning, "store_restored",
                {{"era", era}, {"before", before}, {"source", source}});
      shared_.metrics->count("hawthornnotch_store_restores_total", {});
      listeners_.restored();
      return;
  }
}

void state_updater::apply_departure(const servers::departure& announced, std::string_view source) {
  const bool is_new = shared_.servers.mark_leaving(announced.server, announced.start_time_ms,
                                                   announced.remaining, shared_.time.now());
  if (!is_new) {
    return;
  }
  log_event(level::info, "server_leaving", {{"server", announced.server}, {"source", source}});
  shared_.metrics->count("hawthornnotch_servers_leaving_total", {});
  listeners_.changed();
}

void state_updater::confirm_config_version(std::int64_t version, const relay::confirmation& seen) {
  if (version == shared_.config.version()) {
    relay::merge_confirmation(shared_.config_seen, seen);
  }
}

void state_updater::apply_list(servers::list_snapshot reading, std::string_view source) {
  const time_point now = shared_.time.now();
  const platform::store_version version = reading.version;
  const duration age = now - reading.read_at;
  const servers::list_change change = shared_.servers.apply(reading, now);
  if (const auto& newest = shared_.servers.newest()) {
    const auto newly_mixed = shared_.versions.observe(newest->entries, now);
    if (!newly_mixed.empty()) {
      log_event(level::info, "versions_mixed", {{"services", joined(newly_mixed)}});
      listeners_.versions_mixed(newly_mixed);
    }
  }
  if (change.empty()) {
    return;
  }
  shared_.dispatcher.drop_removed_servers(now);
  log_event(level::info, "servers_changed",
            {{"era", version.era},
             {"revision", version.revision},
             {"age_ms", age.ms},
             {"source", source},
             {"added", joined(change.added)},
             {"leaving", joined(change.leaving)},
             {"removed", joined(change.removed)}});
  if (!change.leaving.empty() || !change.removed.empty()) {
    listeners_.changed();
  }
}

void dependency_monitor::on_success() {
  if (failures_ > 0) {
    log_event(level::info, "dependency_regained", {{"dependency", name_}, {"failures", failures_}});
  }
  failures_ = 0;
}

void dependency_monitor::on_failure(std::string_view reason) {
  if (failures_ == 0) {
    log_event(level::warning, "dependency_lost", {{"dependency", name_}, {"why", reason}});
  }
  ++failures_;
}

config_watcher::config_watcher(gateway_state& shared, state_updater& updater,
                               platform::long_poll_store& store,
                               const asio::any_io_executor& executor)
    : shared_(shared),
      updater_(updater),
      store_(store),
      ticker_(executor, tick_period, [this] { poll_if_due(); }),
      schedule_(
          reading_settings_of(relay::reading_kind::watched, shared.settings.config_bound, shared),
          shared.time.now()) {}

void config_watcher::poll_if_due() {
  const time_point now = shared_.time.now();
  const relay::confirmation& seen = shared_.config_seen;
  // Also true if the store was seen to hold no configuration yet.
  const bool known = seen.version.revision != 0;
  const auto age = known ? std::optional(now - seen.at) : std::nullopt;
  if (!schedule_.due(age, seen.id, shared_.peers.rank(now), now)) {
    return;
  }
  schedule_.began(seen.id);
  const bool has_history = known && seen.version.era == shared_.era.current();
  if (has_history && !full_read_needed_) {
    await_changes();
  } else {
    read();
  }
}

void config_watcher::read() {
  const time_point called_at = shared_.time.now();
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.read(
      std::string(shared_.wire.config_key()), [this, called_at, restores_at_call](auto answer) {
        if (!answer) {
          on_call_failed(answer.last_reason().kind);
          return;
        }
        apply_reading({answer->revision, called_at, std::move(answer->found), restores_at_call});
      });
}

void config_watcher::await_changes() {
  const time_point called_at = shared_.time.now();
  const relay::confirmation& seen = shared_.config_seen;
  const duration wait = schedule_.watch_time(seen.id);
  const std::uint64_t restores_at_call = shared_.era.restores();
  const auto done = [this, called_at, restores_at_call, wait](auto changes) {
    if (!changes) {
      on_call_failed(changes.last_reason().kind);
      return;
    }
    // The store sends an answer without changes when the wait is over.  A process that was paused
    // may read it much later, so the time of receipt would make the reading look too new.
    const time_point sent_at = changes->events.empty() ? called_at + wait : called_at;
    config_reading found{
        changes->revision, std::min(sent_at, shared_.time.now()), {}, restores_at_call};
    for (platform::watch_event& event : changes->events) {
      if (!event.erased) {
        found.items.push_back(std::move(event.now));
      }
    }
    apply_reading(found);
  };
  store_.await_changes(std::string(shared_.wire.config_prefix()), seen.version.revision, wait,
                       done);
}

state_updater::config_outcome config_watcher::apply_items(
    std::span<const platform::key_value> items) {
  auto newest = state_updater::config_outcome::in_force;
  for (const platform::key_value& each : items) {
    if (each.key == shared_.wire.config_key()) {
      newest = updater_.apply_config(each.value, "store");
    }
  }
  return newest;
}

void config_watcher::apply_reading(const config_reading& found) {
  const bool restored = found.restores_at_call != shared_.era.restores();
  if (restored) {
    // The reading may belong to either era.
    schedule_full_read();
    return;
  }
  if (found.revision == 0) {
    on_call_failed(platform::failure_kind::malformed_answer);
    return;
  }
  switch (apply_items(found.items)) {
    case state_updater::config_outcome::unreadable:
      on_call_failed(platform::failure_kind::malformed_answer);
      return;
    case state_updater::config_outcome::outdated:
      // The store was restored from a backup, and the newer version has not been written again yet.
      store_config_.on_failure("older_version");
      schedule_full_read();
      return;
    case state_updater::config_outcome::in_force:
      break;
  }
  full_read_needed_ = false;
  store_config_.on_success();
  const std::uint64_t id = shared_.random.engine()();
  schedule_.succeeded(shared_.config_seen.id, id, !found.items.empty());
  updater_.confirm_config_version(
      shared_.config.version(), {id, {shared_.era.current(), found.revision}, found.confirmed_at});
}

void config_watcher::on_call_failed(platform::failure_kind reason) {
  store_config_.on_failure(to_string(reason));
  const bool lost_history = reason == platform::failure_kind::history_gone ||
                            reason == platform::failure_kind::malformed_answer;
  if (lost_history) {
    schedule_full_read();
    return;
  }
  const time_point now = shared_.time.now();
  schedule_.failed_now(shared_.peers.rank(now), shared_.random.unit(), now);
}

void config_watcher::schedule_full_read() {
  full_read_needed_ = true;
  const time_point now = shared_.time.now();
  schedule_.failed_now(shared_.peers.rank(now), shared_.random.unit(), now);
}

server_list_poller::server_list_poller(gateway_state& shared, state_updater& updater,
                                       platform::long_poll_store& store,
                                       const asio::any_io_executor& executor)
    : shared_(shared),
      updater_(updater),
      store_(store),
      ticker_(executor, tick_period, [this] { poll_if_due(); }),
      schedule_(
          reading_settings_of(relay::reading_kind::polled, shared.settings.leave_notice, shared),
          shared.time.now()),
      executor_(executor) {}

std::uint64_t server_list_poller::newest_id() const {
  const auto& newest = shared_.servers.newest();
  return newest ? newest->id : 0;
}

void server_list_poller::poll_if_due() {
  const time_point now = shared_.time.now();
  const auto age = shared_.servers.age(now);
  if (schedule_.due(age, newest_id(), shared_.peers.rank(now), now)) {
    schedule_.began(newest_id());
    read();
  }
}

bool server_list_poller::is_read_since(time_point since) const {
  const auto& newest = shared_.servers.newest();
  return newest && newest->read_at >= since;
}

// A call that was made earlier may not show what has changed since, so it is waited for first.
asio::awaitable<bool> server_list_poller::refresh(time_point since) {
  const time_point end = shared_.time.now() + max_refresh_wait;
  asio::steady_timer timer(executor_);
  bool called = false;
  while (!is_read_since(since) && shared_.time.now() < end) {
    if (!reading_since_) {
      if (called) {
        break;
      }
      called = true;
      read();
    }
    timer.expires_after(refresh_poll_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return is_read_since(since);
}

void server_list_poller::read() {
  const time_point called_at = shared_.time.now();
  reading_since_ = called_at;
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.read_prefix(std::string(shared_.wire.server_prefix()),
                     [this, called_at, restores_at_call](const auto& answer) {
                       apply_reading(answer, called_at, restores_at_call);
                     });
}

void server_list_poller::apply_reading(
    const result<platform::read_outcome, platform::platform_failure>& answer, time_point called_at,
    std::uint64_t restores_at_call) {
  if (reading_since_ == called_at) {
    reading_since_.reset();
  }
  if (answer) {
    store_list_.on_success();
  } else {
    store_list_.on_failure(to_string(answer.last_reason().kind));
  }
  // Pages read around a restore may belong to different eras.
  const bool restored = restores_at_call != shared_.era.restores();
  if (!answer || restored) {
    const time_point now = shared_.time.now();
    schedule_.failed_now(shared_.peers.rank(now), shared_.random.unit(), now);
    return;
  }
  servers::list_snapshot reading = reading_of(*answer, called_at);
  schedule_.succeeded(newest_id(), reading.id, false);
  updater_.apply_list(std::move(reading), "store");
}

servers::list_snapshot server_list_poller::reading_of(const platform::read_outcome& answer,
                                                      time_point called_at) {
  servers::list_snapshot reading;
  reading.id = shared_.random.engine()();
  reading.version = {shared_.era.current(), answer.revision};
  reading.read_at = called_at;
  for (const platform::key_value& each : answer.found) {
    auto entry = shared_.wire.decode_server(each.key, each.value);
    if (entry) {
      reading.entries.push_back(std::move(*entry));
    } else {
      log_unreadable(each.key);
    }
  }
  return reading;
}

void server_list_poller::log_unreadable(std::string_view key) {
  if (logged_entries_.size() < max_logged_entries && logged_entries_.emplace(key).second) {
    log_event(level::warning, "server_entry_unreadable", {{"key", key}});
  }
}

}  // namespace hawthornnotch::gateway::internal
