#include "hawthornnotch/autoscale/order_book.h"

namespace hawthornnotch::autoscale {

namespace {

using duties::call_outcome;

/// Minimum time between two orders for one pool.
constexpr duration order_interval{1'000};
/// Time without orders for a pool of which the platform has none.
constexpr duration unavailable_pause{5'000};
/// Time without orders for a pool whose order the platform refuses: a repeat would be refused too.
constexpr duration rejected_pause{30'000};
/// Time until the list shows that servers leave: a call, a reading of the list and its gossip.
constexpr duration removal_time{4'000};
/// The list shows an order at the latest after this multiple of the boot time, and not before
/// `removal_time`.
constexpr std::int64_t boot_time_factor = 2;

}  // namespace

bool order_book::may_order(const server_pool& pool, time_point now) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() || now >= found->second.next_order_at;
}

bool order_book::unavailable(const server_pool& pool, time_point now) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() && now < found->second.unavailable_until;
}

std::uint32_t order_book::expected(const server_pool& pool, std::uint32_t present,
                                   time_point now) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || !found->second.desired) {
    return present;
  }
  const pool_state& state = found->second;
  const bool adds = *state.desired > present;
  const duration in_effect_after =
      adds ? boot_time_ * boot_time_factor + order_interval : removal_time;
  return now - state.ordered_at < in_effect_after ? *state.desired : present;
}

void order_book::record_order(const server_pool& pool, std::uint32_t desired, time_point now) {
  pool_state& state = pools_[pool];
  state.desired = desired;
  state.ordered_at = now;
  state.next_order_at = now + order_interval;
}

void order_book::record_outcome(const server_pool& pool, std::uint32_t desired,
                                call_outcome outcome, time_point now) {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || found->second.desired != desired) {
    return;
  }
  pool_state& state = found->second;
  if (outcome != call_outcome::accepted) {
    // An order that failed may have taken effect; it names a total, so a repeat adds nothing.
    state.desired.reset();
    state.next_order_at = now + order_interval;
  }
  if (outcome == call_outcome::unavailable) {
    state.unavailable_until = now + unavailable_pause;
    state.next_order_at = state.unavailable_until;
  } else if (outcome == call_outcome::rejected) {
    state.next_order_at = now + rejected_pause;
  }
}

}  // namespace hawthornnotch::autoscale
