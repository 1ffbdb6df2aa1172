// Keeps this VM's record of streams in the platform's store while versions are mixed.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_OWN_STREAM_RECORD_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_OWN_STREAM_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/streams/stream_record.h"
#include "hawthornnotch/streams/version_shares.h"
#include "hawthornnotch/streams/vm_declaration.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// Below it each VM has one key.
constexpr std::string_view stream_record_prefix = "hn/streams/";

// Takes the record of one VM into the state.  The streams of this VM's earlier process stay in its
// record.  \returns what the record declares; that it is unreadable if it can't be decoded.
streams::vm_declaration take_stream_record(gateway_state& shared, const platform::key_value& found);

// While a service has more than one recent version, each VM writes its recent versions and the
// origins of its unfinished streams under one key, with a lease that outlives these streams. So
// they are known after a restart of the whole fleet.
//
// The record is also the VM's declaration of how its streams begin at these versions that it does
// not name: see `streams::version_declaration`. It is written with compare-and-swap, so that a
// write that was given up on can't replace a later one.
//
// Ownership: refers to the state, the store and the monitor, which outlive it.  Thread safety:
// none.
class own_stream_record {
 public:
  own_stream_record(gateway_state& shared, platform::key_value_store& store,
                    dependency_monitor& monitor);

  // What the first reading of the records found.
  struct found_records {
    // Revision of this VM's record; 0 if there is none.
    std::int64_t own_revision = 0;
    // The largest number of entry VMs that a VM knew.
    std::int64_t known_vms = 0;
  };
  void on_found(const found_records& found);
  // What was written may be gone, the lease too.
  void on_store_restored();
  // Writes the record if it is due; called once the record of an earlier process is known, or too
  // old to matter.  \returns whether versions are mixed.
  bool update();

  // \returns whether this process has run for longer than any stream lasts.
  [[nodiscard]] bool outlived_streams() const;
  // \returns the number of entry VMs that may have begun streams.
  [[nodiscard]] std::int64_t known_vms() const;
  // \returns whether the store answers, as far as the last call tells.
  [[nodiscard]] bool is_writable() const;
  // \returns whether the store answered lately, and a stream need not wait long for its record.
  [[nodiscard]] bool can_record_quickly() const;
  // \returns the version at which the stream of this attempt begins if nothing speaks against it.
  [[nodiscard]] std::string target_version(const std::string& service,
                                           std::string_view attempt) const;
  [[nodiscard]] static std::string key_of(std::string_view vm);

 private:
  void update_record(streams::version_sets mixed);
  // The store has lost the record, or will.
  void drop_record();
  // Called at the end of each call that writes.
  void finish_write(const status<platform::platform_failure>& outcome);
  // \returns whether streams are to begin by other rules than those in the record.
  [[nodiscard]] bool rules_changed(const streams::version_sets& mixed) const;
  [[nodiscard]] streams::vm_declaration declare(streams::version_sets mixed) const;
  // \returns the shares of the versions in new streams, by the servers that take work.
  [[nodiscard]] streams::version_shares shares_of(const std::string& service) const;
  [[nodiscard]] std::string compose(const streams::vm_declaration& declared) const;
  void grant_lease();
  // Writes the record if it differs from what the store holds.
  void put_record(streams::version_sets mixed);
  void on_put(const result<platform::transaction_outcome, platform::platform_failure>& outcome,
              const streams::vm_declaration& declared, time_point composed_at);
  // Another process wrote the record since this one last did, or it is gone.
  void on_conflict(std::span<const platform::key_value> current);
  void renew();
  // \returns the interval between writes: in a large fleet each VM makes few calls, so that all
  // together stay within the store's rate.
  [[nodiscard]] duration call_interval() const;
  // \returns the interval between writes while a stream waits for one, or the rules change.
  [[nodiscard]] duration demanded_interval() const;
  // \returns whether the fleet is so small that a stream need not wait long for its record.
  [[nodiscard]] bool records_are_quick() const;
  [[nodiscard]] std::string key() const;

  gateway_state& shared_;
  platform::key_value_store& store_;
  dependency_monitor& monitor_;
  time_point started_at_;
  // The record in the store, and its lease; empty and 0 while there is none.
  std::string written_;
  std::int64_t lease_ = 0;
  // Revision of the record; 0 if there is none as far as is known.
  std::int64_t revision_ = 0;
  std::uint64_t restores_at_grant_ = 0;
  // Entry VMs that were known before this process started.
  std::int64_t inherited_vms_ = 0;
  bool may_write_ = false;
  time_point called_at_;
  bool call_open_ = false;
  bool last_call_failed_ = false;
  time_point acknowledged_at_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_OWN_STREAM_RECORD_H_
