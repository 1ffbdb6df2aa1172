// The generation of one answer over as many tries as it takes.
#ifndef HAWTHORNNOTCH_SRC_ROUTER_MODEL_RUN_H_
#define HAWTHORNNOTCH_SRC_ROUTER_MODEL_RUN_H_

#include <string>

#include "attempt.h"
#include "hawthornnotch/router/event_stream.h"

namespace hawthornnotch::router::internal {

// Keeps what was generated so far, so that the next try resumes where the last one broke, and
// hands each token to the caller once and in order.
//
// Thread safety: used on the request's strand.
class model_run {
 public:
  model_run(const classified_request& request, const model_call& call, const backend_limits& limits,
            std::int64_t created);

  boost::asio::awaitable<attempt_result> attempt(attempt_context context, caller_sink& sink);
  // Whether another try may follow: an answer that can't be resumed must not have begun.
  [[nodiscard]] bool may_be_tried_again(const caller_sink& sink) const {
    return call_.resumable || !sink.has_begun();
  }
  [[nodiscard]] std::uint32_t tokens() const { return tokens_; }
  // Hands over an answer that an earlier run of the same key recorded.
  boost::asio::awaitable<void> replay(const claim::recorded_answer& answer, caller_sink& sink);

 private:
  [[nodiscard]] std::string body_for(const policy::assigned& to) const;
  void append_partial_answer(boost::json::object& body) const;
  boost::asio::awaitable<attempt_result> receive(net::response_stream& stream,
                                                 const attempt_context& context, caller_sink& sink);
  boost::asio::awaitable<attempt_result> receive_events(net::response_stream& stream,
                                                        const attempt_context& context,
                                                        caller_sink& sink);
  boost::asio::awaitable<attempt_result> pass_whole(net::response_stream& stream,
                                                    const attempt_context& context,
                                                    caller_sink& sink);
  // \returns whether the stream keeps to its bounds.
  boost::asio::awaitable<bool> take(const stream_event& event, std::string_view data,
                                    const attempt_context& context, caller_sink& sink);
  // An event of an answer that holds more than text.
  boost::asio::awaitable<bool> take_unread(std::string_view data, const attempt_context& context,
                                           caller_sink& sink);
  boost::asio::awaitable<bool> take_text(const text_event& event, const attempt_context& context,
                                         caller_sink& sink);
  boost::asio::awaitable<attempt_result> complete(caller_sink& sink);
  [[nodiscard]] bool passes_through() const { return !call_.resumable; }

  const classified_request& request_;
  const model_call& call_;
  const backend_limits& limits_;
  answer_identity identity_;
  // The text so far; the events so far where the answer is passed through.
  std::string text_;
  std::string finish_reason_;
  std::uint32_t tokens_ = 0;
};

}  // namespace hawthornnotch::router::internal

#endif  // HAWTHORNNOTCH_SRC_ROUTER_MODEL_RUN_H_
