#include "store_follower.h"

#include <algorithm>
#include <string>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// How often it is looked whether a call is due.
constexpr duration tick_period{100};

std::string joined(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& name : names) {
    out += out.empty() ? "" : ",";
    out += name;
  }
  return out;
}

relay::reading_settings reading_settings_of(relay::reading_kind kind, duration max_staleness,
                                            state& shared) {
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

knowledge::config_offer knowledge::offer_config(std::string text, std::string_view source) {
  auto decoded = shared_.wire.decode_config(text);
  if (!decoded) {
    log_event(level::warning, "config_unreadable", {{"source", source}, {"bytes", text.size()}});
    return config_offer::unreadable;
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
  return offered < shared_.config.version() ? config_offer::outdated : config_offer::in_force;
}

void knowledge::hear_era(std::int64_t era, std::string_view source) {
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

void knowledge::hear_departure(const servers::departure& observed, std::string_view source) {
  const bool is_new = shared_.servers.mark_leaving(observed.server, observed.start_time_ms,
                                                   observed.remaining, shared_.time.now());
  if (!is_new) {
    return;
  }
  log_event(level::info, "server_leaving", {{"server", observed.server}, {"source", source}});
  shared_.metrics->count("hawthornnotch_servers_leaving_total", {});
  listeners_.changed();
}

void knowledge::confirm_config(std::int64_t version, const relay::confirmation& seen) {
  if (version == shared_.config.version()) {
    relay::merge_confirmation(shared_.config_seen, seen);
  }
}

void knowledge::offer_list(servers::list_snapshot reading, std::string_view source) {
  const time_point now = shared_.time.now();
  const platform::store_version version = reading.version;
  const duration age = now - reading.read_at;
  const servers::list_change change = shared_.servers.apply(reading, now);
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

void dependency::succeeded() {
  if (failures_ > 0) {
    log_event(level::info, "dependency_regained", {{"dependency", name_}, {"failures", failures_}});
  }
  failures_ = 0;
}

void dependency::failed_now(std::string_view why) {
  if (failures_ == 0) {
    log_event(level::warning, "dependency_lost", {{"dependency", name_}, {"why", why}});
  }
  ++failures_;
}

config_follower::config_follower(state& shared, knowledge& known, platform::long_poll_store& store,
                                 const asio::any_io_executor& executor)
    : shared_(shared),
      known_(known),
      store_(store),
      ticker_(executor, tick_period, [this] { call_if_due(); }),
      schedule_(
          reading_settings_of(relay::reading_kind::watched, shared.settings.config_bound, shared),
          shared.time.now()) {}

void config_follower::call_if_due() {
  const time_point now = shared_.time.now();
  const relay::confirmation& seen = shared_.config_seen;
  // True also where the store was seen to hold no configuration yet.
  const bool known = seen.version.revision != 0;
  const auto age = known ? std::optional(now - seen.at) : std::nullopt;
  if (!schedule_.due(age, seen.id, shared_.peers.rank(now), now)) {
    return;
  }
  schedule_.began(seen.id);
  const bool has_history = known && seen.version.era == shared_.era.current();
  if (has_history && !read_whole_) {
    await_changes();
  } else {
    read();
  }
}

void config_follower::read() {
  const time_point asked_at = shared_.time.now();
  const std::uint64_t asked_in = shared_.era.restores();
  store_.read(std::string(shared_.wire.config_key()), [this, asked_at, asked_in](auto answer) {
    if (!answer) {
      failed_now(answer.last_reason().kind);
      return;
    }
    take({answer->revision, asked_at, std::move(answer->found), asked_in});
  });
}

void config_follower::await_changes() {
  const time_point asked_at = shared_.time.now();
  const relay::confirmation& seen = shared_.config_seen;
  const duration wait = schedule_.watch_time(seen.id);
  const std::uint64_t asked_in = shared_.era.restores();
  const auto done = [this, asked_at, asked_in, wait](auto changes) {
    if (!changes) {
      failed_now(changes.last_reason().kind);
      return;
    }
    // An answer without a change left the store when the wait was over.  It may have been read much
    // later, by a process that was paused meanwhile.
    const time_point sent_at = changes->events.empty() ? asked_at + wait : asked_at;
    finding found{changes->revision, std::min(sent_at, shared_.time.now()), {}, asked_in};
    for (platform::watch_event& event : changes->events) {
      if (!event.erased) {
        found.items.push_back(std::move(event.now));
      }
    }
    take(found);
  };
  store_.await_changes(std::string(shared_.wire.config_prefix()), seen.version.revision, wait,
                       done);
}

knowledge::config_offer config_follower::offer(std::span<const platform::key_value> items) {
  auto newest = knowledge::config_offer::in_force;
  for (const platform::key_value& each : items) {
    if (each.key == shared_.wire.config_key()) {
      newest = known_.offer_config(each.value, "store");
    }
  }
  return newest;
}

void config_follower::take(const finding& found) {
  const bool restored = found.asked_in != shared_.era.restores();
  if (restored) {
    // What was found may be of either era.
    begin_again();
    return;
  }
  if (found.revision == 0) {
    failed_now(platform::failure_kind::malformed_answer);
    return;
  }
  switch (offer(found.items)) {
    case knowledge::config_offer::unreadable:
      failed_now(platform::failure_kind::malformed_answer);
      return;
    case knowledge::config_offer::outdated:
      // The store was restored from an older copy, and the operators have yet to write again.
      store_config_.failed_now("older_version");
      begin_again();
      return;
    case knowledge::config_offer::in_force:
      break;
  }
  read_whole_ = false;
  store_config_.succeeded();
  const std::uint64_t id = shared_.random.engine()();
  schedule_.succeeded(shared_.config_seen.id, id, !found.items.empty());
  known_.confirm_config(shared_.config.version(),
                        {id, {shared_.era.current(), found.revision}, found.at});
}

void config_follower::failed_now(platform::failure_kind why) {
  store_config_.failed_now(to_string(why));
  const bool lost_history = why == platform::failure_kind::history_gone ||
                            why == platform::failure_kind::malformed_answer;
  if (lost_history) {
    begin_again();
    return;
  }
  const time_point now = shared_.time.now();
  schedule_.failed_now(shared_.peers.rank(now), shared_.random.unit(), now);
}

void config_follower::begin_again() {
  read_whole_ = true;
  const time_point now = shared_.time.now();
  schedule_.failed_now(shared_.peers.rank(now), shared_.random.unit(), now);
}

list_follower::list_follower(state& shared, knowledge& known, platform::long_poll_store& store,
                             const asio::any_io_executor& executor)
    : shared_(shared),
      known_(known),
      store_(store),
      ticker_(executor, tick_period, [this] { call_if_due(); }),
      schedule_(
          reading_settings_of(relay::reading_kind::polled, shared.settings.leave_notice, shared),
          shared.time.now()) {}

std::uint64_t list_follower::newest_id() const {
  const auto& newest = shared_.servers.newest();
  return newest ? newest->id : 0;
}

void list_follower::call_if_due() {
  const time_point now = shared_.time.now();
  const auto age = shared_.servers.age(now);
  if (schedule_.due(age, newest_id(), shared_.peers.rank(now), now)) {
    schedule_.began(newest_id());
    read();
  }
}

void list_follower::read() {
  const time_point asked_at = shared_.time.now();
  const std::uint64_t asked_in = shared_.era.restores();
  store_.read_prefix(
      std::string(shared_.wire.server_prefix()),
      [this, asked_at, asked_in](const auto& answer) { take(answer, asked_at, asked_in); });
}

void list_follower::take(const result<platform::read_outcome, platform::platform_failure>& answer,
                         time_point asked_at, std::uint64_t asked_in) {
  if (answer) {
    store_list_.succeeded();
  } else {
    store_list_.failed_now(to_string(answer.last_reason().kind));
  }
  // Pages that were read around a restore are of two eras.
  const bool restored = asked_in != shared_.era.restores();
  if (!answer || restored) {
    const time_point now = shared_.time.now();
    schedule_.failed_now(shared_.peers.rank(now), shared_.random.unit(), now);
    return;
  }
  servers::list_snapshot reading = reading_of(*answer, asked_at);
  schedule_.succeeded(newest_id(), reading.id, false);
  known_.offer_list(std::move(reading), "store");
}

servers::list_snapshot list_follower::reading_of(const platform::read_outcome& answer,
                                                 time_point asked_at) const {
  servers::list_snapshot reading;
  reading.id = shared_.random.engine()();
  reading.version = {shared_.era.current(), answer.revision};
  reading.read_at = asked_at;
  for (const platform::key_value& each : answer.found) {
    auto entry = shared_.wire.decode_server(each.key, each.value);
    if (entry) {
      reading.entries.push_back(std::move(*entry));
    } else {
      log_event(level::debug, "server_entry_unreadable", {{"key", each.key}});
    }
  }
  return reading;
}

}  // namespace hawthornnotch::gateway::internal
