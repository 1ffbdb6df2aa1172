/// \file
/// Which software version a new stream begins at, worked out from the id of its attempt.
#ifndef HAWTHORNNOTCH_STREAMS_VERSION_SHARES_H_
#define HAWTHORNNOTCH_STREAMS_VERSION_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::streams {

enum class shares_failure : std::uint8_t { no_weight, too_large };

/// The shares of a service's versions in its new streams.  An attempt's id belongs to one version,
/// and the same shares name the same version on every VM and in every build.  If the weights of two
/// versions change, only the ids between the old and the new boundary change their version.
///
/// Example:
///     const auto shares = version_shares::create({{"v1", 4}, {"v2", 4}});
///     const std::string& version = shares->version_for(attempt_id);
/// Ownership: a value.  Thread safety: const access from any thread.
class version_shares {
 public:
  using weight_map = std::map<std::string, std::uint32_t, std::less<>>;
  /// The largest sum of weights.
  static constexpr std::uint64_t max_total_weight = 1'000'000;

  /// \param weights how many parts of the streams each version gets.
  /// \returns the shares; fails if the weights add up to 0 or to more than `max_total_weight`.
  [[nodiscard]] static result<version_shares, shares_failure> create(weight_map weights);
  /// \returns shares of which one version has all.
  [[nodiscard]] static version_shares only(std::string version);

  /// \returns the version at which a stream of this attempt begins.
  [[nodiscard]] const std::string& version_for(std::string_view attempt) const;
  [[nodiscard]] const weight_map& weights() const { return weights_; }
  bool operator==(const version_shares&) const = default;

 private:
  version_shares(weight_map weights, std::uint64_t total)
      : weights_(std::move(weights)), total_(total) {}

  weight_map weights_;
  std::uint64_t total_ = 0;
};

/// At which versions a VM begins streams that its record in the store does not name.
struct begin_rule {
  /// A stream begins at the version that one of these names for it, the last where it can; none if
  /// it may begin at any.
  std::vector<version_shares> alternatives;
  /// The base version of the service, see `version_history`; none if it is unknown.
  std::optional<std::string> base;

  /// \returns whether a stream may begin at any version.
  [[nodiscard]] bool is_open() const { return alternatives.empty(); }
  /// \returns the versions at which a stream of this attempt may begin, unless `is_open()`.
  [[nodiscard]] std::set<std::string> versions_for(std::string_view attempt) const;
  bool operator==(const begin_rule&) const = default;
};

/// Rules by service.
using begin_rules = std::map<std::string, begin_rule, std::less<>>;

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_VERSION_SHARES_H_
