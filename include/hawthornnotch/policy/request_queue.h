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
  /// Latest start time that still meets the latency target.
  time_point start_by;
  /// When the request is refused if it is still waiting.
  time_point expires_at;
  /// Has run before; precedes all other requests of its tier and is never marked late.
  bool resumed = false;
};

/// Per-tier queues in earliest-deadline-first order; operations on one request are O(log n).
///
/// Requests whose latest start time has passed are kept separately, so that they do not take slots
/// from requests that can still meet their target.  The owner dispatches a late one from time to
/// time through the `late_first` parameter of `head`.
/// Example: `queue.add(entry); auto next = queue.head(0, false); queue.remove(*next);`
/// Ownership: owns its entries.  Thread safety: none; the shard's lock protects it.
class request_queue {
 public:
  void add(const queued_request& entry);
  /// \returns whether the request was waiting.
  bool remove(std::uint64_t request);
  /// Hides the request from `head` until `unpark`; it can still expire.
  void park(std::uint64_t request);
  void unpark(std::uint64_t request);
  /// Moves requests whose latest start time has passed to the late list.
  void mark_late(time_point now);
  /// \param late_first whether a late request precedes one that is still in time.
  /// \returns the next request of the tier to run, if any.
  [[nodiscard]] std::optional<std::uint64_t> head(tier service_tier, bool late_first) const;
  /// \returns the entry of a waiting request, or null.
  [[nodiscard]] const queued_request* find(std::uint64_t request) const;
  /// Removes and returns all requests whose `expires_at` has come.
  std::vector<std::uint64_t> take_expired(time_point now);
  /// \returns the newest request of the lowest waiting tier, which is the first to shed.
  [[nodiscard]] std::optional<std::uint64_t> newest_of_lowest_tier() const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t size(tier service_tier) const;
  /// \returns whether `head` would return a request of the tier.
  [[nodiscard]] bool has_ready(tier service_tier) const;

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
  ordered by_expiry_;
  std::unordered_map<std::uint64_t, queued_request> entries_;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_REQUEST_QUEUE_H_
