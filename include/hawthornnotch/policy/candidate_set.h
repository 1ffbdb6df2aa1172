/// \file
/// The backend servers that this router may use for one model or service.
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

/// A server that is eligible for a model or service.
struct candidate {
  std::shared_ptr<server_state> server;
  /// Rank of this router among the routers that use the server, from 0.
  std::uint32_t rank = 0;
};

/// Maintains, for each tier, a list of the servers that appear to have room, so that a choice
/// samples that list instead of scanning every server.
///
/// The lists may be stale: a server is refreshed after this model dispatches to it or a request
/// ends there, and each run of the policy refreshes a few more in rotation to pick up changes made
/// by other models and routers.  Callers check `refresh` before they dispatch.
/// Example: `set.refresh(index, now); for (auto index : set.available(0)) { ... }`
/// Ownership: shares the servers.  Thread safety: none; the shard's lock protects it.
class candidate_set {
 public:
  explicit candidate_set(const ejection_settings& settings) : settings_(settings) {}
  /// Replaces the servers and refreshes all of them.
  void assign(std::vector<candidate> servers, const sharing& shared, time_point now);
  /// Replaces the sharing parameters; the lists follow as servers are refreshed.
  void set_sharing(const sharing& shared) { shared_ = shared; }
  [[nodiscard]] const sharing& shared() const { return shared_; }
  [[nodiscard]] std::size_t size() const { return servers_.size(); }
  /// \returns the number of servers whose cap is enforced.
  [[nodiscard]] std::uint32_t ejected() const {
    return count_of(cap_kind::slow) + count_of(cap_kind::failing);
  }
  [[nodiscard]] const std::shared_ptr<server_state>& at(std::uint32_t index) const {
    return servers_.at(index).server;
  }
  [[nodiscard]] std::optional<std::uint32_t> index_of(const server_state* server) const;
  /// Updates the lists for one server.  \returns what the server can take now.
  server_offer refresh(std::uint32_t index, time_point now);
  /// Refreshes the next few servers in rotation.
  void refresh_next(time_point now);
  /// \returns indices of the servers that appear to have room for the tier.
  [[nodiscard]] std::span<const std::uint32_t> available(tier service_tier) const {
    return available_.at(service_tier);
  }

 private:
  static constexpr std::uint32_t absent = UINT32_MAX;
  using tier_positions = std::array<std::uint32_t, tier_count>;

  // Returns false if too many servers are capped already; the cap is then not enforced.
  bool try_enforce_cap(std::uint32_t index, cap_kind capped);
  [[nodiscard]] std::uint32_t count_of(cap_kind kind) const {
    return capped_count_.at(static_cast<std::size_t>(kind));
  }
  void set_available(std::uint32_t index, int service_tier, bool is_available);

  ejection_settings settings_;
  sharing shared_;
  std::vector<candidate> servers_;
  std::unordered_map<const server_state*, std::uint32_t> index_;
  std::array<std::vector<std::uint32_t>, tier_count> available_;
  std::vector<tier_positions> list_positions_;
  std::vector<cap_kind> capped_;
  std::array<std::uint32_t, cap_kinds> capped_count_{};
  std::uint32_t next_ = 0;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_CANDIDATE_SET_H_
