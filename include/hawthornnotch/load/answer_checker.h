/// \file
/// Checks that an answer is whole, in order and one's own.
#ifndef HAWTHORNNOTCH_LOAD_ANSWER_CHECKER_H_
#define HAWTHORNNOTCH_LOAD_ANSWER_CHECKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch::load {

/// What is wrong with an answer that came to its proper end.
enum class answer_fault : std::uint8_t {
  /// A token of another prompt, or text that is no token.
  foreign_token,
  /// A token came twice, or out of order.
  doubled_token,
  /// A token was left out.
  missing_token,
  /// All tokens in order, but the last ones never came.
  too_short,
  /// More tokens than asked for.
  too_long,
  /// The stream ended without `data: [DONE]`.
  no_done,
  /// Something followed `data: [DONE]`.
  after_done,
  /// An event or body that is not of the protocol.
  malformed,
};

std::string_view to_string(answer_fault fault);

/// \returns the first part of every token that a stand-in engine makes for these messages, which
/// are the JSON text of the member `messages`.
std::string token_mark(std::string_view messages_json);

/// Follows one answer while it comes.
///
/// Example:
///     answer_checker checker(token_mark(messages), 40);
///     checker.feed(bytes);            // any pieces of the event stream
///     auto wrong = checker.finish();  // at the stream's proper end
/// Ownership: a value.  Thread safety: none.
class answer_checker {
 public:
  answer_checker(std::string mark, std::uint32_t expected_tokens);
  /// Takes the next bytes of an event stream.  \returns how many tokens they completed.
  std::uint32_t feed(std::string_view bytes);
  /// Takes the body of an answer that was not streamed.
  void feed_whole(std::string_view body);
  /// \returns the fault of an answer at its proper end; none if it is right.
  [[nodiscard]] std::optional<answer_fault> finish() const;
  /// Right tokens so far.
  [[nodiscard]] std::uint32_t tokens() const { return next_; }
  /// True once the stream carried an error event: it is broken off, and says so.
  [[nodiscard]] bool told_of_error() const { return !error_.empty(); }
  /// JSON text of that event.
  [[nodiscard]] const std::string& error() const { return error_; }

 private:
  void take_event(std::string_view line);
  void take_text(std::string_view text);
  void take_token(std::string_view token);
  void fail(answer_fault fault);

  std::string mark_;
  std::uint32_t expected_ = 0;
  std::uint32_t next_ = 0;
  bool done_ = false;
  bool whole_ = false;
  std::string line_;
  std::string error_;
  std::optional<answer_fault> fault_;
};

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_LOAD_ANSWER_CHECKER_H_
