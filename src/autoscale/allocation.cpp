#include "hawthornnotch/autoscale/allocation.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace hawthornnotch::autoscale {

namespace {

using count_list = std::vector<server_counts>;

std::uint32_t ceil_divide(std::uint32_t value, std::size_t by) {
  return static_cast<std::uint32_t>((value + by - 1) / by);
}

// Builds allocations of one service.
class allocator {
 public:
  allocator(const scale_settings& settings, std::span<const domain_offer> offers)
      : settings_(settings), offers_(offers), by_price_(offers.size()) {
    std::iota(by_price_.begin(), by_price_.end(), std::size_t{0});
    std::stable_sort(by_price_.begin(), by_price_.end(), [&](std::size_t a, std::size_t b) {
      return offers[a].price < offers[b].price;
    });
  }

  [[nodiscard]] count_list cheapest(const capacity_goal& goal) const {
    count_list best;
    auto best_score = std::tuple(0U, 0.0);
    const std::uint32_t most = std::max({goal.base, goal.target, goal.quality});
    for (std::uint32_t on_demand = goal.base; on_demand <= most; ++on_demand) {
      // A set of one domain provides no capacity after its loss.
      for (std::size_t domains = 1; domains <= offers_.size(); ++domains) {
        count_list tried = try_counts(on_demand, domains, goal);
        const auto score = std::tuple(shortage(tried, goal), cost_of(settings_, offers_, tried));
        if (best.empty() || score < best_score) {
          best = std::move(tried);
          best_score = score;
        }
      }
    }
    return best;
  }

  [[nodiscard]] count_list with_missing_kinds(const capacity_goal& goal) const {
    count_list counts(offers_.size());
    for (std::size_t index = 0; index < offers_.size(); ++index) {
      counts[index].preemptible =
          offers_[index].preemptible_available ? 0 : offers_[index].present.preemptible;
    }
    add_on_demand(counts, goal.base);
    add_preemptible(counts, goal.target);
    const std::uint32_t total = total_of(counts);
    add_on_demand(counts, goal.least - std::min(total, goal.least));
    fill_to_min(counts);
    return counts;
  }

 private:
  static std::uint32_t shortage(const count_list& counts, const capacity_goal& goal) {
    const std::uint32_t after_loss = capacity_after_loss(counts);
    const std::uint32_t total = total_of(counts);
    return std::max(goal.target - std::min(after_loss, goal.target),
                    goal.quality - std::min(total, goal.quality));
  }

  [[nodiscard]] std::uint32_t room(const server_counts& counts) const {
    return settings_.max - std::min(counts.total(), settings_.max);
  }

  [[nodiscard]] std::uint32_t on_demand_room(std::size_t index, const server_counts& counts) const {
    const domain_offer& offer = offers_[index];
    const std::uint32_t most = offer.on_demand_available ? settings_.max : offer.present.on_demand;
    return std::min(room(counts), most - std::min(most, counts.on_demand));
  }

  // At most half of them in one domain, so that the loss of a domain leaves the others.
  void add_on_demand(count_list& counts, std::uint32_t wanted) const {
    const std::uint32_t most = offers_.size() > 1 ? ceil_divide(wanted, 2) : wanted;
    for (const std::uint32_t limit : {most, wanted}) {
      for (const std::size_t index : by_price_) {
        const std::uint32_t added = std::min({limit, wanted, on_demand_room(index, counts[index])});
        counts[index].on_demand += added;
        wanted -= added;
      }
    }
  }

  // Spreads preemptible servers evenly, until there are `total` servers of both kinds.
  void add_preemptible(count_list& counts, std::uint32_t total) const {
    std::size_t domains_left = available_domains();
    for (const std::size_t index : by_price_) {
      const std::uint32_t present = total_of(counts);
      if (offers_[index].preemptible_available && present < total) {
        counts[index].preemptible +=
            std::min(ceil_divide(total - present, domains_left--), room(counts[index]));
      }
    }
  }

  [[nodiscard]] std::size_t available_domains() const {
    return static_cast<std::size_t>(
        std::count_if(offers_.begin(), offers_.end(),
                      [](const domain_offer& each) { return each.preemptible_available; }));
  }

  [[nodiscard]] count_list try_counts(std::uint32_t on_demand, std::size_t domains,
                                      const capacity_goal& goal) const {
    count_list counts(offers_.size());
    add_on_demand(counts, on_demand);
    const std::uint32_t present = total_of(counts);
    const std::uint32_t for_target = goal.target - std::min(present, goal.target);
    const std::uint32_t for_quality = goal.quality - std::min(present, goal.quality);
    for (std::size_t rank = 0; rank < domains && domains > 1; ++rank) {
      server_counts& in_domain = counts[by_price_[rank]];
      const std::uint32_t wanted =
          std::max(ceil_divide(for_target, domains - 1), ceil_divide(for_quality, domains));
      in_domain.preemptible = std::min(wanted, room(in_domain));
    }
    fill_to_min(counts);
    return counts;
  }

  void fill_to_min(count_list& counts) const {
    for (std::size_t index = 0; index < counts.size(); ++index) {
      server_counts& in_domain = counts[index];
      const std::uint32_t missing = settings_.min - std::min(in_domain.total(), settings_.min);
      const bool cheaper =
          settings_.preemptible_price < 1.0 && offers_[index].preemptible_available;
      (cheaper ? in_domain.preemptible : in_domain.on_demand) += missing;
    }
  }

  const scale_settings& settings_;
  std::span<const domain_offer> offers_;
  /// Indices of the offers, the cheapest first.
  std::vector<std::size_t> by_price_;
};

}  // namespace

double cost_of(const scale_settings& settings, std::span<const domain_offer> offers,
               std::span<const server_counts> counts) {
  double cost = 0;
  for (std::size_t index = 0; index < counts.size(); ++index) {
    const server_counts& each = counts[index];
    cost += offers[index].price * (each.on_demand + each.preemptible * settings.preemptible_price);
  }
  return cost;
}

std::uint32_t total_of(std::span<const server_counts> counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0U,
      [](std::uint32_t sum, const server_counts& each) { return sum + each.total(); });
}

std::uint32_t capacity_after_loss(std::span<const server_counts> counts) {
  std::uint32_t largest = 0;
  for (const server_counts& each : counts) {
    largest = std::max(largest, each.preemptible);
  }
  return total_of(counts) - largest;
}

std::vector<server_counts> allocate(const scale_settings& settings,
                                    std::span<const domain_offer> offers,
                                    const capacity_goal& goal) {
  if (offers.empty()) {
    return {};
  }
  const bool all_available =
      std::all_of(offers.begin(), offers.end(),
                  [](const domain_offer& each) { return each.preemptible_available; });
  const allocator build(settings, offers);
  return all_available ? build.cheapest(goal) : build.with_missing_kinds(goal);
}

}  // namespace hawthornnotch::autoscale
