/// \file
/// Plans which models the engines of a failure domain must load.
#ifndef HAWTHORNNOTCH_LEASE_ORDER_PLANNER_H_
#define HAWTHORNNOTCH_LEASE_ORDER_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::lease {

/// Order to load a model on an engine.  Adapters and versions are part of a model's name.
struct engine_order {
  std::string backend_server;
  std::string incarnation;
  endpoint address;
  std::string model;
  std::uint64_t fencing = 0;
  bool checks_fencing = false;
};

/// State of an engine, read directly from it.
struct engine_observation {
  std::vector<std::string> models;
  /// Highest fencing number that the engine has seen; 0 if none.
  std::uint64_t fencing = 0;
};

/// Outcome of an order.
enum class order_outcome : std::uint8_t {
  carried_out,
  /// The engine has seen a higher fencing number: this process no longer holds the lease.
  refused_old_number,
  /// The engine certainly never received the order.
  not_sent,
  /// No answer was received; the order may still take effect.
  unknown,
};

struct planner_settings {
  /// Required number of live replicas per model.
  std::map<std::string, std::uint32_t> replicas;
  /// Age of its last report at which an engine counts as dead.
  duration dead_after{15'000};
  /// Time after which an order without a visible effect is no longer outstanding.
  duration order_timeout{300'000};
  /// Token bucket that limits loads from the weight store: one token is added per period.
  duration load_period{30'000};
  /// Capacity of the token bucket.
  std::uint32_t load_burst = 2;
  std::size_t models_per_engine = 4;
};

/// Compares the required replicas with the observed fleet and plans the missing loads.  It keeps no
/// state that can't be rebuilt from observations, so a new lease holder starts from the fleet
/// alone.
///
/// Failures: an order with an unknown outcome stays outstanding until its effect is visible or it
/// times out, and its engine gets no other order meanwhile.  Once an engine has seen a higher
/// fencing number, the planner makes no more orders under the old one.
///
/// Example:
///     for (const auto& order : planner.plan(number, fleet)) {
///       if (planner.still_needed(order, observe(order)) && holder.fencing() == number) {
///         planner.ended(order, send(order));
///       }
///     }
/// Ownership: refers to the clock.  Thread safety: none.
class order_planner {
 public:
  order_planner(planner_settings settings, const clock& time);

  /// \param fencing fencing number under which this process currently holds the lease.
  /// \returns orders to send now; each takes a token and counts as outstanding.  Empty until the
  ///          lease has been held for `dead_after`, so that all live engines have reported.
  [[nodiscard]] std::vector<engine_order> plan(std::uint64_t fencing, const fleet_snapshot& fleet);
  /// Checks an order against an observation taken immediately before sending.
  /// \returns false if the order must not be sent; its outcome is then already recorded.
  [[nodiscard]] bool still_needed(const engine_order& order, const engine_observation& observed);
  /// Reports the outcome of an order.
  void complete(const engine_order& order, order_outcome outcome);
  [[nodiscard]] std::size_t outstanding() const { return outstanding_.size(); }
  /// \returns the number of missing live replicas per model, as of the last plan.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& missing() const { return missing_; }

 private:
  struct sent_order {
    engine_order order;
    time_point planned_at;
  };

  void begin_term(std::uint64_t fencing);
  void refill();
  void remove_finished_orders(const fleet_snapshot& fleet);
  [[nodiscard]] bool is_live(const backend_server& server, const fleet_snapshot& fleet) const;
  [[nodiscard]] std::uint32_t count_live(const std::string& model,
                                         const fleet_snapshot& fleet) const;
  [[nodiscard]] std::uint32_t count_outstanding(const std::string& model) const;
  [[nodiscard]] const backend_server* choose_server(const std::string& model,
                                                    const fleet_snapshot& fleet) const;

  planner_settings settings_;
  const clock& time_;
  std::uint64_t term_ = 0;
  time_point term_started_at_;
  std::uint64_t superseded_fencing_ = 0;
  std::uint32_t tokens_ = 0;
  time_point refilled_at_;
  std::map<std::string, sent_order> outstanding_;
  std::map<std::string, std::uint32_t> missing_;
};

}  // namespace hawthornnotch::lease

#endif  // HAWTHORNNOTCH_LEASE_ORDER_PLANNER_H_
