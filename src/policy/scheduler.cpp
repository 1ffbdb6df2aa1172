#include "hawthornnotch/policy/scheduler.h"

#include <mutex>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/policy/server_registry.h"
#include "hawthornnotch/policy/shard.h"
#include "hawthornnotch/policy/workspace_table.h"

namespace hawthornnotch::policy {

namespace {

// Tickets carry their shard's number in the lowest bits.
constexpr std::uint64_t most_shards = 16;

// Requests for what no server serves share one queue, so that their names take no memory.
const std::string unknown_service;

// Locks are taken in this order: fleet, shard, then one server or workspace.
class sharded_scheduler final : public scheduler {
 public:
  sharded_scheduler(const scheduler_settings& settings, const clock& time, std::uint64_t seed)
      : settings_(settings),
        time_(time),
        seed_(seed),
        workspaces_(settings_),
        registry_(settings_),
        shards_(settings.shards) {}

  ticket submit(request_profile profile) override;
  std::vector<decision> take_decisions() override;
  void on_first_token(ticket request, std::uint32_t attempt) override;
  void on_tokens(ticket request, std::uint32_t attempt, std::uint32_t count) override;
  void on_finished(ticket request, std::uint32_t attempt, attempt_end end) override;
  bool retry(ticket request, std::uint32_t attempt, attempt_end end) override;
  void on_caller_gone(ticket request) override;
  void apply(std::shared_ptr<const fleet_snapshot> fleet, std::string_view own_vm) override;
  [[nodiscard]] scheduler_view view() const override;
  [[nodiscard]] std::vector<trace_event> explain(ticket request) const override;

 private:
  // Calls `act` with the queue that holds the request, under the shard's lock.
  template <class Action>
  void with_queue(ticket request, Action act);
  [[nodiscard]] std::size_t shard_of(ticket request) const {
    return (request % most_shards) % shards_.size();
  }
  [[nodiscard]] std::array<std::uint32_t, tier_count> waiting() const;
  void make_queue(shard& part, const std::string& serves);
  static service_queue& queue_for(shard& part, const std::string& serves);

  const scheduler_settings settings_;
  const clock& time_;
  const std::uint64_t seed_;
  workspace_table workspaces_;
  mutable std::mutex fleet_mutex_;
  server_registry registry_;
  std::vector<shard> shards_;
};

ticket sharded_scheduler::submit(request_profile profile) {
  const std::size_t index = stable_hash(profile.serves) % shards_.size();
  shard& part = shards_.at(index);
  make_queue(part, profile.serves);
  auto record = std::make_unique<request_record>();
  record->workspace = workspaces_.find(profile.workspace);
  record->profile = std::move(profile);
  const std::lock_guard lock(part.mutex);
  record->arrived = time_.now();
  record->request = part.next_number++ * most_shards + index;
  const ticket request = record->request;
  service_queue& queue = queue_for(part, record->profile.serves);
  part.by_ticket[request] = &queue;
  queue.submit(std::move(record), time_.now());
  part.collect_ended(queue);
  return request;
}

// A model's queue is made with the fleet in hand, whose lock comes before the shard's.
void sharded_scheduler::make_queue(shard& part, const std::string& serves) {
  {
    const std::lock_guard lock(part.mutex);
    if (part.queues.find(serves) != part.queues.end()) {
      return;
    }
  }
  const std::lock_guard fleet_lock(fleet_mutex_);
  const std::lock_guard lock(part.mutex);
  const std::string& name = registry_.knows(serves) ? serves : unknown_service;
  std::unique_ptr<service_queue>& queue = part.queues[name];
  if (!queue) {
    queue = std::make_unique<service_queue>(name, settings_, stable_hash(name, seed_));
    service_servers found = registry_.servers_of(name);
    queue->set_servers(std::move(found.servers), found.shared, registry_.limits(), time_.now());
  }
}

service_queue& sharded_scheduler::queue_for(shard& part, const std::string& serves) {
  const auto found = part.queues.find(serves);
  return found == part.queues.end() ? *part.queues.at(unknown_service) : *found->second;
}

std::vector<decision> sharded_scheduler::take_decisions() {
  std::vector<decision> decisions;
  const time_point now = time_.now();
  for (shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    for (auto& [serves, queue] : part.queues) {
      queue->run(now, decisions);
      part.collect_ended(*queue);
    }
  }
  return decisions;
}

template <class Action>
void sharded_scheduler::with_queue(ticket request, Action act) {
  shard& part = shards_.at(shard_of(request));
  const std::lock_guard lock(part.mutex);
  service_queue* queue = part.queue_of(request);
  if (queue != nullptr) {
    act(*queue, time_.now());
    part.collect_ended(*queue);
  }
}

void sharded_scheduler::on_first_token(ticket request, std::uint32_t attempt) {
  with_queue(request, [=](service_queue& queue, time_point now) {
    queue.on_first_token(request, attempt, now);
  });
}

void sharded_scheduler::on_tokens(ticket request, std::uint32_t attempt, std::uint32_t count) {
  with_queue(request, [=](service_queue& queue, time_point now) {
    queue.on_tokens(request, attempt, count, now);
  });
}

void sharded_scheduler::on_finished(ticket request, std::uint32_t attempt, attempt_end end) {
  with_queue(request, [=](service_queue& queue, time_point now) {
    queue.on_finished(request, attempt, end, now);
  });
}

bool sharded_scheduler::retry(ticket request, std::uint32_t attempt, attempt_end end) {
  bool again = false;
  with_queue(request, [&](service_queue& queue, time_point now) {
    again = queue.retry(request, attempt, end, now);
  });
  return again;
}

void sharded_scheduler::on_caller_gone(ticket request) {
  with_queue(request,
             [=](service_queue& queue, time_point now) { queue.on_caller_gone(request, now); });
}

std::array<std::uint32_t, tier_count> sharded_scheduler::waiting() const {
  std::array<std::uint32_t, tier_count> sums{};
  for (const shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    for (const auto& [serves, queue] : part.queues) {
      const service_view view = queue->view();
      for (int index = 0; index < tier_count; ++index) {
        sums.at(index) += view.queued.at(index);
      }
    }
  }
  return sums;
}

void sharded_scheduler::apply(std::shared_ptr<const fleet_snapshot> fleet,
                              std::string_view own_vm) {
  const std::lock_guard fleet_lock(fleet_mutex_);
  const time_point now = time_.now();
  const bool changed = registry_.apply(*fleet, own_vm, waiting(), now);
  for (shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    for (auto& [serves, queue] : part.queues) {
      if (changed) {
        service_servers found = registry_.servers_of(serves);
        queue->set_servers(std::move(found.servers), found.shared, registry_.limits(), now);
      } else {
        queue->set_sharing(registry_.shared_by(queue->routers()), registry_.limits());
      }
    }
  }
}

void add(scheduler_totals& sum, const scheduler_totals& more) {
  sum.submitted += more.submitted;
  sum.assigned += more.assigned;
  sum.refused += more.refused;
  sum.preempted += more.preempted;
  sum.retried += more.retried;
  sum.completed += more.completed;
  sum.tokens += more.tokens;
  sum.wasted_tokens += more.wasted_tokens;
}

scheduler_view sharded_scheduler::view() const {
  scheduler_view view;
  const std::lock_guard fleet_lock(fleet_mutex_);
  view.servers = registry_.view(time_.now());
  for (const shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    for (const auto& [serves, queue] : part.queues) {
      view.services.push_back(queue->view());
      add(view.totals, queue->totals());
      for (int index = 0; index < tier_count; ++index) {
        view.waiting.at(index) += view.services.back().queued.at(index);
      }
    }
  }
  return view;
}

std::vector<trace_event> sharded_scheduler::explain(ticket request) const {
  const shard& part = shards_.at(shard_of(request));
  const std::lock_guard lock(part.mutex);
  return part.notes_of(request);
}

}  // namespace

result<std::unique_ptr<scheduler>, scheduler_failure> scheduler::create(scheduler_settings settings,
                                                                        const clock& time,
                                                                        std::uint64_t seed) {
  if (const auto failure = find_failure(settings)) {
    return failed{*failure};
  }
  return std::unique_ptr<scheduler>(std::make_unique<sharded_scheduler>(settings, time, seed));
}

}  // namespace hawthornnotch::policy
