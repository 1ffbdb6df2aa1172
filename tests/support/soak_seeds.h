// The number of seeds of a soak: few by default, more by hand.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_SOAK_SEEDS_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_SOAK_SEEDS_H_

#include <cstdint>
#include <cstdlib>
#include <string>

namespace hawthornnotch::test {

// \returns the value of HAWTHORNNOTCH_SOAK_SEEDS, or a number that suits CI.
inline std::uint64_t seeds_to_run() {
  constexpr std::uint64_t default_seeds = 6;
  const char* text = std::getenv("HAWTHORNNOTCH_SOAK_SEEDS");
  return text == nullptr ? default_seeds : std::stoull(text);
}

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_SOAK_SEEDS_H_
