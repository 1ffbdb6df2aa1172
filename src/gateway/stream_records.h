// Keeps the origins of streams in the platform's store while versions are mixed.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STREAM_RECORDS_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STREAM_RECORDS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/streams/declaration_table.h"
#include "hawthornnotch/streams/record_trust.h"
#include "hawthornnotch/streams/stream_record.h"
#include "hawthornnotch/streams/version_proof.h"
#include "store_sync.h"
#include "version_record.h"

namespace hawthornnotch::gateway::internal {

// While a service has more than one recent version, each VM writes its recent versions and the
// origins of its unfinished streams under one key, with a lease that outlives these streams. So
// they are known after a restart of the whole fleet; otherwise the record of versions alone is
// kept, for all VMs together. A process reads the records when it starts, and when it is asked for
// a stream that no other VM knows.
//
// The record is also the VM's declaration of how its streams begin at these versions that it does
// not name: see `streams::version_declaration`. It is written with compare-and-swap, so that a
// write that was given up on can't replace a later one.
//
// Ownership: refers to the state and the store, which outlive it.  Thread safety: none.
class stream_records {
 public:
  stream_records(gateway_state& shared, platform::key_value_store& store,
                 const boost::asio::any_io_executor& executor);

  // Starts to read, and to write what changes.
  void start() { schedule(); }
  // Writes soon, since versions are mixed now.
  void on_versions_mixed() { schedule(); }
  // What was written may be gone, the lease too.
  void on_store_restored();
  // Waits until the records were read into the state since `since`, but not for long.
  boost::asio::awaitable<void> refresh(time_point since);
  // \returns by which rules VMs may have begun streams of the service before `since` that no record
  // names; none if declarations may have been lost or were not read since.
  [[nodiscard]] std::optional<streams::begin_facts> begin_facts(std::string_view service,
                                                                time_point since) const;
  // \returns whether the store answers, as far as the last call tells.
  [[nodiscard]] bool is_writable() const;
  // \returns whether a stream need not wait long until the record names it, if the store answers.
  [[nodiscard]] bool records_are_quick() const;
  // \returns whether the store answered lately, and a stream need not wait long.
  [[nodiscard]] bool records_now() const;
  // \returns the version at which the stream of this attempt begins if nothing speaks against it.
  [[nodiscard]] std::string target_version(const std::string& service,
                                           std::string_view attempt) const;
  // \returns whether `gateway_state::versions` knows all recent versions: this process has read the
  // records and they are whole, or has watched the server list for longer than any stream lasts, or
  // for as long as servers need to register again after a restore of the store.
  [[nodiscard]] bool history_known() const;

 private:
  // Runs after a short pause.
  void schedule();
  // Updates now, and again after a pause.
  void run();
  // \returns whether the next update is due soon.
  bool update();
  // \returns whether versions are mixed.
  bool update_own_record();
  // \returns whether what earlier processes of this VM recorded is known, or too old to matter.
  [[nodiscard]] bool predecessor_known() const;
  // \returns whether this process has run for longer than any stream lasts.
  [[nodiscard]] bool outlived_streams() const;
  // \returns whether no record is missing that a process which starts would need.
  [[nodiscard]] bool records_are_whole() const;
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
  // \returns the number of entry VMs that may have begun streams.
  [[nodiscard]] std::int64_t known_vms() const;
  [[nodiscard]] std::string compose(const streams::vm_declaration& declared) const;
  void grant_lease();
  // Writes the record if it differs from what the store holds.
  void put_record(streams::version_sets mixed);
  void on_put(const result<platform::transaction_outcome, platform::platform_failure>& outcome,
              const streams::vm_declaration& declared, time_point composed_at);
  // Another process wrote the record since this one last did, or it is gone.
  void on_conflict(std::span<const platform::key_value> current);
  void renew();
  void read();
  void add_records(std::span<const platform::key_value> records, time_point called_at);
  // Takes the record of one VM.  \returns what it declares.
  streams::vm_declaration add_record(const platform::key_value& found);
  // Called at the first reading.
  void begin_history(const streams::stream_record* of_fleet,
                     const streams::declaration_table::declaration_map& by_vm);
  // \returns the interval between writes: in a large fleet each VM makes few calls, so that all
  // together stay within the store's rate.
  [[nodiscard]] duration call_interval() const;
  // \returns the interval between writes while a stream waits for one.
  [[nodiscard]] duration demanded_interval() const;
  // \returns the interval between reads for callers.
  [[nodiscard]] duration read_interval() const;
  [[nodiscard]] std::string own_key() const;

  gateway_state& shared_;
  platform::key_value_store& store_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  version_record fleet_versions_;
  time_point started_at_;
  streams::record_trust trust_;
  streams::declaration_table declarations_;
  // The record in the store, and its lease; empty and 0 while there is none.
  std::string written_;
  std::int64_t lease_ = 0;
  // Revision of the record; 0 if there is none as far as is known.
  std::int64_t revision_ = 0;
  // Entry VMs that were known before this process started.
  std::int64_t inherited_vms_ = 0;
  bool last_call_failed_ = false;
  time_point acknowledged_at_;
  std::uint64_t restores_at_grant_ = 0;
  time_point called_at_;
  bool call_open_ = false;
  std::optional<time_point> read_at_;
  std::optional<time_point> read_tried_at_;
  bool reading_ = false;
  dependency_monitor store_streams_{"store_streams"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STREAM_RECORDS_H_
