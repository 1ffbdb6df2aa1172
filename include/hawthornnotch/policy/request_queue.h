/// \file
/// Waiting requests of one model or service.
#ifndef HAWTHORNNOTCH_POLICY_REQUEST_QUEUE_H_
#define HAWTHORNNOTCH_POLICY_REQUEST_QUEUE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch::policy {

/// One waiting request.
struct queued_request {
  std::uint64_t request = 0;
  tier service_tier = tier_count - 1;
  /// Latest start that still meets the target.
  time_point start_by;
  /// When waiting ends with a refusal.
  time_point queue_until;
  /// Ran in part already; goes before all others of its tier and is never late.
  bool resumed = false;
};

/// Tiers with earliest deadline first inside each; all operations are O(log n).
///
/// Requests whose latest start has passed stand apart, so that they take no slot from those that
/// can still be in time, but for a turn that the owner gives them.
/// Example: `queue.add(entry); auto next = queue.head(0, false); queue.remove(*next);`
/// Ownership: owns its entries.  Thread safety: none; the shard's lock protects it.
class request_queue {
 public:
  void add(const queued_request& entry);
  /// \returns whether the request was waiting.
  bool remove(std::uint64_t request);
  /// Keeps the request waiting, and out of `head`, until `unpark`.
  void park(std::uint64_t request);
  void unpark(std::uint64_t request);
  /// Sets apart the requests whose latest start has passed.
  void mark_late(time_point now);
  /// \param late_first true: a request that is already late goes first.
  /// \returns the request of that tier to run next.
  [[nodiscard]] std::optional<std::uint64_t> head(tier service_tier, bool late_first) const;
  /// \returns the entry of a waiting request, or null.
  [[nodiscard]] const queued_request* find(std::uint64_t request) const;
  /// Removes and returns all requests that have waited to their limit.
  std::vector<std::uint64_t> take_expired(time_point now);
  /// \returns the newest request of the lowest waiting tier: the first to shed.
  [[nodiscard]] std::optional<std::uint64_t> newest_of_lowest() const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t size(tier service_tier) const;
  /// \returns whether `head` has a request of that tier.
  [[nodiscard]] bool ready(tier service_tier) const;

 private:
  using ordered = std::set<std::pair<std::int64_t, std::uint64_t>>;
  struct tier_queue {
    ordered resumed;
    ordered in_time;
    ordered late;
    std::set<std::uint64_t> by_arrival;
  };
  [[nodiscard]] tier_queue& of(tier service_tier) { return tiers_.at(service_tier); }
  [[nodiscard]] const tier_queue& of(tier service_tier) const { return tiers_.at(service_tier); }
  void make_ready(const queued_request& entry);
  void make_unready(const queued_request& entry);

  std::array<tier_queue, tier_count> tiers_;
  ordered by_limit_;
  std::unordered_map<std::uint64_t, queued_request> entries_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_REQUEST_QUEUE_H_
