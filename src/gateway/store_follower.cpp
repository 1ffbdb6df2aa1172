#include "store_follower.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Pauses after a failed call: the first, and the longest that doubling leads to.
constexpr duration first_pause{100};
constexpr duration longest_pause{800};
/// How often the age of the list is looked at.
constexpr duration list_tick{100};
/// Age at which the first entry VM in order reads the list again, and what each further one waits
/// longer, up to the greatest age: parts of the time in which a leaving server must be noticed.
constexpr double first_reader_part = 0.4;
constexpr double next_reader_part = 0.12;
constexpr double greatest_part = 0.75;

std::chrono::milliseconds to_chrono(duration span) { return std::chrono::milliseconds(span.ms); }

std::string joined(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& name : names) {
    out += out.empty() ? "" : ",";
    out += name;
  }
  return out;
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

void knowledge::offer_config(std::string text, std::string_view source) {
  auto decoded = shared_.wire.decode_config(text);
  if (!decoded) {
    log_event(level::warning, "config_unreadable", {{"source", source}, {"bytes", text.size()}});
    return;
  }
  const std::int64_t before = shared_.config.version();
  const std::int64_t offered = decoded->version;
  const bool taken = shared_.config.offer(routes::route_table::create(std::move(*decoded)));
  if (!taken) {
    return;
  }
  shared_.config_text = std::move(text);
  log_event(level::info, "config_applied",
            {{"version", offered}, {"before", before}, {"source", source}});
  changed_();
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

duration dependency::failed_now(std::string_view why, random_source& random) {
  if (failures_ == 0) {
    log_event(level::warning, "dependency_lost", {{"dependency", name_}, {"why", why}});
  }
  const std::uint32_t doublings = std::min(failures_, 8U);
  ++failures_;
  const duration pause = std::min(first_pause * (std::int64_t{1} << doublings), longest_pause);
  const double spread = 0.5 + random.unit();
  return {static_cast<std::int64_t>(static_cast<double>(pause.ms) * spread)};
}

config_follower::config_follower(state& shared, knowledge& known, platform::client& store,
                                 const asio::any_io_executor& executor)
    : shared_(shared), known_(known), store_(store), timer_(executor) {}

void config_follower::read() {
  store_.read(std::string(shared_.wire.config_key()), [this](auto answer) {
    if (!answer) {
      const auto why = to_string(answer.last_reason().kind);
      retry_after(store_config_.failed_now(why, shared_.random));
      return;
    }
    store_config_.succeeded();
    take(answer->found);
    watch(answer->revision);
  });
}

void config_follower::take(const std::vector<platform::key_value>& found) {
  for (const platform::key_value& each : found) {
    if (each.key == shared_.wire.config_key()) {
      known_.offer_config(each.value, "store");
    }
  }
}

void config_follower::watch(std::int64_t revision) {
  watch_ = store_.watch(std::string(shared_.wire.config_prefix()), revision, [this](auto events) {
    if (!events) {
      const auto why = to_string(events.last_reason().kind);
      retry_after(store_config_.failed_now(why, shared_.random));
      return;
    }
    for (const platform::watch_event& event : *events) {
      if (!event.erased) {
        take({event.now});
      }
    }
  });
}

void config_follower::retry_after(duration pause) {
  timer_.expires_after(to_chrono(pause));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      watch_.reset();
      read();
    }
  });
}

list_follower::list_follower(state& shared, knowledge& known, platform::client& store,
                             const asio::any_io_executor& executor)
    : shared_(shared), known_(known), store_(store), timer_(executor) {}

duration list_follower::longest_age() const {
  const auto rank = static_cast<double>(shared_.peers.reading_rank(shared_.time.now()));
  const double part = std::min(first_reader_part + next_reader_part * rank, greatest_part);
  return {static_cast<std::int64_t>(part * static_cast<double>(shared_.settings.leave_notice.ms))};
}

void list_follower::tick() {
  const time_point now = shared_.time.now();
  const auto age = shared_.servers.age(now);
  if (!reading_ && now >= not_before_ && (!age || *age >= longest_age())) {
    read();
  }
  timer_.expires_after(to_chrono(list_tick));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void list_follower::read() {
  reading_ = true;
  const time_point asked_at = shared_.time.now();
  store_.read_prefix(std::string(shared_.wire.server_prefix()), [this, asked_at](auto answer) {
    reading_ = false;
    if (!answer) {
      const auto why = to_string(answer.last_reason().kind);
      not_before_ = shared_.time.now() + store_list_.failed_now(why, shared_.random);
      return;
    }
    store_list_.succeeded();
    servers::list_reading reading;
    reading.id = shared_.random.engine()();
    reading.revision = answer->revision;
    reading.read_at = asked_at;
    for (const platform::key_value& each : answer->found) {
      auto entry = shared_.wire.decode_server(each.key, each.value);
      if (entry) {
        reading.entries.push_back(std::move(*entry));
      } else {
        log_event(level::debug, "server_entry_unreadable", {{"key", each.key}});
      }
    }
    known_.offer_list(std::move(reading), "store");
  });
}

}  // namespace hawthornnotch::gateway::internal
