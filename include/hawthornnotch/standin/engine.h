/// \file
/// A model engine that generates made-up text at a set speed.
#ifndef HAWTHORNNOTCH_STANDIN_ENGINE_H_
#define HAWTHORNNOTCH_STANDIN_ENGINE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/standin/faults.h"

namespace hawthornnotch::standin {

struct engine_options {
  std::vector<std::string> models;
  std::chrono::microseconds first_token{};
  std::chrono::microseconds token{};
  /// Streams that step together; further ones wait, lowest `priority` first.
  std::size_t slots = 8;
  /// Share by which each further running stream lengthens a step.
  double slowdown = 0;
  /// Prompt prefixes remembered; a known one halves the time to the first token.
  std::size_t cache_entries = 0;
  std::chrono::microseconds report_lag{};
  std::chrono::microseconds load_model{};
  bool checks_fencing = false;
  /// Upper bound of drawn answer lengths, tokens.
  std::uint32_t longest = 64;
};

/// The OpenAI-compatible engine.
///
/// Routes: `POST /v1/chat/completions`, `POST /v1/completions`, `GET /v1/models`, `GET /load`,
/// `POST /orders`, `GET /standin/counters`.
/// Example: `auto engine = engine::create(options, faults); co_await engine->handle(request, out);`
/// Ownership: outlives its requests.  Thread safety: none; used on one thread.
class engine {
 public:
  [[nodiscard]] static std::unique_ptr<engine> create(engine_options options,
                                                      std::shared_ptr<fault_switches> faults);
  virtual ~engine() = default;
  virtual boost::asio::awaitable<void> handle(net::http_request request,
                                              net::response_writer& writer) = 0;
};

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_ENGINE_H_
