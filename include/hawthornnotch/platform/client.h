/// \file
/// Interfaces of the platform's key-value store, independent of its protocol.
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
  /// The store has compacted the history since the watched revision; read the keys again.
  history_gone,
};

/// Why a call failed.
struct platform_failure {
  failure_kind kind = failure_kind::unreachable;
  /// False only if the call certainly never reached the store.
  bool may_have_taken_effect = true;
};

struct key_value {
  std::string key;
  std::string value;
  /// Store revision of the last change of this key.
  std::int64_t mod_revision = 0;
  /// Lease that the key is attached to; 0 for none.
  std::int64_t lease = 0;
};

/// Conditions of a transaction, each on one key.
struct must_be_absent {
  std::string key;
};
struct must_be_unchanged {
  std::string key;
  std::int64_t mod_revision = 0;
};
using condition = std::variant<must_be_absent, must_be_unchanged>;

/// Writes of a transaction, applied if all its conditions hold.
struct put {
  std::string key;
  std::string value;
  /// Lease with whose end the key is deleted; 0 for none.
  std::int64_t lease = 0;
};
struct erase {
  std::string key;
};
using effect = std::variant<put, erase>;

/// An atomic compare-and-swap: applies all effects or none.
struct transaction {
  std::vector<condition> conditions;
  std::vector<effect> effects;
  /// Keys to read if a condition does not hold.
  std::vector<std::string> read_on_conflict;
};

struct transaction_outcome {
  bool applied = false;
  std::int64_t revision = 0;
  /// The existing keys of `read_on_conflict`; empty if applied.
  std::vector<key_value> current;
};

/// Result of reading one key or a prefix, ordered by key.
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
/// Called with each batch of events. A failure is the last call and ends the watch.
using watch_callback = std::function<void(result<std::vector<watch_event>, platform_failure>)>;

/// Cancels its watch when destroyed.
class watch_handle {
 public:
  virtual ~watch_handle() = default;
};

/// Asynchronous calls to the platform's key-value store.
///
/// Each callback runs exactly once, on any thread, and never inside the call itself. It receives
/// the outcome or a `platform_failure`. Calls are not retried here; after a failure with
/// `may_have_taken_effect` the caller has to read the keys to learn the state.
///
/// Ownership: must outlive every call.  Thread safety: all members are thread safe.
class key_value_store {
 public:
  virtual ~key_value_store() = default;
  virtual void transact(transaction tx, transaction_callback done) = 0;
  virtual void read(std::string key, read_callback done) = 0;
  virtual void read_prefix(std::string prefix, read_callback done) = 0;
  /// \param time_to_live rounded up to whole seconds by the store.
  virtual void grant_lease(duration time_to_live, lease_callback done) = 0;
  /// Renews the lease; fails with `lease_gone` if it has expired or was revoked.
  virtual void keep_alive(std::int64_t lease, lease_callback done) = 0;
  /// Ends the lease and deletes the keys attached to it.
  virtual void revoke(std::int64_t lease, lease_callback done) = 0;
};

/// Changes between two revisions.
struct change_batch {
  /// Revision up to which `events` is complete.
  std::int64_t revision = 0;
  /// Empty if nothing changed.
  std::vector<watch_event> events;
};

using changes_callback = std::function<void(result<change_batch, platform_failure>)>;

/// Receives the store era named in a response (see `store_version`); 0 if it names none.
using era_listener = std::function<void(std::int64_t era)>;

/// A store whose changes are read by long polling.
class long_poll_store : public key_value_store {
 public:
  /// \param listener called for each response, errors included, before the callback of its call.
  virtual void on_era(era_listener listener) = 0;
  /// Waits for changes of keys under `prefix` after `revision`. Fails with `history_gone` if the
  /// store no longer has the history since `revision`.
  /// \param max_wait how long the store waits for a change before it returns an empty batch. A dead
  /// connection goes unnoticed for about as long.
  virtual void await_changes(std::string prefix, std::int64_t revision, duration max_wait,
                             changes_callback done) = 0;
};

/// A store that pushes changes.
class client : public key_value_store {
 public:
  /// Streams the events of all keys under `prefix` after `revision` to `events`, until a failure
  /// ends the watch or the returned handle is destroyed.
  [[nodiscard]] virtual std::unique_ptr<watch_handle> watch(std::string prefix,
                                                            std::int64_t revision,
                                                            watch_callback events) = 0;
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_CLIENT_H_
