// Generates the response to one model call over one or more attempts.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_MODEL_GENERATION_H_
#define HAWTHORNNOTCH_SRC_ROUTER_MODEL_GENERATION_H_

#include <string>

#include "attempt.h"
#include "hawthornnotch/router/event_stream.h"

namespace hawthornnotch::router::internal {

// Keeps the text generated so far, so that the next attempt resumes where the last one failed and
// the caller receives each token once and in order.
//
// Failures: an attempt fails on a network error, a response to another request, a status of 500 or
// above or 429, a malformed or oversized event or response, more tokens than were requested, and a
// stream that ends without `[DONE]`.  Any other status but 200 is forwarded to the caller unless
// the response has begun, which fails the attempt.  Whether another attempt is allowed is decided
// by `is_retryable` and by the request's claim.
//
// Thread safety: not thread safe; used on the request's strand.
class model_generation {
 public:
  model_generation(const classified_request& request, const model_call& call,
                   const backend_limits& limits, std::int64_t created);

  // Runs one attempt and writes what it generates to `sink`.
  boost::asio::awaitable<attempt_result> run_attempt(attempt_context context, caller_sink& sink);
  // \returns whether another attempt may follow: a response that can't be resumed must not have
  // begun.
  [[nodiscard]] bool is_retryable(const caller_sink& sink) const {
    return call_.resumable || !sink.has_begun();
  }
  [[nodiscard]] std::uint32_t tokens() const { return tokens_; }
  // Sends the recorded response of an earlier request with the same key.
  boost::asio::awaitable<void> replay(const claim::recorded_answer& answer, caller_sink& sink);

 private:
  [[nodiscard]] std::string build_body(const policy::assigned& assignment) const;
  void append_partial_answer(boost::json::object& body) const;
  boost::asio::awaitable<attempt_result> receive(net::response_stream& stream,
                                                 const attempt_context& context, caller_sink& sink);
  boost::asio::awaitable<attempt_result> receive_events(net::response_stream& stream,
                                                        const attempt_context& context,
                                                        caller_sink& sink);
  boost::asio::awaitable<attempt_result> forward_whole_response(net::response_stream& stream,
                                                                const attempt_context& context,
                                                                caller_sink& sink);
  // \returns false if the event exceeds a limit.
  boost::asio::awaitable<bool> handle_event(const stream_event& event, std::string_view data,
                                            const attempt_context& context, caller_sink& sink);
  // Forwards an event of a response that holds more than text.
  boost::asio::awaitable<bool> forward_raw_event(std::string_view data,
                                                 const attempt_context& context, caller_sink& sink);
  boost::asio::awaitable<bool> handle_text(const text_event& event, const attempt_context& context,
                                           caller_sink& sink);
  boost::asio::awaitable<attempt_result> complete(caller_sink& sink);
  [[nodiscard]] bool forwards_raw_events() const { return !call_.resumable; }

  const classified_request& request_;
  const model_call& call_;
  const backend_limits& limits_;
  response_identity identity_;
  // The text generated so far, or the events forwarded so far if they are forwarded unchanged.
  std::string text_;
  std::string finish_reason_;
  std::uint32_t tokens_ = 0;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_MODEL_GENERATION_H_
