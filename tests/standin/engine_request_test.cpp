#include "hawthornnotch/standin/engine_request.h"

#include <string>

#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::standin;

constexpr std::uint32_t longest = 64;

std::string text_of(const generation& request) {
  std::string text;
  for (std::uint32_t index = request.begin; index < request.end; ++index) {
    text += token_text(request, index);
  }
  return text;
}

TEST_THAT(resumed_chat, goes_on_with_the_next_token_of_the_same_text) {
  const auto whole = parse_generation(
      R"({"model":"m","messages":[{"role":"user","content":"hi"}],"x_length":5})", true, longest);
  CPPUNIT_ASSERT(whole && whole->begin == 0 && whole->end == 5);
  const std::string begun = token_text(*whole, 0) + token_text(*whole, 1);
  const auto resumed = parse_generation(
      R"({"model":"m","messages":[{"role":"user","content":"hi"},{"role":"assistant","content":")" +
          begun +
          R"("}],"x_length":5,"continue_final_message":true,"add_generation_prompt":false})",
      true, longest);
  CPPUNIT_ASSERT(resumed.has_value());
  CPPUNIT_ASSERT_EQUAL(text_of(*whole), begun + text_of(*resumed));
}

TEST_THAT(resumed_completion, finds_the_begun_answer_at_the_tail_of_the_prompt) {
  const auto whole =
      parse_generation(R"({"model":"m","prompt":"to the ","x_length":4})", false, longest);
  CPPUNIT_ASSERT(whole.has_value());
  const std::string begun = token_text(*whole, 0) + token_text(*whole, 1) + token_text(*whole, 2);
  const auto resumed = parse_generation(
      R"({"model":"m","prompt":"to the )" + begun + R"(","x_length":4})", false, longest);
  CPPUNIT_ASSERT(resumed.has_value());
  CPPUNIT_ASSERT_EQUAL(text_of(*whole), begun + text_of(*resumed));
}

TEST_THAT(answer_length, is_drawn_from_the_prompt_and_cut_by_the_limit) {
  const std::string body = R"({"model":"m","prompt":"some words")";
  const auto free = parse_generation(body + "}", false, longest);
  const auto again = parse_generation(body + "}", false, longest);
  CPPUNIT_ASSERT(free && again && free->end == again->end && free->end >= 1);
  CPPUNIT_ASSERT(!free->cut_by_limit);
  const auto cut = parse_generation(body + R"(,"x_length":9,"max_tokens":2})", false, longest);
  CPPUNIT_ASSERT(cut && cut->end == 2 && cut->cut_by_limit);
}

TEST_THAT(engine_request, is_refused_without_json_or_prompt) {
  CPPUNIT_ASSERT(parse_generation("{", true, longest).last_reason() == request_fault::not_json);
  CPPUNIT_ASSERT(parse_generation(R"({"messages":[]})", true, longest).last_reason() ==
                 request_fault::no_prompt);
  CPPUNIT_ASSERT(parse_generation(R"({"prompt":7})", false, longest).last_reason() ==
                 request_fault::no_prompt);
}

}  // namespace
