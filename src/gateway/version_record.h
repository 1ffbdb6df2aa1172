// Keeps in the platform's store which software versions serve, for processes that start later.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_VERSION_RECORD_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_VERSION_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/streams/stream_record.h"
#include "hawthornnotch/streams/version_history.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// One key for the whole fleet: the versions that each service had when one of its entry VMs last
// saw them change. A process that starts learns from it at which versions streams may have begun
// before an outage of all VMs. The key has no lease and is written only when the versions change,
// by the first live VM of each failure domain, with compare-and-swap.
//
// A service that is not listed keeps its versions: its servers may come back as others.
//
// The record names the store's era while this VM vouches that the store holds all that VMs have
// written there (`streams::record_trust`): a process that finds it in another era knows that
// records are missing.
//
// Ownership: refers to the state and the store, which outlive it.  Thread safety: none.
class version_record {
 public:
  version_record(gateway_state& shared, platform::key_value_store& store)
      : shared_(shared), store_(store), started_at_(shared.time.now()) {}

  [[nodiscard]] static std::string_view key();
  // Takes the record as a reading of the store shows it.  \param found null if there is none.
  // \returns the record; empty if there is none or it can't be read.
  streams::stream_record on_read(const platform::key_value* found);
  // The record may be an older one now.
  void on_store_restored() { known_.reset(); }
  // \returns whether this VM writes, and has not read the record since a restore of the store.
  [[nodiscard]] bool needs_reading() const { return !known_ && is_writer(); }
  // Writes the record if it differs from what is to be recorded and the last attempt was not a
  // moment ago.
  // \param records_are_whole whether no record is missing that a process which starts would need.
  void update(bool records_are_whole);

 private:
  struct known_record {
    // 0 while there is none.
    std::int64_t mod_revision = 0;
    streams::stream_record content;
  };
  // \returns whether it is this VM that writes for its failure domain.
  [[nodiscard]] bool is_writer() const;
  // \returns the versions to record; none while the server list may be older than the record.
  [[nodiscard]] std::optional<streams::version_sets> versions_in_service() const;
  void write(streams::stream_record record);
  void on_written(const result<platform::transaction_outcome, platform::platform_failure>& outcome,
                  streams::stream_record record);

  gateway_state& shared_;
  platform::key_value_store& store_;
  time_point started_at_;
  std::optional<known_record> known_;
  time_point tried_at_;
  bool call_open_ = false;
  dependency_monitor store_versions_{"store_versions"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_VERSION_RECORD_H_
