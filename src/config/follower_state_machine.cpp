#include "follower_engine.h"

#include <algorithm>
#include <utility>

#include "hawthornnotch/config/codec.h"
#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch {

config_follower::engine::engine(follower_settings settings, platform::client& platform,
                                const clock& time, std::uint64_t seed, table_entry& table,
                                std::function<void()> changed)
    : settings_(settings),
      platform_(platform),
      time_(time),
      posted_(table),
      changed_(std::move(changed)),
      random_(seed),
      backoff_(settings.shortest_backoff) {}

void config_follower::engine::start() {
  {
    const std::lock_guard lock(mutex_);
    running_ = true;
    next_head_read_ = time_.now();
  }
  tick();
}

void config_follower::engine::stop() {
  std::unique_ptr<platform::watch_handle> ended;
  const std::lock_guard lock(mutex_);
  running_ = false;
  watching_ = false;
  ++watch_number_;
  ended = std::move(watch_);
}

bool config_follower::engine::merge(const workspace_table_update& from) {
  bool tell = false;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, offered] : from.workspaces) {
      apply(offered);
    }
    if (from.complete) {
      ready_ = true;
    }
    tell = publish();
  }
  if (tell && changed_) {
    changed_();
  }
  return tell;
}

bool config_follower::engine::ready() const {
  const std::lock_guard lock(mutex_);
  return ready_;
}

workspace_table_update config_follower::engine::table() const {
  const std::lock_guard lock(mutex_);
  return {ready_, table_};
}

follower_view config_follower::engine::view() const {
  const std::lock_guard lock(mutex_);
  follower_view seen = totals_;
  seen.ready = ready_;
  seen.watching = watching_;
  seen.workspaces = table_.size();
  seen.missing = missing_.size();
  return seen;
}

void config_follower::engine::tick() {
  std::unique_ptr<platform::watch_handle> ended;
  const std::lock_guard lock(mutex_);
  if (!watching_) {
    ended = std::move(watch_);
  }
  if (!running_) {
    return;
  }
  if (!reading_head_ && time_.now() >= next_head_read_) {
    read_head();
  }
  if (time_.now() >= next_version_read_) {
    read_missing();
  }
}

void config_follower::engine::read_head() {
  reading_head_ = true;
  platform_.read(std::string(config_head_key), [held = weak_from_this()](const auto& seen) {
    if (const auto self = held.lock()) {
      self->on_head_read(seen);
    }
  });
}

void config_follower::engine::on_head_read(const read_result& seen) {
  bool tell = false;
  {
    const std::lock_guard lock(mutex_);
    reading_head_ = false;
    if (!running_) {
      return;
    }
    if (!seen) {
      back_off();
      return;
    }
    backoff_ = settings_.shortest_backoff;
    next_head_read_ = time_.now() + jittered(settings_.reread_period);
    take_head(seen->found);
    if (!watching_) {
      begin_watch(seen->revision);
    }
    tell = publish();
  }
  if (tell && changed_) {
    changed_();
  }
}

void config_follower::engine::take_head(const std::vector<platform::key_value>& found) {
  const auto head = found.empty() ? config_head{} : parse_head(found.front().value);
  if (!head) {
    ++totals_.malformed;
    return;
  }
  have_head_ = true;
  for (const auto& [subject, pointer] : head->subjects) {
    if (subject.what != config_subject::kind::workspace) {
      continue;
    }
    const auto here = table_.find(subject.name);
    const std::uint64_t revision = here == table_.end() ? 0 : here->second.revision;
    config_pointer& wanted = missing_[subject.name];
    if (pointer.revision > wanted.revision) {
      wanted = pointer;
    }
    if (wanted.revision <= revision) {
      missing_.erase(subject.name);
    }
  }
  read_missing();
}

void config_follower::engine::begin_watch(std::int64_t revision) {
  watching_ = true;
  const std::uint64_t number = ++watch_number_;
  watch_ = platform_.watch(std::string(config_head_key), revision,
                           [held = weak_from_this(), number](const auto& seen) {
                             if (const auto self = held.lock()) {
                               self->on_watch(number, seen);
                             }
                           });
}

void config_follower::engine::on_watch(std::uint64_t number, const watch_result& seen) {
  bool tell = false;
  {
    const std::lock_guard lock(mutex_);
    if (!running_ || number != watch_number_) {
      return;
    }
    if (!seen) {
      watching_ = false;
      back_off();
      return;
    }
    for (const platform::watch_event& event : *seen) {
      if (event.now.key == config_head_key && !event.erased) {
        take_head({event.now});
      }
    }
    tell = publish();
  }
  if (tell && changed_) {
    changed_();
  }
}

void config_follower::engine::read_missing() {
  for (const auto& [workspace, pointer] : missing_) {
    if (reading_.size() >= settings_.reads_in_flight) {
      return;
    }
    if (!reading_.insert(workspace).second) {
      continue;
    }
    platform_.read(pointer.key, [held = weak_from_this(), name = workspace](const auto& seen) {
      if (const auto self = held.lock()) {
        self->on_version_read(name, seen);
      }
    });
  }
}

void config_follower::engine::on_version_read(const std::string& workspace,
                                              const read_result& seen) {
  bool tell = false;
  {
    const std::lock_guard lock(mutex_);
    reading_.erase(workspace);
    if (!running_) {
      return;
    }
    if (seen) {
      take_version(workspace, seen->found);
    } else {
      back_off();
    }
    tell = publish();
    if (time_.now() >= next_version_read_) {
      read_missing();
    }
  }
  if (tell && changed_) {
    changed_();
  }
}

void config_follower::engine::take_version(const std::string& workspace,
                                           const std::vector<platform::key_value>& found) {
  const auto object = parse_object(found.empty() ? "" : found.front().value);
  if (object) {
    const auto offered = parse_workspace(*object);
    if (offered && offered->workspace == workspace) {
      apply(*offered);
      return;
    }
  }
  ++totals_.malformed;
  next_version_read_ = time_.now() + settings_.longest_backoff;
}

bool config_follower::engine::apply(const workspace_parameters& offered) {
  const auto wanted = missing_.find(offered.workspace);
  if (wanted != missing_.end() && wanted->second.revision <= offered.revision) {
    missing_.erase(wanted);
  }
  const auto here = table_.find(offered.workspace);
  if (here != table_.end() && here->second.revision >= offered.revision) {
    return false;
  }
  table_[offered.workspace] = offered;
  dirty_ = true;
  ++totals_.applied;
  return true;
}

bool config_follower::engine::publish() {
  const bool first_complete = !ready_ && have_head_ && missing_.empty();
  if (first_complete) {
    ready_ = true;
  }
  if (!dirty_ && !first_complete) {
    return false;
  }
  dirty_ = false;
  posted_.post(std::make_shared<const workspace_table>(table_));
  return true;
}

void config_follower::engine::back_off() {
  ++totals_.failures;
  const time_point again = time_.now() + jittered(backoff_);
  next_head_read_ = again;
  next_version_read_ = again;
  backoff_ = std::min(backoff_ * 2, settings_.longest_backoff);
}

// Between three quarters and five quarters of the mean.
duration config_follower::engine::jittered(duration mean) {
  const std::int64_t half = mean.ms / 2;
  const auto shift = static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(half + 1)));
  return {mean.ms - half / 2 + shift};
}

}  // namespace hawthornnotch
