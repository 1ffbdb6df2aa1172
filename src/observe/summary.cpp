#include "summary.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::observe {

namespace {

namespace acc = boost::accumulators;

template <class Estimator>
Estimator make_estimator(std::size_t index) {
  return Estimator(acc::quantile_probability = summary_probabilities.at(index));
}

}  // namespace

summary::summary()
    : estimators_{make_estimator<estimator>(0), make_estimator<estimator>(1),
                  make_estimator<estimator>(2)} {}

void summary::add(double value) {
  const std::uint64_t seen = count();
  if (seen < max_exact_values) {
    first_values_.at(seen) = value;
  }
  totals_(value);
  for (estimator& each : estimators_) {
    each(value);
  }
}

std::uint64_t summary::count() const { return acc::count(totals_); }

double summary::sum() const { return acc::sum(totals_); }

double summary::quantile(std::size_t index) const {
  const std::uint64_t seen = count();
  if (seen == 0) {
    return 0;
  }
  if (seen > max_exact_values) {
    return acc::p_square_quantile(estimators_.at(index));
  }
  std::array<double, max_exact_values> sorted = first_values_;
  auto* const end = sorted.data() + seen;
  std::sort(sorted.data(), end);
  const double rank = std::ceil(summary_probabilities.at(index) * static_cast<double>(seen));
  return sorted.at(static_cast<std::size_t>(rank) - 1);
}

}  // namespace hawthornnotch::observe
