#include "hawthornnotch/dispatch/speed_record.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::dispatch {

namespace {

/// A value is the slowness in percent times this, plus the age of the server's report in ms.
constexpr std::int64_t age_range = 1'000;
constexpr double percent = 100.0;
/// Beyond the slowness that any server is taken for; keeps false reports within a value's range.
constexpr double max_percent = 100'000;

}  // namespace

std::vector<speed_values> to_record_values(std::span<const server_speed> speeds,
                                           std::size_t limit) {
  std::vector<speed_values> out;
  for (const server_speed& each : speeds) {
    if (out.empty() || out.back().size() >= limit) {
      out.emplace_back();
    }
    const std::int64_t slowness = std::llround(std::min(each.slowness * percent, max_percent));
    const std::int64_t age = std::clamp<std::int64_t>(each.age.ms, 0, age_range - 1);
    out.back()[each.server] = slowness * age_range + age;
  }
  return out;
}

std::vector<server_speed> from_record_values(const speed_values& values, duration age) {
  std::vector<server_speed> out;
  for (const auto& [server, value] : values) {
    const std::int64_t slowness = value / age_range;
    if (value <= 0 || slowness == 0 || static_cast<double>(slowness) > max_percent) {
      continue;
    }
    out.push_back(
        {server, static_cast<double>(slowness) / percent, age + duration{value % age_range}});
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
