// Bytes that a faulty or hostile peer may send: something valid, damaged here and there.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_MUTATION_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_MUTATION_H_

#include <string>

#include "hawthornnotch/base/random.h"

namespace hawthornnotch::test {

// \returns the text after one to eight random changes: bytes overwritten, dropped or doubled,
// pieces moved, the end cut off, or numbers and tokens at the edge of what readers take put in.
std::string mutated(std::string text, random_source& random);

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_MUTATION_H_
