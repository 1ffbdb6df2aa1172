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
// How long an agent that doesn't watch follows the configuration each slow period.
constexpr duration slow_follow_length{3'000};
// Between two tries of a reading that failed: doubles up to the longest.
constexpr duration shortest_retry{1'000};
constexpr std::uint32_t most_doublings = 4;
// Announcements are also read again at this period by agents that watch them.
constexpr duration announcement_reread{10'000};

}  // namespace

std::shared_ptr<platform_feed> platform_feed::create(agent_board& board, platform::client& client,
                                                     platform::vm_list_source& list) {
  std::shared_ptr<platform_feed> feed(new platform_feed(board, client, list));
  const std::weak_ptr<platform_feed> weak = feed;
  feed->follower_ = config_follower::create({}, client, board.time, stable_hash(board.incarnation),
                                            feed->table_, [weak] {
                                              if (const auto alive = weak.lock()) {
                                                alive->take_configuration();
                                              }
                                            });
  return feed;
}

platform_feed::platform_feed(agent_board& board, platform::client& client,
                             platform::vm_list_source& list)
    : board_(board), client_(client), list_(list), random_(stable_hash(board.incarnation)) {}

asio::awaitable<void> platform_feed::run() {
  const auto self = shared_from_this();
  while (!board_.stopping) {
    const bool watching =
        board_.members.with([](member::membership& members) { return members.watches_platform(); });
    step(watching);
    follow_configuration(watching);
    offer_peers_configuration();
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
    const time_point now = board_.time.now();
    const bool begins = watching && !watching_;
    watching_ = watching;
    if (begins) {
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

// An overloaded service must not be asked the more often the more agents there are: the few that
// watch back off, the others wait for the slow period once peers have told them the configuration.
duration platform_feed::pause_after(bool answered, duration watching_pause) {
  failures_in_row_ = answered ? 0 : failures_in_row_ + 1;
  if (answered) {
    return watching_ ? watching_pause : board_.settings.slow_period;
  }
  ++failures_;
  const bool told_by_peers = board_.members.with(
      [](member::membership& members) { return members.configuration_complete(); });
  if (!watching_ && told_by_peers) {
    return board_.settings.slow_period;
  }
  const std::uint32_t doublings = std::min(failures_in_row_ - 1, most_doublings);
  const duration longest = shortest_retry * (std::int64_t{1} << doublings);
  const auto jitter = random_.below(static_cast<std::uint64_t>(longest.ms) / 2);
  return longest - duration{static_cast<std::int64_t>(jitter)};
}

void platform_feed::read_list() {
  board_.counters->count("hawthornnotch_platform_calls_total", {{"kind", "list"}});
  list_.fetch_vm_list(board_.settings.failure_domain, [weak =
                                                           weak_from_this()](const auto& listed) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (listed) {
      self->board_.members.with([&](member::membership& members) { members.apply_list(*listed); });
    }
    const std::lock_guard lock(self->mutex_);
    self->reading_list_ = false;
    self->next_list_ = self->board_.time.now() +
                       self->pause_after(listed.has_value(), self->board_.settings.list_period);
    self->list_readings_ += listed ? 1 : 0;
  });
}

void platform_feed::read_announcements() {
  board_.counters->count("hawthornnotch_platform_calls_total", {{"kind", "announcements"}});
  client_.read_prefix(announcement_prefix_of(board_.settings.failure_domain),
                      [weak = weak_from_this()](const auto& seen) {
                        const auto self = weak.lock();
                        if (!self) {
                          return;
                        }
                        if (seen) {
                          self->take_announcements(seen->found);
                        }
                        bool watch = false;
                        {
                          const std::lock_guard lock(self->mutex_);
                          self->reading_announcements_ = false;
                          self->next_announcements_ =
                              self->board_.time.now() +
                              self->pause_after(seen.has_value(), announcement_reread);
                          watch = seen && self->watching_ && !self->watch_alive_;
                        }
                        if (watch) {
                          self->watch_announcements(seen->revision);
                        }
                      });
}

void platform_feed::watch_announcements(std::int64_t revision) {
  board_.counters->count("hawthornnotch_platform_calls_total", {{"kind", "watch"}});
  std::unique_ptr<platform::watch_handle> ended;
  const std::lock_guard lock(mutex_);
  const std::uint64_t number = ++watch_number_;
  watch_alive_ = true;
  ended = std::move(watch_);
  watch_ = client_.watch(announcement_prefix_of(board_.settings.failure_domain), revision,
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
                             self->take_announcements(found);
                             return;
                           }
                           const std::lock_guard held(self->mutex_);
                           if (self->watch_number_ == number) {
                             self->watch_alive_ = false;
                             self->next_announcements_ = self->board_.time.now() + shortest_retry;
                           }
                         });
}

void platform_feed::take_announcements(const std::vector<platform::key_value>& found) {
  for (const auto& stored : found) {
    const auto value = parse_json(stored.value);
    const auto vm = value ? parse_fleet_vm(*value) : std::nullopt;
    if (!vm) {
      observe::log_event(observe::level::warning, "announcement_malformed", {{"key", stored.key}});
      continue;
    }
    board_.members.with(
        [&](member::membership& members) { members.apply_announcement(*vm, stored.mod_revision); });
  }
}

void platform_feed::follow_configuration(bool watching) {
  const time_point now = board_.time.now();
  if (now >= next_slow_follow_) {
    next_slow_follow_ = now + board_.settings.slow_period;
    slow_follow_ends_ = now + slow_follow_length;
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

void platform_feed::take_configuration() {
  const auto table = table_.read();
  const bool complete = follower_->ready();
  if (table != nullptr) {
    board_.members.with(
        [&](member::membership& members) { members.apply_workspaces(*table, complete); });
  }
}

// What peers know needs no reading from the platform; and a table that stood complete without any
// workspace posts nothing, so readiness is passed on here too.
void platform_feed::offer_peers_configuration() {
  hawthornnotch::workspace_table_update offer;
  const bool news = board_.members.with([&](member::membership& members) {
    if (members.fact_version() == offered_) {
      return false;
    }
    offered_ = members.fact_version();
    offer = {members.configuration_complete(), members.workspaces()};
    return true;
  });
  if (news) {
    follower_->merge(offer);
  }
  if (follower_->ready()) {
    take_configuration();
  }
}

boost::json::object platform_feed::dump() {
  const auto view = follower_->view();
  const std::lock_guard lock(mutex_);
  boost::json::object out;
  out["watching"] = watching_;
  out["watch_alive"] = watch_alive_;
  out["list_readings"] = list_readings_;
  out["failures"] = failures_;
  out["configuration"] = {{"ready", view.ready},
                          {"watching", view.watching},
                          {"missing", view.missing},
                          {"failures", view.failures},
                          {"malformed", view.malformed}};
  return out;
}

}  // namespace hawthornnotch::agent
