#include "agent/platform_feed.h"

#include <algorithm>
#include <utility>

#include "agent/timer.h"
#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/member/json_fields.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::agent {

namespace asio = boost::asio;

namespace {

constexpr duration step_period{100};
// How long an agent that doesn't watch follows the configuration in each slow read period.
constexpr duration slow_follow_duration{3'000};
// Retry delay after a failed read; it doubles with each failure, up to `max_doublings` times.
constexpr duration min_retry_delay{1'000};
constexpr std::uint32_t max_doublings = 4;
// Agents that watch announcements also read them all again at this interval.
constexpr duration announcement_reread_period{10'000};

}  // namespace

std::shared_ptr<platform_feed> platform_feed::create(agent_state& state, platform::client& client,
                                                     platform::vm_list_source& list) {
  std::shared_ptr<platform_feed> feed(new platform_feed(state, client, list));
  const std::weak_ptr<platform_feed> weak = feed;
  feed->follower_ = config_follower::create({}, client, state.time, stable_hash(state.incarnation),
                                            feed->table_, [weak] {
                                              if (const auto alive = weak.lock()) {
                                                alive->apply_configuration();
                                              }
                                            });
  return feed;
}

platform_feed::platform_feed(agent_state& state, platform::client& client,
                             platform::vm_list_source& list)
    : state_(state), client_(client), list_(list), random_(stable_hash(state.incarnation)) {}

asio::awaitable<void> platform_feed::run() {
  const auto self = shared_from_this();
  while (!state_.stopping) {
    const bool watching =
        state_.members.with([](member::membership& members) { return members.watches_platform(); });
    step(watching);
    follow_configuration(watching);
    merge_peer_configuration();
    co_await sleep_for(step_period);
  }
}

void platform_feed::stop() {
  follower_->stop();
  std::unique_ptr<platform::watch_handle> ended;
  const std::lock_guard lock(mutex_);
  ++watch_number_;
  watch_alive_ = false;
  ended = std::move(watch_);
}

void platform_feed::step(bool watching) {
  std::unique_ptr<platform::watch_handle> ended;
  bool list_due = false;
  bool announcements_due = false;
  {
    const std::lock_guard lock(mutex_);
    const time_point now = state_.time.now();
    const bool starts_watching = watching && !watching_;
    watching_ = watching;
    if (starts_watching) {
      next_list_ = now;
      next_announcements_ = now;
    }
    if (!watching || !watch_alive_) {
      ended = std::move(watch_);
      watch_alive_ = false;
    }
    list_due = !reading_list_ && now >= next_list_;
    announcements_due = !reading_announcements_ && now >= next_announcements_;
    reading_list_ = reading_list_ || list_due;
    reading_announcements_ = reading_announcements_ || announcements_due;
  }
  if (list_due) {
    read_list();
  }
  if (announcements_due) {
    read_announcements();
  }
}

// Keeps the load on an overloaded platform from growing with the number of agents: the few that
// watch back off, and the others wait for the slow read period once gossip gave them the
// configuration.
duration platform_feed::next_read_delay(bool answered, duration watching_pause) {
  consecutive_failures_ = answered ? 0 : consecutive_failures_ + 1;
  if (answered) {
    return watching_ ? watching_pause : state_.settings.slow_read_period;
  }
  ++failures_;
  const bool configuration_complete = state_.members.with(
      [](member::membership& members) { return members.configuration_complete(); });
  if (!watching_ && configuration_complete) {
    return state_.settings.slow_read_period;
  }
  const std::uint32_t exponent = std::min(consecutive_failures_ - 1, max_doublings);
  const duration backoff = min_retry_delay * (std::int64_t{1} << exponent);
  const auto jitter = random_.below(static_cast<std::uint64_t>(backoff.ms) / 2);
  return backoff - duration{static_cast<std::int64_t>(jitter)};
}

void platform_feed::read_list() {
  state_.metric_registry->count("hawthornnotch_platform_calls_total", {{"kind", "list"}});
  list_.fetch_vm_list(state_.settings.failure_domain, [weak =
                                                           weak_from_this()](const auto& listed) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (listed) {
      self->state_.members.with([&](member::membership& members) { members.apply_list(*listed); });
    }
    const std::lock_guard lock(self->mutex_);
    self->reading_list_ = false;
    self->next_list_ = self->state_.time.now() +
                       self->next_read_delay(listed.has_value(), self->state_.settings.list_period);
    self->list_reads_ += listed ? 1 : 0;
  });
}

void platform_feed::read_announcements() {
  state_.metric_registry->count("hawthornnotch_platform_calls_total", {{"kind", "announcements"}});
  client_.read_prefix(announcement_prefix_of(state_.settings.failure_domain),
                      [weak = weak_from_this()](const auto& seen) {
                        const auto self = weak.lock();
                        if (!self) {
                          return;
                        }
                        if (seen) {
                          self->apply_announcements(seen->found);
                        }
                        bool watch = false;
                        {
                          const std::lock_guard lock(self->mutex_);
                          self->reading_announcements_ = false;
                          self->next_announcements_ =
                              self->state_.time.now() +
                              self->next_read_delay(seen.has_value(), announcement_reread_period);
                          watch = seen && self->watching_ && !self->watch_alive_;
                        }
                        if (watch) {
                          self->watch_announcements(seen->revision);
                        }
                      });
}

void platform_feed::watch_announcements(std::int64_t revision) {
  state_.metric_registry->count("hawthornnotch_platform_calls_total", {{"kind", "watch"}});
  std::unique_ptr<platform::watch_handle> ended;
  const std::lock_guard lock(mutex_);
  const std::uint64_t number = ++watch_number_;
  watch_alive_ = true;
  ended = std::move(watch_);
  watch_ = client_.watch(announcement_prefix_of(state_.settings.failure_domain), revision,
                         [weak = weak_from_this(), number](const auto& events) {
                           const auto self = weak.lock();
                           if (!self) {
                             return;
                           }
                           if (events) {
                             std::vector<platform::key_value> found;
                             for (const auto& event : *events) {
                               if (!event.erased) {
                                 found.push_back(event.now);
                               }
                             }
                             self->apply_announcements(found);
                             return;
                           }
                           const std::lock_guard held(self->mutex_);
                           if (self->watch_number_ == number) {
                             self->watch_alive_ = false;
                             self->next_announcements_ = self->state_.time.now() + min_retry_delay;
                           }
                         });
}

void platform_feed::apply_announcements(const std::vector<platform::key_value>& found) {
  for (const auto& stored : found) {
    const auto value = parse_json(stored.value);
    const auto vm = value ? parse_fleet_vm(*value) : std::nullopt;
    if (!vm) {
      observe::log_event(observe::level::warning, "announcement_malformed", {{"key", stored.key}});
      continue;
    }
    state_.members.with(
        [&](member::membership& members) { members.apply_announcement(*vm, stored.mod_revision); });
  }
}

void platform_feed::follow_configuration(bool watching) {
  const time_point now = state_.time.now();
  if (now >= next_slow_follow_) {
    next_slow_follow_ = now + state_.settings.slow_read_period;
    slow_follow_ends_ = now + slow_follow_duration;
  }
  const bool wanted = watching || now < slow_follow_ends_ || !follower_->ready();
  if (wanted && !following_) {
    follower_->start();
  } else if (!wanted && following_) {
    follower_->stop();
  }
  following_ = wanted;
  follower_->tick();
}

void platform_feed::apply_configuration() {
  const auto table = table_.read();
  const bool complete = follower_->ready();
  if (table != nullptr) {
    state_.members.with(
        [&](member::membership& members) { members.apply_workspaces(*table, complete); });
  }
}

// Configuration received from peers need not be read from the platform.  A table that is complete
// but has no workspaces triggers no callback, so completeness is passed on here as well.
void platform_feed::merge_peer_configuration() {
  hawthornnotch::workspace_table_update peer_update;
  const bool changed = state_.members.with([&](member::membership& members) {
    if (members.fact_version() == merged_fact_version_) {
      return false;
    }
    merged_fact_version_ = members.fact_version();
    peer_update = {members.configuration_complete(), members.workspaces()};
    return true;
  });
  if (changed) {
    follower_->merge(peer_update);
  }
  if (follower_->ready()) {
    apply_configuration();
  }
}

boost::json::object platform_feed::dump() {
  const auto view = follower_->view();
  const std::lock_guard lock(mutex_);
  boost::json::object out;
  out["watching"] = watching_;
  out["watch_alive"] = watch_alive_;
  out["list_readings"] = list_reads_;
  out["failures"] = failures_;
  out["configuration"] = {{"ready", view.ready},
                          {"watching", view.watching},
                          {"missing", view.missing},
                          {"failures", view.failures},
                          {"malformed", view.malformed}};
  return out;
}

}  // namespace hawthornnotch::agent
