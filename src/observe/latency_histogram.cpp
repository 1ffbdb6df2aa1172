#include "latency_histogram.h"

#include <limits>
#include <vector>

namespace hawthornnotch::observe {

namespace {

constexpr double first_bound_ms = 1.0;
constexpr int finite_bound_count = 16;

// Returns 0, 1, 2, 4, ... 32768 ms.
std::vector<double> bucket_edges() {
  std::vector<double> edges = {0.0};
  double edge = first_bound_ms;
  for (int index = 0; index < finite_bound_count; ++index) {
    edges.push_back(edge);
    edge *= 2.0;
  }
  return edges;
}

}  // namespace

latency_histogram::latency_histogram()
    : counts_(boost::histogram::make_histogram(axis(bucket_edges()))) {}

void latency_histogram::add(double ms) {
  counts_(ms);
  sum_ += ms;
  ++count_;
}

void latency_histogram::for_each_bucket(
    const std::function<void(double upper_ms, std::uint64_t count)>& visit) const {
  const axis& edges = counts_.axis(0);
  double below = counts_.at(-1);
  for (int index = 0; index < edges.size(); ++index) {
    below += counts_.at(index);
    visit(edges.bin(index).upper(), static_cast<std::uint64_t>(below));
  }
  visit(std::numeric_limits<double>::infinity(), count_);
}

}  // namespace hawthornnotch::observe
