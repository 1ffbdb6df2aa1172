/// \file
/// Learned lengths of answers.
#ifndef HAWTHORNNOTCH_POLICY_LENGTH_MODEL_H_
#define HAWTHORNNOTCH_POLICY_LENGTH_MODEL_H_

#include <array>
#include <cstdint>

#include "hawthornnotch/policy/settings.h"

namespace hawthornnotch::policy {

/// Distribution of the answer lengths of one class in one workspace.
///
/// A histogram whose buckets grow by a factor of the square root of two; old answers fade.
/// Example: `model.add(412); double plan = model.planned(0); double left = model.planned(300) -
/// 300;` Ownership: a value.  Thread safety: none; `workspace_state` protects it.
class length_model {
 public:
  explicit length_model(const length_settings& settings);
  /// \param tokens length of a complete answer.
  void add(std::uint32_t tokens);
  /// \param sent tokens that came already.
  /// \returns the settings' quantile of the length, given that it is above `sent`.
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
