/// \file
/// Which orders the engines of a failure domain need.
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

/// Load this model on this engine.  Adapters and versions are part of a model's name.
struct engine_order {
  std::string backend_server;
  std::string incarnation;
  endpoint address;
  std::string model;
  std::uint64_t fencing = 0;
  bool checks_fencing = false;
};

/// What one engine says of itself, read from it directly.
struct engine_observation {
  std::vector<std::string> models;
  /// Highest fencing number that the engine has seen; 0 for none.
  std::uint64_t fencing = 0;
};

/// How an order ended.
enum class order_outcome : std::uint8_t {
  carried_out,
  /// The engine has seen a higher fencing number: this process no longer holds the lease.
  refused_old_number,
  /// Certain that the engine never got it.
  not_sent,
  /// No answer: it may take effect at any time.
  unknown,
};

struct planner_settings {
  /// Live replicas that each model must have.
  std::map<std::string, std::uint32_t> replicas;
  /// An engine without a report for so long counts as dead.
  duration dead_after{15'000};
  /// An order whose effect is not seen by then is given up.
  duration order_timeout{300'000};
  /// Loads from the weight store: one token each, refilled at this period.
  duration load_period{30'000};
  /// Tokens that may be saved up.
  std::uint32_t load_burst = 2;
  std::size_t models_per_engine = 4;
};

/// Compares what should be with what is seen and gives the orders that are missing; nothing is
/// remembered that an observation could not restore, so a new holder starts from the fleet alone.
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

  /// \param fencing number under which this process holds the lease now.
  /// \returns orders to send now; each takes a token and is outstanding from now on.  Empty until a
  ///          new number has been held long enough to know every engine's reports.
  [[nodiscard]] std::vector<engine_order> plan(std::uint64_t fencing, const fleet_snapshot& fleet);
  /// To be asked with an observation taken just before sending.  \returns false if the order must
  /// not be sent; it is then no longer outstanding.
  [[nodiscard]] bool still_needed(const engine_order& order, const engine_observation& before);
  void complete(const engine_order& order, order_outcome end);
  [[nodiscard]] std::size_t outstanding() const { return outstanding_.size(); }
  /// \returns models with too few live replicas, as of the last plan, with the number missing.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& missing() const { return missing_; }

 private:
  struct sent_order {
    engine_order order;
    time_point since;
  };

  void begin_term(std::uint64_t fencing);
  void refill();
  void settle_outstanding(const fleet_snapshot& fleet);
  [[nodiscard]] bool alive(const backend_server& server, const fleet_snapshot& fleet) const;
  [[nodiscard]] std::uint32_t count_live(const std::string& model,
                                         const fleet_snapshot& fleet) const;
  [[nodiscard]] std::uint32_t count_outstanding(const std::string& model) const;
  [[nodiscard]] const backend_server* choose(const std::string& model,
                                             const fleet_snapshot& fleet) const;

  planner_settings settings_;
  const clock& time_;
  std::uint64_t term_ = 0;
  time_point term_began_;
  std::uint64_t superseded_ = 0;
  std::uint32_t tokens_ = 0;
  time_point refilled_;
  std::map<std::string, sent_order> outstanding_;
  std::map<std::string, std::uint32_t> missing_;
};

}  // namespace hawthornnotch::lease

#endif  // HAWTHORNNOTCH_LEASE_ORDER_PLANNER_H_
