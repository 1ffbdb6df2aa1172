#include "follower_state_machine.h"

#include <algorithm>
#include <utility>

#include "hawthornnotch/config/codec.h"
#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch {

config_follower::state_machine::state_machine(follower_settings settings,
                                              platform::client& platform, const clock& time,
                                              std::uint64_t seed, table_entry& table,
                                              std::function<void()> changed)
    : settings_(settings),
      platform_(platform),
      time_(time),
      published_table_(table),
      changed_(std::move(changed)),
      random_(seed),
      backoff_(settings.min_backoff) {}

void config_follower::state_machine::start() {
  {
    const std::lock_guard lock(mutex_);
    running_ = true;
    next_head_read_ = time_.now();
  }
  tick();
}

void config_follower::state_machine::stop() {
  std::unique_ptr<platform::watch_handle> old_watch;
  const std::lock_guard lock(mutex_);
  running_ = false;
  watching_ = false;
  ++watch_id_;
  old_watch = std::move(watch_);
}

bool config_follower::state_machine::merge(const workspace_table_update& from) {
  bool notify = false;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, candidate] : from.workspaces) {
      merge_version(candidate);
    }
    if (from.complete) {
      ready_ = true;
    }
    notify = publish();
  }
  if (notify && changed_) {
    changed_();
  }
  return notify;
}

bool config_follower::state_machine::ready() const {
  const std::lock_guard lock(mutex_);
  return ready_;
}

workspace_table_update config_follower::state_machine::table() const {
  const std::lock_guard lock(mutex_);
  return {ready_, table_};
}

follower_view config_follower::state_machine::view() const {
  const std::lock_guard lock(mutex_);
  follower_view status = counters_;
  status.ready = ready_;
  status.watching = watching_;
  status.workspaces = table_.size();
  status.missing = missing_.size();
  return status;
}

void config_follower::state_machine::tick() {
  std::unique_ptr<platform::watch_handle> old_watch;
  const std::lock_guard lock(mutex_);
  if (!watching_) {
    old_watch = std::move(watch_);
  }
  if (!running_) {
    return;
  }
  if (!head_read_pending_ && time_.now() >= next_head_read_) {
    read_head();
  }
  if (time_.now() >= next_version_read_) {
    read_missing();
  }
}

void config_follower::state_machine::read_head() {
  head_read_pending_ = true;
  platform_.read(std::string(config_head_key),
                 [weak_self = weak_from_this()](const auto& response) {
                   if (const auto self = weak_self.lock()) {
                     self->on_head_read(response);
                   }
                 });
}

void config_follower::state_machine::on_head_read(const read_result& response) {
  bool notify = false;
  {
    const std::lock_guard lock(mutex_);
    head_read_pending_ = false;
    if (!running_) {
      return;
    }
    if (!response) {
      back_off();
      return;
    }
    backoff_ = settings_.min_backoff;
    next_head_read_ = time_.now() + with_jitter(settings_.resync_interval);
    apply_head(response->found);
    if (!watching_) {
      start_watch(response->revision);
    }
    notify = publish();
  }
  if (notify && changed_) {
    changed_();
  }
}

void config_follower::state_machine::apply_head(const std::vector<platform::key_value>& found) {
  const auto head = found.empty() ? config_head{} : parse_head(found.front().value);
  if (!head) {
    ++counters_.malformed;
    return;
  }
  head_received_ = true;
  for (const auto& [subject, pointer] : head->subjects) {
    if (subject.what != config_subject::kind::workspace) {
      continue;
    }
    const auto known = table_.find(subject.name);
    const std::uint64_t revision = known == table_.end() ? 0 : known->second.revision;
    config_pointer& target = missing_[subject.name];
    if (pointer.revision > target.revision) {
      target = pointer;
    }
    if (target.revision <= revision) {
      missing_.erase(subject.name);
    }
  }
  read_missing();
}

void config_follower::state_machine::start_watch(std::int64_t revision) {
  watching_ = true;
  const std::uint64_t watch_id = ++watch_id_;
  watch_ = platform_.watch(std::string(config_head_key), revision,
                           [weak_self = weak_from_this(), watch_id](const auto& response) {
                             if (const auto self = weak_self.lock()) {
                               self->on_watch(watch_id, response);
                             }
                           });
}

void config_follower::state_machine::on_watch(std::uint64_t watch_id,
                                              const watch_result& response) {
  bool notify = false;
  {
    const std::lock_guard lock(mutex_);
    if (!running_ || watch_id != watch_id_) {
      return;
    }
    if (!response) {
      watching_ = false;
      back_off();
      return;
    }
    for (const platform::watch_event& event : *response) {
      if (event.now.key == config_head_key && !event.erased) {
        apply_head({event.now});
      }
    }
    notify = publish();
  }
  if (notify && changed_) {
    changed_();
  }
}

void config_follower::state_machine::read_missing() {
  for (const auto& [workspace, pointer] : missing_) {
    if (pending_reads_.size() >= settings_.max_concurrent_reads) {
      return;
    }
    if (!pending_reads_.insert(workspace).second) {
      continue;
    }
    platform_.read(pointer.key,
                   [weak_self = weak_from_this(), name = workspace](const auto& response) {
                     if (const auto self = weak_self.lock()) {
                       self->on_version_read(name, response);
                     }
                   });
  }
}

void config_follower::state_machine::on_version_read(const std::string& workspace,
                                                     const read_result& response) {
  bool notify = false;
  {
    const std::lock_guard lock(mutex_);
    pending_reads_.erase(workspace);
    if (!running_) {
      return;
    }
    if (response) {
      apply_version(workspace, response->found);
    } else {
      back_off();
    }
    notify = publish();
    if (time_.now() >= next_version_read_) {
      read_missing();
    }
  }
  if (notify && changed_) {
    changed_();
  }
}

void config_follower::state_machine::apply_version(const std::string& workspace,
                                                   const std::vector<platform::key_value>& found) {
  const auto object = parse_object(found.empty() ? "" : found.front().value);
  if (object) {
    const auto candidate = parse_workspace(*object);
    if (candidate && candidate->workspace == workspace) {
      merge_version(*candidate);
      return;
    }
  }
  ++counters_.malformed;
  next_version_read_ = time_.now() + settings_.max_backoff;
}

bool config_follower::state_machine::merge_version(const workspace_parameters& candidate) {
  const auto target = missing_.find(candidate.workspace);
  if (target != missing_.end() && target->second.revision <= candidate.revision) {
    missing_.erase(target);
  }
  const auto known = table_.find(candidate.workspace);
  if (known != table_.end() && known->second.revision >= candidate.revision) {
    return false;
  }
  table_[candidate.workspace] = candidate;
  dirty_ = true;
  ++counters_.applied;
  return true;
}

bool config_follower::state_machine::publish() {
  const bool became_ready = !ready_ && head_received_ && missing_.empty();
  if (became_ready) {
    ready_ = true;
  }
  if (!dirty_ && !became_ready) {
    return false;
  }
  dirty_ = false;
  published_table_.post(std::make_shared<const workspace_table>(table_));
  return true;
}

void config_follower::state_machine::back_off() {
  ++counters_.failures;
  const time_point retry_at = time_.now() + with_jitter(backoff_);
  next_head_read_ = retry_at;
  next_version_read_ = retry_at;
  backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
}

// Returns a value between 75 % and 125 % of `mean`.
duration config_follower::state_machine::with_jitter(duration mean) {
  const std::int64_t half = mean.ms / 2;
  const auto offset =
      static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(half + 1)));
  return {mean.ms - half / 2 + offset};
}

}  // namespace hawthornnotch
