// Performs the duties that one entry VM at a time performs for the fleet.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_DUTY_RUNNER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_DUTY_RUNNER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "gateway_state.h"
#include "hawthornnotch/duties/control_call.h"
#include "hawthornnotch/duties/duty_holder.h"
#include "hawthornnotch/duties/usage_source.h"
#include "hawthornnotch/gateway/control_plane.h"
#include "hawthornnotch/platform/client.h"
#include "ticker.h"
#include "usage_log.h"

namespace hawthornnotch::gateway::internal {

// Where the orders of servers come from.
struct order_source {
  // Called about each 100 ms while this VM holds the duties and has sent all earlier orders.
  std::function<std::vector<duties::server_order>(time_point now)> next;
  // Called once for each order.  One that was not sent ends as `failed`.
  std::function<void(const duties::server_order& order, duties::call_outcome outcome,
                     time_point now)>
      ended;
};

// Steps the holder of the duties and, while this VM holds them, makes the calls that are due: one
// at a time, within the platform's rate, usage reports first.
//
// A call whose term ends is aborted.  The term is checked right before the first byte of a call is
// sent.  After `rate_limited`, all calls pause for a moment; whether a call is repeated is decided
// by its source.  At a planned stop no call is started, and the lease is revoked once the call in
// progress has ended.
//
// Ownership: refers to the state, the store and the control plane, which outlive it.  Thread
// safety: none.
class duty_runner {
 public:
  // \pre `shared.settings.duties` is set.
  duty_runner(gateway_state& shared, platform::key_value_store& store, control_plane& control,
              const boost::asio::any_io_executor& executor);
  // Sets where the work comes from; call before `start`.
  void set_usage(duties::usage_source& source);
  void set_orders(order_source source);
  void start() { ticker_.start(); }
  // Ends a call whose term has ended, without waiting for the next tick.
  void on_store_restored() { abort_outdated_call(); }
  void update_gauges();

 private:
  using control_call = std::variant<duties::usage_report, duties::server_order>;
  struct call_state {
    std::uint64_t fencing = 0;
    std::shared_ptr<net::cancellation_token> cancellation;
  };

  void tick();
  void log_change(const duties::term_change& change);
  void abort_outdated_call();
  // Makes the calls that are due, one after the other.
  boost::asio::awaitable<void> make_calls();
  boost::asio::awaitable<void> make_call(control_call call, std::uint64_t fencing);
  // \returns the next call to make in this term; none if there is none at the moment.
  std::optional<control_call> next_call(const duties::duty_term& term, time_point now);
  std::optional<control_call> next_order(time_point now);
  void end_call(const control_call& call, duties::call_outcome outcome, std::uint64_t fencing,
                time_point started_at);
  void drop_orders(time_point now);
  [[nodiscard]] bool may_act(std::uint64_t fencing) const;

  gateway_state& shared_;
  platform::key_value_store& store_;
  control_plane& control_;
  boost::asio::any_io_executor executor_;
  duties::duty_holder holder_;
  duration call_interval_;
  std::optional<usage_log> usage_;
  order_source orders_;
  std::deque<duties::server_order> waiting_orders_;
  bool making_calls_ = false;
  std::optional<call_state> call_;
  time_point next_call_at_;
  ticker ticker_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_DUTY_RUNNER_H_
