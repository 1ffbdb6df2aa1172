// Simulates a fleet of entry VMs that keep one piece of store data up to date, on a simulated
// clock.
#ifndef HAWTHORNNOTCH_TESTS_RELAY_FLEET_MODEL_H_
#define HAWTHORNNOTCH_TESTS_RELAY_FLEET_MODEL_H_

#include <deque>
#include <functional>
#include <vector>

#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/peer_set.h"
#include "hawthornnotch/relay/reading_schedule.h"

namespace hawthornnotch::relay {

// One entry VM: the production decision code with simulated I/O.
struct model_vm {
  model_vm(peer self, const endpoint& seed, const reading_settings& settings,
           std::uint64_t seed_value, time_point now)
      : peers(std::move(self), {seed}, peer_set_settings{}),
        schedule(settings, now),
        random(seed_value) {}

  peer_set peers;
  reading_schedule schedule;
  random_source random;
  confirmation seen;
  // The newest change that it knows of.
  std::int64_t change = 0;
  bool up = true;
  // When the call in progress is answered.
  std::optional<time_point> answered_at;
};

// Exchanges are bidirectional and instantaneous; a call to the store takes 4 ms, or the time for
// which it waits for changes.
class fleet_model {
 public:
  struct settings {
    std::size_t vms = 300;
    std::size_t domains = 6;
    reading_kind kind = reading_kind::polled;
    duration max_staleness{4'000};
  };
  explicit fleet_model(settings what);

  void run_for(duration span);
  // Restarts all processes at once, without any state.
  void restart_all();
  // Makes the store unavailable to all VMs, or to those for which `rejected` returns true.
  void set_store_unavailable(bool unavailable) { unavailable_ = unavailable; }
  void reject_calls(std::function<bool(std::size_t)> rejected) { rejected_ = std::move(rejected); }
  // Partitions a failure domain from the others.
  void partition(std::optional<std::size_t> domain) { partitioned_domain_ = domain; }
  // Stops a process permanently.
  void kill(std::size_t vm) { vms_[vm].up = false; }

  // Disables calls to the store.
  void disable_store() { store_enabled_ = false; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  // The greatest age of any VM's data; nothing while some VM has none.
  [[nodiscard]] std::optional<duration> max_data_age() const;
  [[nodiscard]] std::size_t domain_of(std::size_t vm) const { return vm % settings_.domains; }
  // How often a live and reachable VM was considered dead by another, since the last call.
  [[nodiscard]] std::uint64_t take_false_positives();
  // Makes one VM learn of a change, which it forwards as the gateway does.
  void inject_change(std::size_t vm);
  // How many VMs know of the newest change.
  [[nodiscard]] std::size_t informed_count() const;
  // Change notifications sent to another failure domain so far.
  [[nodiscard]] std::uint64_t remote_notifications() const { return remote_notifications_; }
  // How many VMs the given one considers alive, itself included.
  [[nodiscard]] std::size_t live_count(std::size_t vm) const {
    return vms_[vm].peers.live_count(now_);
  }
  // The VM with the first rank of the whole fleet.
  [[nodiscard]] std::size_t first_reader() const;

 private:
  void step();
  void start(std::size_t vm);
  void exchange(std::size_t vm);
  void check_liveness(std::size_t vm);
  void forward_change(std::size_t vm);
  void call_if_due(std::size_t vm);
  void end_call(std::size_t vm);
  exchange_message message_of(model_vm& from);
  void deliver(model_vm& to, const exchange_message& message);
  [[nodiscard]] bool can_reach(std::size_t a, std::size_t b) const;
  [[nodiscard]] bool store_answers(std::size_t vm) const;

  settings settings_;
  time_point now_{1'000'000};
  std::deque<model_vm> vms_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t false_positives_ = 0;
  std::uint64_t remote_notifications_ = 0;
  std::int64_t newest_change_ = 0;
  // VMs that learned of a change in the last step.
  std::deque<std::size_t> forwarding_;
  std::int64_t revision_ = 100;
  bool unavailable_ = false;
  bool store_enabled_ = true;
  std::function<bool(std::size_t)> rejected_;
  std::optional<std::size_t> partitioned_domain_;
  random_source random_{7};
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_TESTS_RELAY_FLEET_MODEL_H_
