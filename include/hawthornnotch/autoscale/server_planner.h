/// \file
/// Decides which servers to order for one service.
#ifndef HAWTHORNNOTCH_AUTOSCALE_SERVER_PLANNER_H_
#define HAWTHORNNOTCH_AUTOSCALE_SERVER_PLANNER_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/autoscale/allocation.h"
#include "hawthornnotch/autoscale/capacity_model.h"
#include "hawthornnotch/autoscale/order_book.h"

namespace hawthornnotch::autoscale {

/// An order and what it was decided from, for the log.
struct planned_order {
  duties::server_order order;
  /// Servers of that kind there, and those expected after earlier orders.
  std::uint32_t present = 0;
  std::uint32_t expected = 0;
  required_capacity required;
  /// Servers that would remain after the loss of one domain's preemptible ones.
  std::uint32_t after_loss = 0;
  std::string_view reason;
};

/// Orders servers so that the demand is served first and the price is low second.
///
/// The target is `allocate` of the required capacity.  Orders for more are made at once.  Orders
/// for fewer are made only after the state has been known for 10 s and there have been too many for
/// as long, by at most a tenth of all servers each 2 s, on-demand servers first, and only as far as
/// the servers that already serve provide the target: so an on-demand server leaves after the
/// preemptible ones that replace it have booted.  In the first minute the target is at least the
/// number of servers found at the start; cheaper servers may replace them, which leaves the
/// capacity and so needs a shorter time.
///
/// `observe` is called each 500 ms on every VM, so that whichever VM takes over the duties knows
/// the demand of the last minute.  `plan` is called by the holder of the duties only; when it has
/// not been called for a while, the planner takes it that other VMs have made orders since.
///
/// Example:
///     planner.observe(settings, domains, demand, now);
///     for (const planned_order& each : planner.plan(now)) { send(each.order); }
/// Ownership: a value.  Thread safety: none.
class server_planner {
 public:
  explicit server_planner(std::string service) : service_(std::move(service)) {}

  /// \param domains none while the server list is too old to act on.
  void observe(const scale_settings& settings, std::vector<domain_state> domains,
               const service_demand& demand, time_point now);
  /// \returns the orders to send now; each counts as sent.
  [[nodiscard]] std::vector<planned_order> plan(time_point now);
  void on_outcome(const duties::server_order& order, duties::call_outcome outcome, time_point now);

  [[nodiscard]] const required_capacity& required() const { return model_.required(); }
  [[nodiscard]] std::span<const domain_state> domains() const { return domains_; }
  /// \returns the servers aimed at by the last `plan`, in the order of `domains`; empty if this VM
  /// does not hold the duties.
  [[nodiscard]] std::span<const server_counts> targets() const { return targets_; }

 private:
  /// \returns whether the demand has not been observed for long enough to remove capacity.
  [[nodiscard]] bool is_learning(time_point now) const;
  /// \returns the required capacity, at first at least the one that was found at the start.
  [[nodiscard]] required_capacity required_at(time_point now) const;
  void update_holding(time_point now);
  void update_targets(time_point now);
  /// \returns whether fewer servers may be ordered now.
  [[nodiscard]] bool may_remove(time_point now);
  void add_servers(time_point now, std::vector<planned_order>& out);
  /// Orders what is missing of one kind in the domain at `index`.
  /// \param urgent whether there are too few servers for the present demand.
  void add_to(std::size_t index, bool preemptible, bool urgent, time_point now,
              std::vector<planned_order>& out);
  void remove_servers(time_point now, std::vector<planned_order>& out);
  /// Removes servers of one kind from the domain at `index`, within the budget.
  void remove_from(std::size_t index, bool preemptible, std::uint32_t& budget, time_point now,
                   std::vector<planned_order>& out);
  void order(std::size_t index, bool preemptible, std::uint32_t desired, std::string_view reason,
             time_point now, std::vector<planned_order>& out);
  [[nodiscard]] server_pool pool_of(std::size_t index, bool preemptible) const;
  [[nodiscard]] std::uint32_t expected(std::size_t index, bool preemptible, time_point now) const;
  /// \returns servers that serve and are not about to be removed, by domain that is in reach.
  [[nodiscard]] std::vector<server_counts> serving(time_point now) const;
  [[nodiscard]] std::uint32_t total_expected(time_point now) const;
  [[nodiscard]] std::uint32_t total_serving() const;
  [[nodiscard]] std::vector<std::size_t> most_expensive_first() const;

  std::string service_;
  scale_settings settings_;
  std::vector<domain_state> domains_;
  std::vector<server_counts> targets_;
  capacity_model model_;
  order_book orders_;
  std::optional<time_point> started_at_;
  /// Greatest capacity, after the loss of a domain's preemptible servers, in the first
  /// observations.
  std::uint32_t initial_capacity_ = 0;
  /// Since when the list has been fresh and every failure domain in reach.
  std::optional<time_point> known_since_;
  /// Since when there have been more servers than needed.
  std::optional<time_point> surplus_since_;
  /// Since when this VM has held the duties, and when `plan` was last called.
  std::optional<time_point> holding_since_;
  time_point planned_at_;
  time_point removed_at_;
};

}  // namespace hawthornnotch::autoscale

#endif  // HAWTHORNNOTCH_AUTOSCALE_SERVER_PLANNER_H_
