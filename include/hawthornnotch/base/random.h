/// \file
/// Seeded random numbers, injected so that runs are reproducible.
#ifndef HAWTHORNNOTCH_BASE_RANDOM_H_
#define HAWTHORNNOTCH_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace hawthornnotch {

/// A seeded pseudorandom number generator.
///
/// Example: `random_source random(7); auto pick = random.below(candidates.size());`
/// Ownership: a value.  Thread safety: none; give each thread or shard its own.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}
  /// \returns a uniformly distributed integer in [0, bound); 0 if `bound` is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
  /// \returns a uniformly distributed number in [0, 1).
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

/// \returns a unique id for this run of the process: 128 random bits from the operating system, as
/// 32 hexadecimal digits.
std::string make_incarnation();

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_BASE_RANDOM_H_
