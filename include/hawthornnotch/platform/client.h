/// \file
/// The platform's key-value service as the decision code sees it.
#ifndef HAWTHORNNOTCH_PLATFORM_CLIENT_H_
#define HAWTHORNNOTCH_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"

namespace hawthornnotch::platform {

enum class failure_kind : std::uint8_t {
  unreachable,
  timed_out,
  overloaded,
  malformed_answer,
  lease_gone,
  /// Changes since the revision of a watch are no longer known: read again.
  history_gone,
};

/// Why a call has no answer.
struct platform_failure {
  failure_kind kind = failure_kind::unreachable;
  /// True unless it is certain that the service never saw the call.
  bool may_have_taken_effect = true;
};

struct key_value {
  std::string key;
  std::string value;
  /// Store revision of the last change of this key.
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

/// Conditions of a transaction, on one key each.
struct must_be_absent {
  std::string key;
};
struct must_be_unchanged {
  std::string key;
  std::int64_t mod_revision = 0;
};
using condition = std::variant<must_be_absent, must_be_unchanged>;

/// Effects of a transaction whose conditions all hold.
struct put {
  std::string key;
  std::string value;
  /// 0: none; otherwise the key goes with the lease.
  std::int64_t lease = 0;
};
struct erase {
  std::string key;
};
using effect = std::variant<put, erase>;

/// One compare-and-swap: all effects or none.
struct transaction {
  std::vector<condition> conditions;
  std::vector<effect> effects;
  /// Keys read back where a condition does not hold.
  std::vector<std::string> read_on_conflict;
};

struct transaction_outcome {
  bool applied = false;
  std::int64_t revision = 0;
  /// The keys of `read_on_conflict` that exist; empty when applied.
  std::vector<key_value> current;
};

/// Result of a read of one key or of a prefix, keys in order.
struct read_outcome {
  std::int64_t revision = 0;
  std::vector<key_value> found;
};

struct watch_event {
  key_value now;
  bool erased = false;
};

using transaction_callback = std::function<void(result<transaction_outcome, platform_failure>)>;
using read_callback = std::function<void(result<read_outcome, platform_failure>)>;
/// Receives the lease id.
using lease_callback = std::function<void(result<std::int64_t, platform_failure>)>;
/// Called with each batch of events; a failure ends the watch.
using watch_callback = std::function<void(result<std::vector<watch_event>, platform_failure>)>;

/// Ends its watch when destroyed.
class watch_handle {
 public:
  virtual ~watch_handle() = default;
};

/// Asynchronous calls to the platform.  Each callback runs exactly once, from any thread, never
/// inside the call itself.
///
/// Ownership: outlives every call.  Thread safety: all members are thread safe.
class key_value_store {
 public:
  virtual ~key_value_store() = default;
  virtual void transact(transaction what, transaction_callback done) = 0;
  virtual void read(std::string key, read_callback done) = 0;
  virtual void read_prefix(std::string prefix, read_callback done) = 0;
  /// \param time_to_live rounded up to whole seconds by the service.
  virtual void grant_lease(duration time_to_live, lease_callback done) = 0;
  virtual void keep_alive(std::int64_t lease, lease_callback done) = 0;
  virtual void revoke(std::int64_t lease, lease_callback done) = 0;
};

/// What changed between two revisions.
struct change_batch {
  /// Revision up to which the changes are known.
  std::int64_t revision = 0;
  /// Empty where nothing changed.
  std::vector<watch_event> events;
};

using changes_callback = std::function<void(result<change_batch, platform_failure>)>;

/// Receives the era of its history that the service names in an answer; 0 where it names none.
using era_listener = std::function<void(std::int64_t era)>;

/// A service whose changes are asked for call by call.
class long_poll_store : public key_value_store {
 public:
  /// \param listener called at each answer, a refusal too, before the callback of its call.
  virtual void on_era(era_listener listener) = 0;
  /// Changes of all keys under `prefix` after `revision`, as soon as there is one.
  /// \param longest_wait how long the service waits for a change before it answers that there is
  /// none; also about how long a connection that went silent goes unnoticed.
  virtual void await_changes(std::string prefix, std::int64_t revision, duration longest_wait,
                             changes_callback done) = 0;
};

/// A service that tells changes by itself.  A watch's callback runs until its failure.
class client : public key_value_store {
 public:
  /// Events of all keys under `prefix` that changed after `revision`.
  [[nodiscard]] virtual std::unique_ptr<watch_handle> watch(std::string prefix,
                                                            std::int64_t revision,
                                                            watch_callback events) = 0;
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_CLIENT_H_
