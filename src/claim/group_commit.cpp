#include "hawthornnotch/claim/group_commit.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace hawthornnotch::claim {

namespace {

using platform::key_value;

const std::string& key_of(const platform::condition& condition) {
  return std::visit([](const auto& alternative) -> const std::string& { return alternative.key; },
                    condition);
}

const key_value* find_key(const std::vector<key_value>& current, const std::string& key) {
  const auto at = std::find_if(current.begin(), current.end(),
                               [&](const key_value& candidate) { return candidate.key == key; });
  return at == current.end() ? nullptr : &*at;
}

bool holds(const platform::condition& condition, const key_value* current) {
  return std::visit(overloaded{[&](const platform::must_be_absent&) { return current == nullptr; },
                               [&](const platform::must_be_unchanged& same) {
                                 return current != nullptr &&
                                        current->mod_revision == same.mod_revision;
                               }},
                    condition);
}

}  // namespace

std::shared_ptr<group_commit> group_commit::create(platform::client& platform, const clock& time,
                                                   group_commit_limits limits) {
  return std::shared_ptr<group_commit>(new group_commit(platform, time, limits));
}

group_commit::group_commit(platform::client& platform, const clock& time,
                           group_commit_limits limits)
    : platform_(platform), time_(time), limits_(limits), next_commit_at_(time.now()) {}

group_commit::write_id group_commit::submit(conditional_write write, write_callback done) {
  const std::lock_guard lock(mutex_);
  ++last_id_;
  queue_.push_back({last_id_, std::move(write), std::move(done)});
  return last_id_;
}

bool group_commit::cancel(write_id id) {
  const std::lock_guard lock(mutex_);
  return std::erase_if(queue_, [&](const queued_write& queued) { return queued.id == id; }) > 0;
}

void group_commit::send_ready() {
  while (const auto writes = take_batch()) {
    send(writes);
  }
}

group_commit::counters group_commit::view() const {
  const std::lock_guard lock(mutex_);
  counters snapshot = counters_;
  snapshot.queued = queue_.size();
  return snapshot;
}

std::shared_ptr<group_commit::batch> group_commit::take_batch() {
  const std::lock_guard lock(mutex_);
  const bool has_capacity = counters_.in_flight < limits_.commits_in_flight;
  if (queue_.empty() || !has_capacity || time_.now() < next_commit_at_) {
    return nullptr;
  }
  next_commit_at_ = time_.now() + limits_.commit_interval;
  auto writes = std::make_shared<batch>();
  std::size_t bytes = 0;
  while (!queue_.empty() && writes->size() < limits_.writes_per_commit) {
    bytes += queue_.front().write.effect.value.size();
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
  platform::transaction transaction;
  for (const queued_write& queued : *writes) {
    transaction.conditions.push_back(queued.write.condition);
    transaction.effects.emplace_back(queued.write.effect);
    transaction.read_on_conflict.push_back(key_of(queued.write.condition));
  }
  platform_.transact(std::move(transaction),
                     [self = shared_from_this(), writes](const auto& response) {
                       self->on_response(writes, response);
                     });
}

void group_commit::on_response(
    const std::shared_ptr<batch>& writes,
    const result<platform::transaction_outcome, platform::platform_failure>& response) {
  {
    const std::lock_guard lock(mutex_);
    --counters_.in_flight;
    counters_.failed_commits += response ? 0 : 1;
  }
  if (!response) {
    for (queued_write& queued : *writes) {
      queued.done(response.last_reason());
    }
  } else if (response->applied) {
    for (queued_write& queued : *writes) {
      queued.done(write_applied{response->revision});
    }
  } else {
    for (queued_write& queued : requeue_nonconflicting(*writes, response->current)) {
      const key_value* current = find_key(response->current, key_of(queued.write.condition));
      queued.done(write_conflict{current == nullptr ? std::nullopt : std::optional(*current)});
    }
  }
  send_ready();
}

group_commit::batch group_commit::requeue_nonconflicting(batch& writes,
                                                         const std::vector<key_value>& current) {
  const std::lock_guard lock(mutex_);
  batch conflicting;
  batch requeued;
  for (queued_write& queued : writes) {
    const bool condition_holds =
        holds(queued.write.condition, find_key(current, key_of(queued.write.condition)));
    (condition_holds ? requeued : conflicting).push_back(std::move(queued));
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(requeued.begin()),
                std::make_move_iterator(requeued.end()));
  return conflicting;
}

}  // namespace hawthornnotch::claim
