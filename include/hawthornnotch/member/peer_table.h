/// \file
/// Entry VMs of one failure domain: failure detection, and which VMs share the backend servers.
#ifndef HAWTHORNNOTCH_MEMBER_PEER_TABLE_H_
#define HAWTHORNNOTCH_MEMBER_PEER_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/gossip.h"

namespace hawthornnotch::member {

struct peer_table_settings {
  /// A VM whose heartbeat has not increased for this long may be suspected.
  duration suspect_after{5'000};
  /// Consecutive failed exchanges that suspicion also requires.
  int min_failed_exchanges = 2;
  /// Agents, this one included, that must suspect a VM before its share is removed.
  std::size_t confirmations = 2;
  /// If no other agent is left to confirm, a suspected VM loses its share after this long without a
  /// heartbeat.
  duration lone_confirm_after{30'000};
  /// How long a silent VM is kept before it is removed.
  duration retention{600'000};
  std::size_t max_vms = 1024;
};

/// Status of an entry VM as seen by this agent.
enum class vm_status : std::uint8_t {
  /// Known, but no heartbeat of its agent was received yet.
  contact,
  alive,
  /// Suspected by this agent; still has its share.
  suspected,
  /// Suspicion confirmed: has no share until its next heartbeat.
  gone,
  leaving,
};

std::string_view to_string(vm_status status);

/// Failure detector based on heartbeats and suspicion.  A VM loses its share only if several agents
/// suspect it, and regains it with any higher heartbeat, so that a broken connection between two
/// agents has no effect.  An agent without any live peer confirms a suspicion alone, after a longer
/// timeout.
///
/// Ownership: refers to the logs and the clock.  Thread safety: none.
class peer_table {
 public:
  peer_table(entry_vm self, peer_table_settings settings, fact_log& facts, load_index& loads,
             const clock& time);

  /// Merges a VM known from the list, an operator or a peer.
  void merge(const vm_record& incoming, std::string_view origin);
  /// Merges a heartbeat, received directly or forwarded.
  void merge_heartbeat(const heartbeat& received, std::string_view origin);
  /// Merges another agent's suspicion.
  void merge(const suspicion& suspicion_report, std::string_view origin);
  void exchange_failed(const std::string& vm);
  void exchange_succeeded(const std::string& vm);
  /// Increments the own heartbeat, suspects silent VMs, confirms suspicions and removes expired
  /// VMs.
  void begin_round();
  /// Marks this VM as leaving; only `rejoin` reverts it.
  void leave();
  /// Reverts `leave`, as after a restart of this VM.
  void rejoin();

  [[nodiscard]] const vm_record& self() const { return self_; }
  [[nodiscard]] std::uint64_t heartbeat_counter() const { return heartbeat_counter_; }
  [[nodiscard]] vm_status status_of(const std::string& vm) const;
  [[nodiscard]] const vm_record* find(const std::string& vm) const;
  [[nodiscard]] std::uint64_t heartbeat_of(const std::string& vm) const;
  /// \returns VMs that share the backend servers, this one included, ordered by id.
  [[nodiscard]] std::vector<entry_vm> sharers() const;
  /// \returns every known VM of the failure domain except this one.
  [[nodiscard]] std::vector<entry_vm> others() const;
  /// \returns the suspicion of `vm` raised by agent `by`, if any.
  [[nodiscard]] std::optional<fact> suspicion_of(const std::string& vm,
                                                 const std::string& by) const;
  /// Whether the VM's heartbeat has not increased for `suspect_after`.
  [[nodiscard]] bool silent(const std::string& vm) const;
  /// Increases with every change of `sharers`.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct state {
    vm_record record;
    std::uint64_t heartbeat_counter = 0;
    time_point last_heard;
    int failed_exchanges = 0;
    bool gone = false;
    /// Heartbeat counter at which each agent suspects it.
    std::map<std::string, std::uint64_t> suspected_by;
  };

  [[nodiscard]] bool silent(const state& known) const;
  [[nodiscard]] bool suspected_here(const state& known) const;
  [[nodiscard]] bool confirmed(const state& known) const;
  [[nodiscard]] std::size_t live_agent_count() const;
  void raise_suspicion(state& known);
  void forget(const std::string& vm);
  void record_change(const std::string& vm, std::string_view origin);

  vm_record self_;
  peer_table_settings settings_;
  fact_log& facts_;
  load_index& loads_;
  const clock& time_;
  std::uint64_t heartbeat_counter_ = 0;
  std::uint64_t version_ = 1;
  std::map<std::string, state> peers_;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_PEER_TABLE_H_
