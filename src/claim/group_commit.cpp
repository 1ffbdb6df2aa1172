#include "hawthornnotch/claim/group_commit.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace hawthornnotch::claim {

namespace {

using platform::key_value;

const std::string& key_of(const platform::condition& guard) {
  return std::visit([](const auto& one) -> const std::string& { return one.key; }, guard);
}

const key_value* find_key(const std::vector<key_value>& current, const std::string& key) {
  const auto at = std::find_if(current.begin(), current.end(),
                               [&](const key_value& one) { return one.key == key; });
  return at == current.end() ? nullptr : &*at;
}

bool holds(const platform::condition& guard, const key_value* current) {
  return std::visit(overloaded{[&](const platform::must_be_absent&) { return current == nullptr; },
                               [&](const platform::must_be_unchanged& same) {
                                 return current != nullptr &&
                                        current->mod_revision == same.mod_revision;
                               }},
                    guard);
}

}  // namespace

std::shared_ptr<group_commit> group_commit::create(platform::client& platform, const clock& time,
                                                   group_commit_limits limits) {
  return std::shared_ptr<group_commit>(new group_commit(platform, time, limits));
}

group_commit::group_commit(platform::client& platform, const clock& time,
                           group_commit_limits limits)
    : platform_(platform), time_(time), limits_(limits), may_send_at_(time.now()) {}

group_commit::write_id group_commit::submit(guarded_write what, write_callback done) {
  const std::lock_guard lock(mutex_);
  ++last_id_;
  queue_.push_back({last_id_, std::move(what), std::move(done)});
  return last_id_;
}

bool group_commit::withdraw(write_id which) {
  const std::lock_guard lock(mutex_);
  return std::erase_if(queue_, [&](const queued_write& one) { return one.id == which; }) > 0;
}

void group_commit::pump() {
  while (const auto writes = take_batch()) {
    send(writes);
  }
}

group_commit::counters group_commit::view() const {
  const std::lock_guard lock(mutex_);
  counters seen = counters_;
  seen.queued = queue_.size();
  return seen;
}

std::shared_ptr<group_commit::batch> group_commit::take_batch() {
  const std::lock_guard lock(mutex_);
  const bool room = counters_.in_flight < limits_.commits_in_flight;
  if (queue_.empty() || !room || time_.now() < may_send_at_) {
    return nullptr;
  }
  may_send_at_ = time_.now() + limits_.commit_interval;
  auto writes = std::make_shared<batch>();
  std::size_t bytes = 0;
  while (!queue_.empty() && writes->size() < limits_.writes_per_commit) {
    bytes += queue_.front().what.effect.value.size();
    if (!writes->empty() && bytes > limits_.bytes_per_commit) {
      break;
    }
    writes->push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  ++counters_.in_flight;
  ++counters_.commits;
  counters_.writes += writes->size();
  return writes;
}

void group_commit::send(const std::shared_ptr<batch>& writes) {
  platform::transaction what;
  for (const queued_write& one : *writes) {
    what.conditions.push_back(one.what.guard);
    what.effects.emplace_back(one.what.effect);
    what.read_on_conflict.push_back(key_of(one.what.guard));
  }
  platform_.transact(std::move(what), [self = shared_from_this(), writes](const auto& seen) {
    self->finished(writes, seen);
  });
}

void group_commit::finished(
    const std::shared_ptr<batch>& writes,
    const result<platform::transaction_outcome, platform::platform_failure>& seen) {
  {
    const std::lock_guard lock(mutex_);
    --counters_.in_flight;
    counters_.failed_commits += seen ? 0 : 1;
  }
  if (!seen) {
    for (queued_write& one : *writes) {
      one.done(seen.last_reason());
    }
  } else if (seen->applied) {
    for (queued_write& one : *writes) {
      one.done(write_applied{seen->revision});
    }
  } else {
    for (queued_write& one : put_back_unrefused(*writes, seen->current)) {
      const key_value* current = find_key(seen->current, key_of(one.what.guard));
      one.done(write_conflict{current == nullptr ? std::nullopt : std::optional(*current)});
    }
  }
  pump();
}

group_commit::batch group_commit::put_back_unrefused(batch& writes,
                                                     const std::vector<key_value>& current) {
  const std::lock_guard lock(mutex_);
  batch refused;
  batch kept;
  for (queued_write& one : writes) {
    const bool may_go = holds(one.what.guard, find_key(current, key_of(one.what.guard)));
    (may_go ? kept : refused).push_back(std::move(one));
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(kept.begin()),
                std::make_move_iterator(kept.end()));
  return refused;
}

}  // namespace hawthornnotch::claim
