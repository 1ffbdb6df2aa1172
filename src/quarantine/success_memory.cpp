#include "hawthornnotch/quarantine/success_memory.h"

#include <utility>

namespace hawthornnotch::quarantine {

namespace {

constexpr std::size_t max_generation_size = 2'048;
constexpr duration generation_lifetime{120'000};

}  // namespace

void success_memory::record(const fingerprint& what, time_point now) {
  const bool full = young_.size() >= max_generation_size && !young_.contains(what);
  if (full || now - young_since_ > generation_lifetime) {
    old_ = std::exchange(young_, {});
    young_since_ = now;
  }
  young_[what] = now;
}

std::optional<time_point> success_memory::find(const fingerprint& what) const {
  for (const generation* each : {&young_, &old_}) {
    const auto found = each->find(what);
    if (found != each->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace hawthornnotch::quarantine
