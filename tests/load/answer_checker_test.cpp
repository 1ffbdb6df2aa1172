#include "hawthornnotch/load/answer_checker.h"

#include <string>
#include <vector>

#include "test_case.h"

namespace hawthornnotch::load {
namespace {

std::string event(const std::string& token) {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + token + "\"}}]}\n\n";
}

const std::string done = "data: [DONE]\n\n";

struct checked {
  std::string stream;
  std::optional<answer_fault> expected;
};

TEST_THAT(answer_checker, names_what_is_wrong_with_a_stream) {
  const std::string one = event(" tab12.0");
  const std::string two = event(" tab12.1");
  const std::vector<checked> table = {
      {one + two + done, std::nullopt},
      {event(" tab12.0 tab12.1") + done, std::nullopt},
      {one + one + two + done, answer_fault::doubled_token},
      {two + done, answer_fault::missing_token},
      {one + event(" tcd34.1") + done, answer_fault::foreign_token},
      {one + event(" tab12.x") + done, answer_fault::foreign_token},
      {one + done, answer_fault::too_short},
      {one + two + event(" tab12.2") + done, answer_fault::too_long},
      {one + two, answer_fault::no_done},
      {one + two + done + two, answer_fault::after_done},
      {one + "data: {broken\n\n" + done, answer_fault::malformed},
  };
  for (const checked& row : table) {
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, row.stream.size()}) {
      answer_checker checker(" tab12.", 2);
      for (std::size_t at = 0; at < row.stream.size(); at += piece) {
        checker.feed(row.stream.substr(at, piece));
      }
      CPPUNIT_ASSERT_MESSAGE(row.stream, checker.finish() == row.expected);
    }
  }
}

TEST_THAT(answer_checker, takes_an_error_event_for_a_told_break) {
  answer_checker checker(" tab12.", 2);
  checker.feed("data: {\"error\":{\"outcome\":\"unknown\"}}\n\n");
  CPPUNIT_ASSERT(checker.told_of_error());
  CPPUNIT_ASSERT(checker.finish() == answer_fault::no_done);
}

TEST_THAT(answer_checker, checks_whole_answers_and_marks_differ_by_prompt) {
  answer_checker checker(" tab12.", 2);
  checker.feed_whole(R"({"choices":[{"message":{"content":" tab12.0 tab12.1"}}]})");
  CPPUNIT_ASSERT(!checker.finish());
  answer_checker rubbish(" tab12.", 2);
  rubbish.feed_whole("{{");
  CPPUNIT_ASSERT(rubbish.finish() == answer_fault::malformed);
  CPPUNIT_ASSERT(token_mark("a") != token_mark("b"));
}

}  // namespace
}  // namespace hawthornnotch::load
