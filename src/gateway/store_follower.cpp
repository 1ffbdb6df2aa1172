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

relay::reading_settings reading_settings_of(relay::reading_kind kind, duration bound,
                                            state& shared) {
  relay::reading_settings settings;
  settings.kind = kind;
  settings.bound = bound;
  settings.spread = shared.random.unit();
  const auto& seeds = shared.settings.seeds;
  const bool is_seed = std::find(seeds.begin(), seeds.end(), shared.settings.peers) != seeds.end();
  settings.others_ask_here = is_seed || seeds.empty();
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

bool knowledge::offer_config(std::string text, std::string_view source) {
  auto decoded = shared_.wire.decode_config(text);
  if (!decoded) {
    log_event(level::warning, "config_unreadable", {{"source", source}, {"bytes", text.size()}});
    return false;
  }
  const std::int64_t before = shared_.config.version();
  const std::int64_t offered = decoded->version;
  const bool taken = shared_.config.offer(routes::route_table::create(std::move(*decoded)));
  if (taken) {
    shared_.config_text = std::move(text);
    log_event(level::info, "config_applied",
              {{"version", offered}, {"before", before}, {"source", source}});
    changed_();
  }
  return true;
}

void knowledge::confirm_config(std::int64_t version, const relay::confirmation& seen) {
  if (version == shared_.config.version()) {
    relay::take_newer(shared_.config_seen, seen);
  }
}

void knowledge::offer_list(servers::list_reading reading, std::string_view source) {
  const time_point now = shared_.time.now();
  const std::int64_t revision = reading.revision;
  const duration age = now - reading.read_at;
  const servers::list_change change = shared_.servers.apply(reading, now);
  if (change.empty()) {
    return;
  }
  shared_.dispatcher.forget_gone();
  log_event(level::info, "servers_changed",
            {{"revision", revision},
             {"age_ms", age.ms},
             {"source", source},
             {"added", joined(change.added)},
             {"leaving", joined(change.leaving)},
             {"removed", joined(change.removed)}});
  if (!change.leaving.empty() || !change.removed.empty()) {
    changed_();
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

config_follower::config_follower(state& shared, knowledge& known, platform::polled_store& store,
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
  const bool known = seen.revision != 0;
  const auto age = known ? std::optional(now - seen.at) : std::nullopt;
  if (!schedule_.due(age, seen.id, shared_.peers.position(now), now)) {
    return;
  }
  schedule_.began(seen.id);
  if (known && !read_whole_) {
    await_changes();
  } else {
    read();
  }
}

void config_follower::read() {
  const time_point asked_at = shared_.time.now();
  store_.read(std::string(shared_.wire.config_key()), [this, asked_at](auto answer) {
    if (!answer) {
      failed_now(answer.last_reason().kind);
      return;
    }
    take({answer->revision, asked_at, std::move(answer->found)});
  });
}

void config_follower::await_changes() {
  const time_point asked_at = shared_.time.now();
  const relay::confirmation& seen = shared_.config_seen;
  const duration wait = schedule_.watch_time(seen.id);
  const auto done = [this, asked_at, wait](auto changes) {
    if (!changes) {
      failed_now(changes.last_reason().kind);
      return;
    }
    // An answer without a change left the store when the wait was over.  It may have been read much
    // later, by a process that was paused meanwhile.
    const time_point sent_at = changes->events.empty() ? asked_at + wait : asked_at;
    finding found{changes->revision, std::min(sent_at, shared_.time.now()), {}};
    for (platform::watch_event& event : changes->events) {
      if (!event.erased) {
        found.items.push_back(std::move(event.now));
      }
    }
    take(found);
  };
  store_.await_changes(std::string(shared_.wire.config_prefix()), seen.revision, wait, done);
}

void config_follower::take(const finding& found) {
  bool readable = found.revision != 0;
  for (const platform::key_value& each : found.items) {
    if (each.key == shared_.wire.config_key()) {
      readable = known_.offer_config(each.value, "store") && readable;
    }
  }
  if (!readable) {
    read_whole_ = true;
    failed_now(platform::failure_kind::malformed_answer);
    return;
  }
  read_whole_ = false;
  store_config_.succeeded();
  const std::uint64_t id = shared_.random.engine()();
  schedule_.succeeded(shared_.config_seen.id, id, !found.items.empty());
  known_.confirm_config(shared_.config.version(), {id, found.revision, found.at});
}

void config_follower::failed_now(platform::failure_kind why) {
  read_whole_ = read_whole_ || why == platform::failure_kind::history_gone;
  store_config_.failed_now(to_string(why));
  const time_point now = shared_.time.now();
  schedule_.failed_now(shared_.peers.position(now), shared_.random.unit(), now);
}

list_follower::list_follower(state& shared, knowledge& known, platform::polled_store& store,
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
  if (schedule_.due(age, newest_id(), shared_.peers.position(now), now)) {
    schedule_.began(newest_id());
    read();
  }
}

void list_follower::read() {
  const time_point asked_at = shared_.time.now();
  store_.read_prefix(std::string(shared_.wire.server_prefix()), [this, asked_at](auto answer) {
    if (!answer) {
      const time_point now = shared_.time.now();
      store_list_.failed_now(to_string(answer.last_reason().kind));
      schedule_.failed_now(shared_.peers.position(now), shared_.random.unit(), now);
      return;
    }
    store_list_.succeeded();
    take(*answer, asked_at);
  });
}

void list_follower::take(const platform::read_outcome& answer, time_point asked_at) {
  servers::list_reading reading;
  reading.id = shared_.random.engine()();
  reading.revision = answer.revision;
  reading.read_at = asked_at;
  for (const platform::key_value& each : answer.found) {
    auto entry = shared_.wire.decode_server(each.key, each.value);
    if (entry) {
      reading.entries.push_back(std::move(*entry));
    } else {
      log_event(level::debug, "server_entry_unreadable", {{"key", each.key}});
    }
  }
  schedule_.succeeded(newest_id(), reading.id, false);
  known_.offer_list(std::move(reading), "store");
}

}  // namespace hawthornnotch::gateway::internal
