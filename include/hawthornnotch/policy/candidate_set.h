/// \file
/// The backend servers that one model or service may use from this router.
#ifndef HAWTHORNNOTCH_POLICY_CANDIDATE_SET_H_
#define HAWTHORNNOTCH_POLICY_CANDIDATE_SET_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "hawthornnotch/policy/server_state.h"

namespace hawthornnotch::policy {

/// One server that may be used.
struct candidate {
  std::shared_ptr<server_state> server;
  /// This router's place among those that use the server.
  std::uint32_t rank = 0;
};

/// Keeps, for each tier, the list of servers that seem to have room, so that a choice draws from
/// those and never scans all.
///
/// The lists are brought up to date one server at a time: after each own dispatch or end there, and
/// a few in turn with each run of the policy for what changed without an event of this model.
/// Example: `set.refresh(index, now); for (auto index : set.open(0)) { ... }`
/// Ownership: shares the servers.  Thread safety: none; the shard's lock protects it.
class candidate_set {
 public:
  explicit candidate_set(const ejection_settings& settings) : settings_(settings) {}
  /// Replaces the servers.
  void assign(std::vector<candidate> servers, const sharing& shared, time_point now);
  /// Replaces what is known of the peers.
  void share(const sharing& shared) { shared_ = shared; }
  [[nodiscard]] const sharing& shared() const { return shared_; }
  [[nodiscard]] std::size_t size() const { return servers_.size(); }
  /// \returns servers whose cap is honoured.
  [[nodiscard]] std::uint32_t ejected() const {
    return count_of(cap_kind::slow) + count_of(cap_kind::failing);
  }
  [[nodiscard]] const std::shared_ptr<server_state>& at(std::uint32_t index) const {
    return servers_.at(index).server;
  }
  [[nodiscard]] std::optional<std::uint32_t> index_of(const server_state* server) const;
  /// Looks at one server anew.  \returns its present offer.
  server_offer refresh(std::uint32_t index, time_point now);
  /// Looks at the next few servers in turn.
  void refresh_next(time_point now);
  /// \returns indices of servers that seem to have room for the tier.
  [[nodiscard]] std::span<const std::uint32_t> open(tier service_tier) const {
    return open_.at(service_tier);
  }

 private:
  static constexpr std::uint32_t absent = UINT32_MAX;
  using positions = std::array<std::uint32_t, tier_count>;

  bool honour_cap(std::uint32_t index, cap_kind capped);
  [[nodiscard]] std::uint32_t count_of(cap_kind kind) const {
    return capped_count_.at(static_cast<std::size_t>(kind));
  }
  void set_open(std::uint32_t index, int service_tier, bool is_open);

  ejection_settings settings_;
  sharing shared_;
  std::vector<candidate> servers_;
  std::unordered_map<const server_state*, std::uint32_t> index_;
  std::array<std::vector<std::uint32_t>, tier_count> open_;
  std::vector<positions> position_;
  std::vector<cap_kind> capped_;
  std::array<std::uint32_t, cap_kinds> capped_count_{};
  std::uint32_t next_ = 0;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_CANDIDATE_SET_H_
