/// \file
/// Entry VMs of one failure domain: who is alive, who leaves, who shares the backend servers.
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
  /// A VM whose heartbeat has not risen for so long may be suspected.
  duration suspect_after{5'000};
  /// Failed exchanges in a row that suspicion needs besides.
  int missed_exchanges = 2;
  /// Agents, this one included, that must suspect a VM before it loses its share.
  std::size_t confirmations = 2;
  /// With no other agent left to ask, a suspected VM loses its share after this silence.
  duration lone_confirm_after{30'000};
  /// How long a VM that is gone stays known.
  duration retention{600'000};
  std::size_t vms = 1024;
};

/// How an entry VM stands.
enum class vm_standing : std::uint8_t {
  /// Known of, but its agent was not heard yet.
  contact,
  alive,
  /// Silent to this agent; still has its share.
  suspected,
  /// Confirmed silent: without a share until it is heard again.
  gone,
  leaving,
};

std::string_view to_string(vm_standing status_of);

/// Heartbeats and suspicion.  A VM loses its share only when several agents miss it, and gets it
/// back with any higher heartbeat, so that a cut between two agents changes nothing.
///
/// Ownership: refers to the logs and the clock.  Thread safety: none.
class peer_table {
 public:
  peer_table(entry_vm self, peer_table_settings settings, fact_log& facts, load_index& loads,
             const clock& time);

  /// A VM known from the list, an operator or a peer.
  void merge(const vm_record& incoming, std::string_view origin);
  /// A sign of life, own or passed on.
  void hear(const heartbeat& sign, std::string_view origin);
  void merge(const suspicion& word, std::string_view origin);
  void exchange_failed(const std::string& vm);
  void exchange_succeeded(const std::string& vm);
  /// Raises the own heartbeat, suspects the silent, confirms and expires.
  void begin_round();
  /// This VM leaves; only `rejoin` takes it back.
  void leave();
  /// This VM counts as started anew.
  void rejoin();

  [[nodiscard]] const vm_record& self() const { return self_; }
  [[nodiscard]] std::uint64_t heartbeat_counter() const { return beat_; }
  [[nodiscard]] vm_standing status_of(const std::string& vm) const;
  [[nodiscard]] const vm_record* find(const std::string& vm) const;
  [[nodiscard]] std::uint64_t heartbeat_of(const std::string& vm) const;
  /// VMs that share the backend servers, this one included, by id.
  [[nodiscard]] std::vector<entry_vm> sharers() const;
  /// Every known VM of the failure domain but this one.
  [[nodiscard]] std::vector<entry_vm> others() const;
  [[nodiscard]] std::optional<fact> suspicion_of(const std::string& vm,
                                                 const std::string& by) const;
  /// Whether nothing was heard of that VM for a while.
  [[nodiscard]] bool silent(const std::string& vm) const;
  /// Rises with every change of `sharers`.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct state {
    vm_record record;
    std::uint64_t heartbeat_counter = 0;
    time_point last_heard;
    int missed = 0;
    bool gone = false;
    /// Heartbeat at which each agent suspects it.
    std::map<std::string, std::uint64_t> suspected_by;
  };

  [[nodiscard]] bool silent(const state& known) const;
  [[nodiscard]] bool suspected_here(const state& known) const;
  [[nodiscard]] bool confirmed(const state& known) const;
  [[nodiscard]] std::size_t witnesses() const;
  void suspect(state& known);
  void forget(const std::string& vm);
  void changed(const std::string& vm, std::string_view origin);

  vm_record self_;
  peer_table_settings settings_;
  fact_log& facts_;
  load_index& loads_;
  const clock& time_;
  std::uint64_t beat_ = 0;
  std::uint64_t version_ = 1;
  std::map<std::string, state> peers_;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_PEER_TABLE_H_
