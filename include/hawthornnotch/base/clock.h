/// \file
/// Durations, time points and clocks, all in whole milliseconds.
#ifndef HAWTHORNNOTCH_BASE_CLOCK_H_
#define HAWTHORNNOTCH_BASE_CLOCK_H_

#include <atomic>
#include <cstdint>

namespace hawthornnotch {

/// A span of time in whole milliseconds; may be negative.
struct duration {
  std::int64_t ms = 0;
  constexpr bool operator==(const duration&) const = default;
  constexpr bool operator<(const duration& other) const { return ms < other.ms; }
  constexpr bool operator>(const duration& other) const { return ms > other.ms; }
  constexpr bool operator<=(const duration& other) const { return ms <= other.ms; }
  constexpr bool operator>=(const duration& other) const { return ms >= other.ms; }
};

constexpr duration operator+(duration a, duration b) { return {a.ms + b.ms}; }
constexpr duration operator-(duration a, duration b) { return {a.ms - b.ms}; }
constexpr duration operator*(duration a, std::int64_t factor) { return {a.ms * factor}; }
constexpr duration operator/(duration a, std::int64_t divisor) { return {a.ms / divisor}; }

/// A point in time: milliseconds since the clock's epoch.
struct time_point {
  std::int64_t ms = 0;
  constexpr bool operator==(const time_point&) const = default;
  constexpr bool operator<(const time_point& other) const { return ms < other.ms; }
  constexpr bool operator>(const time_point& other) const { return ms > other.ms; }
  constexpr bool operator<=(const time_point& other) const { return ms <= other.ms; }
  constexpr bool operator>=(const time_point& other) const { return ms >= other.ms; }
};

constexpr duration operator-(time_point a, time_point b) { return {a.ms - b.ms}; }
constexpr time_point operator+(time_point a, duration b) { return {a.ms + b.ms}; }
constexpr time_point operator-(time_point a, duration b) { return {a.ms - b.ms}; }

namespace literals {
constexpr duration operator""_ms(unsigned long long value) {
  return {static_cast<std::int64_t>(value)};
}
constexpr duration operator""_s(unsigned long long value) {
  return {static_cast<std::int64_t>(value) * 1000};
}
}  // namespace literals

/// Source of time, injected so that tests can control it.
///
/// Example: `time_point deadline = clock.now() + duration{250};`
/// Ownership: passed by reference; outlives its users.  Thread safety: all members are thread safe.
class clock {
 public:
  virtual ~clock() = default;
  /// Monotonic time.  \returns milliseconds since an arbitrary epoch; not comparable between VMs.
  [[nodiscard]] virtual time_point now() const = 0;
  /// Wall-clock time, for timestamps that other processes read.
  /// \returns milliseconds since 1970-01-01 UTC; may jump.
  [[nodiscard]] virtual time_point wall() const = 0;
};

/// The operating system's clocks.
class system_clock final : public clock {
 public:
  [[nodiscard]] time_point now() const override;
  [[nodiscard]] time_point wall() const override;
};

/// A clock that advances only by `advance`.  Starts at one hour, so that subtracting a duration
/// from an early time point stays positive.
class stepped_clock final : public clock {
 public:
  [[nodiscard]] time_point now() const override { return {now_ms_.load()}; }
  [[nodiscard]] time_point wall() const override { return {wall_offset_ms + now_ms_.load()}; }
  /// \param step the time to advance by; not negative.
  void advance(duration step) { now_ms_ += step.ms; }

 private:
  static constexpr std::int64_t start_ms = 3'600'000;
  static constexpr std::int64_t wall_offset_ms = 1'700'000'000'000;
  std::atomic<std::int64_t> now_ms_{start_ms};
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_CLOCK_H_
