/// \file
/// Limits on the rate of requests that backend servers name for all entry VMs together.
#ifndef HAWTHORNNOTCH_SERVERS_RATE_LIMIT_H_
#define HAWTHORNNOTCH_SERVERS_RATE_LIMIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::servers {

/// A rate of requests in thousandths of a request per second.
struct request_rate {
  std::int64_t milli_per_s = 0;
  constexpr bool operator==(const request_rate&) const = default;
  constexpr bool operator<(const request_rate& other) const {
    return milli_per_s < other.milli_per_s;
  }
  /// \returns requests per second.
  [[nodiscard]] double per_second() const {
    constexpr double milli = 1'000.0;
    return static_cast<double>(milli_per_s) / milli;
  }
};

/// A server's answer named this limit.
struct limited_to {
  request_rate rate;
};
/// A server's answer named no limit.
struct not_limited {};
/// An answer from which the limit can't be told: it named an unreadable one, or it does not come
/// from the server that was addressed.
struct limit_unknown {};

/// What an answer says of its server's limit.
using limit_notice = std::variant<limit_unknown, not_limited, limited_to>;

/// The limit of one server incarnation, as gossiped between entry VMs.
struct rate_limit {
  std::string server;
  /// Start time of the incarnation, Unix time in milliseconds.
  std::int64_t start_time_ms = 0;
  /// None if the server no longer names a limit.
  std::optional<request_rate> rate;
  /// When the server said so, on the fleet clock.
  time_point observed_at;
};

}  // namespace hawthornnotch::servers

#endif  // HAWTHORNNOTCH_SERVERS_RATE_LIMIT_H_
