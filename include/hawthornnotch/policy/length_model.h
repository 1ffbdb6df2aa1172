/// \file
/// Learned output lengths.
#ifndef HAWTHORNNOTCH_POLICY_LENGTH_MODEL_H_
#define HAWTHORNNOTCH_POLICY_LENGTH_MODEL_H_

#include <array>
#include <cstdint>

#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Distribution of the output lengths of one request class in one workspace.
///
/// A histogram whose bucket bounds grow by a factor of the square root of two; the weight of old
/// samples decays with each new one.
/// Example: `model.add(412); double plan = model.planned(0);`
/// Ownership: a value.  Thread safety: none; `workspace_state` protects it.
class length_model {
 public:
  explicit length_model(const length_settings& settings);
  /// \param tokens output length of a completed request.
  void add(std::uint32_t tokens);
  /// \param sent tokens produced so far.
  /// \returns the configured quantile of the total length, given that it exceeds `sent`; twice
  /// `sent` if no sample was that long.
  [[nodiscard]] double planned(std::uint32_t sent) const;

 private:
  static constexpr std::size_t buckets = 40;
  [[nodiscard]] static std::size_t bucket_of(std::uint32_t tokens);
  [[nodiscard]] static double upper_bound(std::size_t bucket);

  length_settings settings_;
  std::array<double, buckets> weight_{};
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_LENGTH_MODEL_H_
