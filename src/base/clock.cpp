#include "hawthornnotch/base/clock.h"

#include <time.h>

#include <chrono>

namespace hawthornnotch {

namespace {

constexpr std::int64_t ms_per_second = 1'000;
constexpr std::int64_t ns_per_ms = 1'000'000;

}  // namespace

// CLOCK_BOOTTIME includes the time for which the VM was suspended: deadlines expire and data grows
// stale during a suspension.
time_point system_clock::now() const {
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return {since_boot.tv_sec * ms_per_second + since_boot.tv_nsec / ns_per_ms};
}

time_point system_clock::wall() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

}  // namespace hawthornnotch
