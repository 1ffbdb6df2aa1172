// Many entry VMs that keep one thing from the store up to date, on a stepped clock.
#ifndef HAWTHORNNOTCH_TESTS_RELAY_FLEET_MODEL_H_
#define HAWTHORNNOTCH_TESTS_RELAY_FLEET_MODEL_H_

#include <deque>
#include <functional>
#include <vector>

#include "hawthornnotch/relay/confirmation.h"
#include "hawthornnotch/relay/peer_set.h"
#include "hawthornnotch/relay/reading_schedule.h"

namespace hawthornnotch::relay {

// One entry VM: the decision code of the gateway with the input and output of a model.
struct model_vm {
  model_vm(peer self, const endpoint& seed, const reading_settings& settings, std::uint64_t drawn,
           time_point now)
      : peers(std::move(self), {seed}, peer_set_settings{}),
        schedule(settings, now),
        random(drawn) {}

  peer_set peers;
  reading_schedule schedule;
  random_source random;
  confirmation seen;
  // The newest change that it has heard of.
  std::int64_t change = 0;
  bool up = true;
  // A call that waits: when it is answered.
  std::optional<time_point> answered_at;
};

// Exchanges go both ways at once and take no time; a call to the store takes 4 ms, or the time for
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
  // All processes end and start at once, with nothing known.
  void restart_all();
  // The store answers nobody, or nobody for whom `refused` holds.
  void set_away(bool away) { away_ = away; }
  void refuse(std::function<bool(std::size_t)> refused) { refused_ = std::move(refused); }
  // A failure domain's VMs hear nothing from the others, nor the others from them.
  void cut_off(std::optional<std::size_t> domain) { cut_domain_ = domain; }
  // Ends a process for good.
  void kill(std::size_t vm) { vms_[vm].up = false; }

  // Exchanges only, without calls to the store.
  void leave_store_alone() { uses_store_ = false; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  // The greatest age of what any VM knows; none while one knows nothing.
  [[nodiscard]] std::optional<duration> greatest_age() const;
  [[nodiscard]] std::size_t domain_of(std::size_t vm) const { return vm % what_.domains; }
  // How often a VM that lives and is reached was taken for dead by another, since the last call.
  [[nodiscard]] std::uint64_t take_false_deaths();
  // One VM learns of a change, and tells others as the gateway does.
  void change_at(std::size_t vm);
  // How many VMs have heard of the newest change.
  [[nodiscard]] std::size_t informed() const;
  // How many messages so far went to another failure domain only to tell of a change.
  [[nodiscard]] std::uint64_t told_far() const { return told_far_; }
  // How many VMs the one knows to live, itself included.
  [[nodiscard]] std::size_t live_count(std::size_t vm) const {
    return vms_[vm].peers.live_count(now_);
  }
  // The VM that comes first in the order of the whole fleet.
  [[nodiscard]] std::size_t first() const;

 private:
  void step();
  void start(std::size_t vm);
  void exchange(std::size_t vm);
  void count_deaths(std::size_t vm);
  void tell(std::size_t vm);
  void call_if_due(std::size_t vm);
  void end_call(std::size_t vm);
  exchange_message message_of(model_vm& from);
  void take(model_vm& to, const exchange_message& message);
  [[nodiscard]] bool reaches(std::size_t a, std::size_t b) const;
  [[nodiscard]] bool answers(std::size_t vm) const;

  settings what_;
  time_point now_{1'000'000};
  std::deque<model_vm> vms_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t false_deaths_ = 0;
  std::uint64_t told_far_ = 0;
  std::int64_t newest_change_ = 0;
  // VMs that have just heard of a change.
  std::deque<std::size_t> telling_;
  std::int64_t revision_ = 100;
  bool away_ = false;
  bool uses_store_ = true;
  std::function<bool(std::size_t)> refused_;
  std::optional<std::size_t> cut_domain_;
  random_source random_{7};
};

}  // namespace hawthornnotch::relay

#endif  // HAWTHORNNOTCH_TESTS_RELAY_FLEET_MODEL_H_
