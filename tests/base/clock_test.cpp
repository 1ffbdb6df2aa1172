#include "hawthornnotch/base/clock.h"

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/base/result.h"
#include "test_case.h"

namespace hawthornnotch {
namespace {

using namespace literals;

TEST_THAT(stepped_clock, moves_only_when_told) {
  stepped_clock clock;
  const time_point before = clock.now();
  CPPUNIT_ASSERT(clock.now() == before);
  clock.advance(250_ms);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{250}, (clock.now() - before).ms);
}

TEST_THAT(result, keeps_the_typed_reason_of_an_absent_value) {
  enum class parse_failure { empty_text };
  const result<int, parse_failure> parsed = failed{parse_failure::empty_text};
  CPPUNIT_ASSERT(!parsed);
  CPPUNIT_ASSERT(parsed.last_reason() == parse_failure::empty_text);
}

TEST_THAT(stable_hash, depends_on_the_text_alone) {
  CPPUNIT_ASSERT(stable_hash("zg-istok") == stable_hash("zg-istok"));
  CPPUNIT_ASSERT(stable_hash("zg-istok") != stable_hash("zg-zapad"));
}

}  // namespace
}  // namespace hawthornnotch
