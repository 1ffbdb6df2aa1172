/// \file
/// The shapes of load that the tool sends.
#ifndef HAWTHORNNOTCH_LOAD_PROFILE_H_
#define HAWTHORNNOTCH_LOAD_PROFILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/model.h"

namespace hawthornnotch::load {

enum class call_kind : std::uint8_t {
  /// `/v1/chat/completions` with `"stream": true`.
  chat_stream,
  /// `/v1/chat/completions`, answered whole.
  chat_whole,
  /// `/services/<name>/<path>`.
  service,
};

/// One class of requests within a profile.
struct request_kind {
  std::string class_name;
  std::string workspace;
  call_kind call = call_kind::chat_stream;
  /// Method and target of a service call.
  std::string method;
  std::string target_path;
  tier service_tier = 0;
  latency_target target;
  /// False: carries an Idempotency-Key.
  bool idempotent = true;
  /// Share of the base rate; those of a profile add up to 1.
  double share = 0;
  /// By how much the rate of this class rises during the burst.
  double burst_factor = 1;
  /// Share of the requests sent a second time, with the same key, through another router.
  double repeat_share = 0;
  /// Answer length in tokens: log-normal around the median, cut at the longest; 0 for services.
  std::uint32_t median_tokens = 0;
  std::uint32_t longest_tokens = 0;
  /// Leading bytes of the prompt that all requests of this class share.
  std::uint32_t shared_prompt_bytes = 0;
};

/// A mix of classes with one burst.
struct profile {
  std::string name;
  std::vector<request_kind> kinds;
  /// Begin and end of the burst as shares of the run's length.
  double burst_begin = 0;
  double burst_end = 0;
};

/// Road ice forecasts: a burst of bulletins over summaries, short answers, readings and orders.
profile poledica();
/// Roundabout sponsorship: a queue of lookups and bookings over long contracts, summaries, letters.
profile roundabout();
/// \returns the profile of that name.
std::optional<profile> profile_named(std::string_view name);

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_LOAD_PROFILE_H_
