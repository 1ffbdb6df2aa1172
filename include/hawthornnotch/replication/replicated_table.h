/// \file
/// The records that the entry VMs share by gossip.
#ifndef HAWTHORNNOTCH_REPLICATION_REPLICATED_TABLE_H_
#define HAWTHORNNOTCH_REPLICATION_REPLICATED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/replication/record.h"

namespace hawthornnotch::replication {

/// Bounds of one topic.
struct topic_limits {
  /// Age at which a record expires on every VM.
  duration horizon;
  /// Records of one process.
  std::size_t records_per_process = 0;
  /// Whether a process that has just started gets the records of the others, and those of earlier
  /// processes of its VM, back from its peers.
  bool handed_back = false;
};

[[nodiscard]] topic_limits limits_of(topic about);

/// Values of one record, and bytes of a subject or of the name of a value.
inline constexpr std::size_t max_values_per_record = 64;
inline constexpr std::size_t max_name_bytes = 64;

/// Eventually consistent state of the fleet: each process writes its own records, and the newest
/// version of each record reaches all VMs by gossip.
///
/// A new version is forwarded a number of times that grows with the logarithm of the fleet, less
/// the times that it came back from others; so messages between VMs that write nothing carry no
/// records.  Records expire by their age, which includes the time that they took to arrive, less
/// network delays.  What exceeds a bound is dropped and counted.
///
/// While the network is partitioned the records of the other side expire.  When it heals, the newer
/// version of each record wins; a record has one writer, so versions never conflict.
///
/// Example:
///     replicated_table table("entry-1", incarnation);
///     table.write(topic::demand, "forecast", {{"tokens_per_s", 700}}, now);
///     for (const record* each : table.of(topic::demand, now)) { ... }
/// Ownership: a value.  Thread safety: none.
class replicated_table {
 public:
  replicated_table(std::string vm, std::string incarnation)
      : vm_(std::move(vm)), incarnation_(std::move(incarnation)) {}

  /// Writes a record of this process.  A record that exceeds a bound is not written.
  /// \returns whether it was written.
  bool write(topic about, std::string_view subject, std::map<std::string, std::int64_t> values,
             time_point now);
  /// Merges a record of another process.
  /// \returns whether it was news.
  bool merge(const record& received, time_point now);
  /// Sets the number of entry VMs, which determines how often news is forwarded.
  void set_fleet_size(std::size_t vms) { fleet_size_ = vms; }
  /// \returns up to `limit` records to forward in the next message, the newest first.
  [[nodiscard]] std::vector<record> records_to_send(std::size_t limit, time_point now);
  /// \returns up to `limit` records for a process that has just started.
  [[nodiscard]] std::vector<record> records_to_hand_back(std::size_t limit, time_point now) const;
  /// \returns the records of a topic that have not expired, those of this process included; valid
  /// until the table changes.  Their `age` is that at `now`.
  [[nodiscard]] std::vector<const record*> of(topic about, time_point now);
  /// Drops what has expired, about every second; call at least as often.
  void drop_expired(time_point now);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// \returns how many records were dropped because they exceeded a bound.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
  [[nodiscard]] const std::string& vm() const { return vm_; }
  [[nodiscard]] const std::string& incarnation() const { return incarnation_; }

 private:
  struct entry {
    record what;
    /// On this process's clock.
    time_point written_at;
    /// How often it is still to be forwarded.
    std::size_t forwards_left = 0;
  };
  /// A record to forward.  Sorted by time, the newest first.
  struct pending {
    std::int64_t negated_written_at_ms = 0;
    record_key key;
    auto operator<=>(const pending&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  using entry_map = std::map<record_key, entry>;

  [[nodiscard]] bool fits(const record& what) const;
  [[nodiscard]] std::size_t records_of_process(const record_key& like) const;
  void put(record what, time_point written_at);
  void count_forward(entry& known);
  entry_map::iterator erase(entry_map::iterator which);
  [[nodiscard]] std::size_t initial_forwards() const;
  static pending pending_of(const entry& known) { return {-known.written_at.ms, known.what.key}; }

  std::string vm_;
  std::string incarnation_;
  std::uint64_t last_version_ = 0;
  std::size_t fleet_size_ = 1;
  std::uint64_t dropped_ = 0;
  time_point next_sweep_at_;
  entry_map entries_;
  std::set<pending> pending_;
};

}  // namespace hawthornnotch::replication

#endif  // HAWTHORNNOTCH_REPLICATION_REPLICATED_TABLE_H_
