#include "hawthornnotch/policy/length_model.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::policy {

length_model::length_model(const length_settings& settings) : settings_(settings) {
  weight_.at(bucket_of(settings.prior_tokens)) = 1.0;
}

void length_model::add(std::uint32_t tokens) {
  for (double& weight : weight_) {
    weight *= settings_.decay;
  }
  weight_.at(bucket_of(tokens)) += 1.0;
}

double length_model::planned(std::uint32_t sent) const {
  const std::size_t first = sent == 0 ? 0 : std::min(bucket_of(sent + 1), buckets - 1);
  double total = 0;
  for (std::size_t bucket = first; bucket < buckets; ++bucket) {
    total += weight_.at(bucket);
  }
  constexpr double min_total = 1e-3;
  if (total < min_total) {
    return sent * 2.0;  // Longer than any sample: assume that half is done.
  }
  double below = 0;
  for (std::size_t bucket = first; bucket < buckets; ++bucket) {
    below += weight_.at(bucket);
    if (below >= settings_.quantile * total) {
      return std::max(upper_bound(bucket), sent + 1.0);
    }
  }
  return upper_bound(buckets - 1);
}

std::size_t length_model::bucket_of(std::uint32_t tokens) {
  const double steps = 2.0 * std::log2(std::max(1.0, static_cast<double>(tokens)));
  return std::min(buckets - 1, static_cast<std::size_t>(std::ceil(steps)));
}

double length_model::upper_bound(std::size_t bucket) {
  return std::exp2(static_cast<double>(bucket) / 2.0);
}

}  // namespace hawthornnotch::policy
