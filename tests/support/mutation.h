// Random mutation of valid input, for robustness tests of parsers.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_MUTATION_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_MUTATION_H_

#include <string>

#include "hawthornnotch/base/random.h"

namespace hawthornnotch::test {

// Applies one to eight random mutations: overwrites a byte; deletes, repeats or moves a piece;
// truncates the text; or inserts a boundary value such as an overflowing number or an empty object.
// \returns the mutated text; the same `random` state gives the same result.
std::string mutate(std::string text, random_source& random);

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_MUTATION_H_
