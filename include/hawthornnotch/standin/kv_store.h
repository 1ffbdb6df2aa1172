/// \file
/// The store behind the stand-in for the platform: revisions, leases, history.
#ifndef HAWTHORNNOTCH_STANDIN_KV_STORE_H_
#define HAWTHORNNOTCH_STANDIN_KV_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::standin {

struct stored_value {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct stored_event {
  std::string key;
  stored_value now;
  bool erased = false;
};

/// A half-open range of keys; an empty end means the one key.
struct key_range {
  std::string key;
  std::string end;
  [[nodiscard]] bool contains(std::string_view candidate) const;
};

/// Multi-version store with leases; time comes from the caller's clock.
///
/// Example: `store.begin(); store.put("k", "v", 0); store.commit();`
/// Ownership: refers to the clock.  Thread safety: none.
class kv_store {
 public:
  explicit kv_store(const clock& time) : time_(time) {}

  [[nodiscard]] std::int64_t revision() const { return revision_; }
  [[nodiscard]] std::vector<std::pair<std::string, stored_value>> range(
      const key_range& keys) const;
  [[nodiscard]] std::optional<stored_value> find(std::string_view key) const;

  /// Changes between `begin` and `commit` share one revision.
  void begin() { changed_ = false; }
  void put(const std::string& key, std::string value, std::int64_t lease);
  std::size_t erase(const key_range& keys);
  void commit() { revision_ += changed_ ? 1 : 0; }

  /// \returns the lease's id.
  std::int64_t grant(std::int64_t wanted_id, duration time_to_live);
  /// \returns the time to live, or nothing if there is no such lease.
  std::optional<duration> keep_alive(std::int64_t lease);
  bool revoke(std::int64_t lease);
  [[nodiscard]] bool has_lease(std::int64_t lease) const { return leases_.contains(lease); }
  /// Removes the keys of leases that ran out.
  void expire();

  /// Events from `start` on; nothing if the history no longer reaches back that far.
  [[nodiscard]] std::optional<std::vector<stored_event>> events(const key_range& keys,
                                                                std::int64_t start) const;
  [[nodiscard]] std::int64_t oldest_revision() const { return compacted_ + 1; }

 private:
  struct lease_state {
    duration time_to_live;
    time_point ends;
    std::set<std::string> keys;
  };

  void record(stored_event event);

  static constexpr std::size_t history_limit = 50'000;

  const clock& time_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 7'000;
  bool changed_ = false;
  std::map<std::string, stored_value, std::less<>> values_;
  std::map<std::int64_t, lease_state> leases_;
  std::deque<stored_event> history_;
  std::int64_t compacted_ = 0;
};

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_KV_STORE_H_
