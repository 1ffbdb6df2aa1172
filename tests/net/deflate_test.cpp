#include "hawthornnotch/net/deflate.h"

#include "hawthornnotch/base/random.h"
#include "test_case.h"

namespace hawthornnotch::net {
namespace {

constexpr std::size_t max_output_bytes = 1'000'000;

std::string long_message() {
  std::string text;
  for (int server = 0; server < 2'000; ++server) {
    text += R"({"server":"i-)" + std::to_string(server * 7'919) + R"(","running":3})";
  }
  return text;
}

TEST_THAT(deflate, round_trips_messages) {
  for (const std::string& plain : {std::string(), std::string("{}"), long_message()}) {
    const auto inflated = inflate(deflate(plain), max_output_bytes);
    CPPUNIT_ASSERT(inflated.has_value());
    CPPUNIT_ASSERT_EQUAL(plain, *inflated);
  }
}

// The last symbols of a stream may have fewer bits than the reader looks ahead, as in about one in
// 200 streams of this kind.
TEST_THAT(deflate, round_trips_messages_of_any_length) {
  random_source random(1);
  std::string plain;
  constexpr int messages = 2'000;
  for (int message = 0; message < messages; ++message) {
    plain.clear();
    const std::uint64_t names = random.below(60);
    for (std::uint64_t name = 0; name < names; ++name) {
      plain += R"({"server":"i-)" + std::to_string(random.below(1'000'000)) + R"(","prefill":)";
    }
    const auto inflated = inflate(deflate(plain), max_output_bytes);
    CPPUNIT_ASSERT(inflated.has_value());
    CPPUNIT_ASSERT_EQUAL(plain, *inflated);
  }
}

TEST_THAT(deflate, shrinks_messages_with_repeated_names_to_a_quarter) {
  const std::string plain = long_message();
  CPPUNIT_ASSERT(deflate(plain).size() < plain.size() / 4);
}

TEST_THAT(deflate, rejects_a_stream_that_exceeds_the_output_limit) {
  const std::string compressed = deflate(std::string(100'000, 'x'));
  CPPUNIT_ASSERT(inflate(compressed, 50'000).last_reason() == inflate_failure::too_large);
}

TEST_THAT(deflate, rejects_incomplete_or_invalid_streams) {
  const std::string compressed = deflate(long_message());
  const std::string_view all = compressed;
  for (const std::size_t length :
       {std::size_t{0}, std::size_t{1}, all.size() / 2, all.size() - 1}) {
    CPPUNIT_ASSERT(inflate(all.substr(0, length), max_output_bytes).last_reason() ==
                   inflate_failure::malformed);
  }
  CPPUNIT_ASSERT(inflate(compressed + "more", max_output_bytes).last_reason() ==
                 inflate_failure::malformed);
  CPPUNIT_ASSERT(inflate("no deflate stream", max_output_bytes).last_reason() ==
                 inflate_failure::malformed);
}

}  // namespace
}  // namespace hawthornnotch::net
