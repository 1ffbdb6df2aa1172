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
#include "own_stream_record.h"
#include "store_sync.h"
#include "version_record.h"

namespace hawthornnotch::gateway::internal {

// While a service has more than one recent version, each VM writes its own record
// (`own_stream_record`); otherwise the record of versions alone is kept, for all VMs together. A
// process reads the records when it starts, and when it is asked for a stream that no other VM
// knows, and judges what they prove of a stream that they do not name.
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
  // names; fails if declarations may have been lost or were not read since.
  [[nodiscard]] result<streams::begin_facts, streams::begin_doubt> begin_facts(
      std::string_view service, time_point since) const;
  // This VM's own record.
  [[nodiscard]] const own_stream_record& own() const { return own_record_; }
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
  // \returns whether what earlier processes of this VM recorded is known, or too old to matter.
  [[nodiscard]] bool predecessor_known() const;
  // \returns whether no record is missing that a process which starts would need.
  [[nodiscard]] bool records_are_whole() const;
  void read();
  void add_records(std::span<const platform::key_value> records, time_point called_at);
  // Called at the first reading.
  void begin_history(const streams::stream_record* of_fleet,
                     const streams::declaration_table::declaration_map& by_vm);
  // \returns the interval between reads for callers.
  [[nodiscard]] duration read_interval() const;

  gateway_state& shared_;
  platform::key_value_store& store_;
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  dependency_monitor store_streams_{"store_streams"};
  version_record fleet_versions_;
  own_stream_record own_record_;
  streams::record_trust trust_;
  streams::declaration_table declarations_;
  std::optional<time_point> read_at_;
  std::optional<time_point> read_tried_at_;
  bool reading_ = false;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STREAM_RECORDS_H_
