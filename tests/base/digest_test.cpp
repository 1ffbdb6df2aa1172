#include "hawthornnotch/base/digest.h"

#include "test_case.h"

namespace hawthornnotch {
namespace {

// Digests are compared between VMs of different releases.
TEST_THAT(digest, stays_the_same_in_every_release) {
  CPPUNIT_ASSERT_EQUAL(std::string("deab9f4da7fc74934985e935ff869e07"),
                       to_hex(digest_of("forecast", 7)));
}

TEST_THAT(digest, round_trips_as_hexadecimal) {
  const digest128 value{0x0123456789abcdef, 0x00000000000000ff};
  CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef00000000000000ff"), to_hex(value));
  CPPUNIT_ASSERT(digest_from_hex(to_hex(value)) == value);
}

TEST_THAT(digest, rejects_what_is_no_digest) {
  for (const char* text : {"", "00", "0123456789ABCDEF00000000000000ff",
                           "0123456789abcdef00000000000000f", "0123456789abcdef00000000000000f "}) {
    CPPUNIT_ASSERT_MESSAGE(text, !digest_from_hex(text));
  }
}

}  // namespace
}  // namespace hawthornnotch
