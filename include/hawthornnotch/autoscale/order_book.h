/// \file
/// Orders of one service that were sent, and when each may be followed by another.
#ifndef HAWTHORNNOTCH_AUTOSCALE_ORDER_BOOK_H_
#define HAWTHORNNOTCH_AUTOSCALE_ORDER_BOOK_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/duties/control_call.h"

namespace hawthornnotch::autoscale {

/// One kind of servers in one failure domain; orders for each are independent.
struct server_pool {
  std::string failure_domain;
  bool preemptible = false;
  auto operator<=>(const server_pool&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Remembers the last order of each pool until the server list must show it.
///
/// Ownership: a value.  Thread safety: none.
class order_book {
 public:
  /// \param boot_time time from an order until the list shows the new servers.
  void set_boot_time(duration boot_time) { boot_time_ = boot_time; }
  /// \returns whether an order for the pool may be sent now.
  [[nodiscard]] bool may_order(const server_pool& pool, time_point now) const;
  /// \returns whether the platform has lately said that none are to be had in the pool.
  [[nodiscard]] bool unavailable(const server_pool& pool, time_point now) const;
  /// \returns the servers that the pool will have once the orders that may still take effect have
  /// done so.
  [[nodiscard]] std::uint32_t expected(const server_pool& pool, std::uint32_t present,
                                       time_point now) const;
  void record_order(const server_pool& pool, std::uint32_t desired, time_point now);
  void record_outcome(const server_pool& pool, std::uint32_t desired, duties::call_outcome outcome,
                      time_point now);

 private:
  struct pool_state {
    /// None if the last order took no effect.
    std::optional<std::uint32_t> desired;
    time_point ordered_at;
    time_point next_order_at;
    time_point unavailable_until;
  };

  duration boot_time_{0};
  std::map<server_pool, pool_state> pools_;
};

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_ORDER_BOOK_H_
