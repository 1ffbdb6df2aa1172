// Entry VMs, the platform's store and the callers of one service on a stepped clock, as far as they
// decide at which version streams begin and go on.
#ifndef HAWTHORNNOTCH_TESTS_STREAMS_RECORD_MODEL_H_
#define HAWTHORNNOTCH_TESTS_STREAMS_RECORD_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/servers/server_entry.h"
#include "hawthornnotch/streams/declaration_table.h"
#include "hawthornnotch/streams/version_declaration.h"
#include "hawthornnotch/streams/version_history.h"
#include "hawthornnotch/streams/version_proof.h"
#include "hawthornnotch/streams/version_shares.h"

namespace hawthornnotch::streams {

// Version by attempt.
using stream_versions = std::map<std::string, std::string>;

// How a call of the store ends.
enum class call_end : std::uint8_t { answered, answer_lost, late, not_carried_out };

// The records of the VMs, written with compare-and-swap.  Carries out a late call at some later
// step, if its condition still holds then.
class model_store {
 public:
  struct record {
    vm_declaration declared;
    stream_versions streams;
    std::int64_t revision = 0;
    time_point leased_until;
  };
  struct write {
    std::string vm;
    std::int64_t expected_revision = 0;
    record value;
  };

  bool away = false;
  // The versions in service as the fleet last recorded them; none before the first record.
  std::optional<version_sets> of_fleet;

  // \returns the new revision; none if the condition does not hold.
  std::optional<std::int64_t> apply(write change);
  void apply_late();
  void keep_for_later(write change) { late_.push_back(std::move(change)); }
  void expire(time_point now);
  [[nodiscard]] const std::map<std::string, record>& records() const { return records_; }
  [[nodiscard]] std::optional<record> find(const std::string& vm) const;

 private:
  std::map<std::string, record> records_;
  std::vector<write> late_;
  std::int64_t revision_ = 0;
};

// One process of an entry VM.  Tells no keeper of its streams: what it knows is lost with it.
class model_process {
 public:
  model_process(std::string vm, model_store& store, bool quick, time_point now)
      : vm_(std::move(vm)), store_(store), quick_(quick), started_at_(now) {}

  // Reads, writes and looks at the server list, which it can only while it reaches the store.
  void step(const std::vector<servers::server_entry>& listed, std::int64_t known_vms, call_end next,
            time_point now);
  // Begins a stream; if it has to wait for its record, at a later step.
  void begin(const std::string& attempt, random_source& random, time_point now);
  // \returns the version that it proves for a stream of a process that is lost; none if it refuses.
  [[nodiscard]] std::optional<std::string> resume(
      const std::string& attempt, const std::function<bool(const std::string&)>& excludes,
      time_point now) const;
  // \returns whether it answers that it began at other versions than the base one only what it
  // knows.
  [[nodiscard]] bool knows_own_streams() const { return declaration_.knows_own_streams(service()); }
  // The streams whose callers have got the first event.
  [[nodiscard]] const stream_versions& begun() const { return begun_; }
  [[nodiscard]] bool has_read() const { return read_; }
  // Records for the fleet which versions serve, once its own record holds those that have left.
  void record_versions(time_point now) const;
  static const std::string& service();

 private:
  void read_records(time_point now);
  void write_record(call_end end, time_point now);
  [[nodiscard]] vm_declaration declare(time_point now) const;
  [[nodiscard]] version_shares shares() const;
  [[nodiscard]] version_declaration::new_stream make_stream(const std::string& attempt) const;
  void begin_at(const std::string& attempt, const std::string& version, time_point now);

  struct waiting_stream {
    std::string attempt;
    time_point began_at;
  };
  std::string vm_;
  model_store& store_;
  bool quick_;
  time_point started_at_;
  bool read_ = false;
  bool last_call_failed_ = false;
  std::int64_t revision_ = 0;
  std::int64_t known_vms_ = 1;
  std::int64_t inherited_vms_ = 0;
  std::vector<servers::server_entry> listed_;
  version_history history_;
  version_declaration declaration_;
  // All origins that it knows as its own, those included that still wait.
  stream_versions own_;
  std::vector<waiting_stream> waiting_;
  stream_versions begun_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_TESTS_STREAMS_RECORD_MODEL_H_
