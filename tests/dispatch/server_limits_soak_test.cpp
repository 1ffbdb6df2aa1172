// Restarts, freezes, cuts, bursts and changes of a limit in random series that overlap.
// HAWTHORNNOTCH_SOAK_SEEDS sets the number of seeds.
#include <array>

#include "limited_fleet.h"
#include "soak_seeds.h"
#include "test_case.h"

namespace hawthornnotch::dispatch {
namespace {

// Does one random thing to the fleet.
class soak_driver {
 public:
  soak_driver(limited_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  void act() {
    constexpr std::uint64_t actions = 7;
    const std::size_t vm = random_.below(fleet_.size());
    switch (random_.below(actions)) {
      case 0:
        fleet_.restart(vm);
        break;
      case 1:
        restart_series();
        break;
      case 2:
        freeze_or_wake();
        break;
      case 3:
        fleet_.cut_off(random_.below(fleet_.size()));
        break;
      case 4:
        fleet_.cut_off(0);
        break;
      case 5:
        fleet_.set_demand(demands.at(random_.below(demands.size())));
        break;
      default:
        toggle_limit();
        break;
    }
  }

 private:
  static constexpr std::array<double, 4> demands = {0, 1, 10, 50};

  void restart_series() {
    const std::size_t first = random_.below(fleet_.size());
    const std::size_t count = 1 + random_.below(fleet_.size() / 2 + 1);
    for (std::size_t index = 0; index < count; ++index) {
      fleet_.restart((first + index) % fleet_.size());
    }
  }
  void freeze_or_wake() {
    if (frozen_) {
      fleet_.wake(*frozen_);
      frozen_.reset();
    } else {
      frozen_ = random_.below(fleet_.size());
      fleet_.freeze(*frozen_);
    }
  }
  void toggle_limit() {
    if (named_) {
      fleet_.set_rate(std::nullopt);
    } else {
      fleet_.name_limit();
    }
    named_ = !named_;
  }

  limited_fleet& fleet_;
  random_source random_;
  std::optional<std::size_t> frozen_;
  bool named_ = true;
};

void soak(std::uint64_t seed) {
  constexpr std::array<std::size_t, 5> fleet_sizes = {3, 8, 30, 91, 295};
  constexpr std::array<std::int64_t, 4> rates_milli = {500, 1'000, 4'000, 20'000};
  constexpr int actions = 60;
  constexpr std::uint64_t longest_pause_ms = 3'000;
  random_source random(seed);
  const std::size_t vms = fleet_sizes.at(random.below(fleet_sizes.size()));
  const request_rate rate{rates_milli.at(random.below(rates_milli.size()))};
  limited_fleet fleet(vms, rate, seed);
  fleet.set_demand(10);
  fleet.name_limit();
  soak_driver driver(fleet, seed);
  for (int action = 0; action < actions; ++action) {
    driver.act();
    fleet.run_for({static_cast<std::int64_t>(random.below(longest_pause_ms))});
  }
  const std::size_t worst = fleet.worst_window({});
  CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", " + std::to_string(vms) + " VMs at " +
                             std::to_string(rate.per_second()) + "/s: " + std::to_string(worst) +
                             " requests, allowed " + std::to_string(allowed(rate)),
                         worst <= allowed(rate));
}

TEST_THAT(server_limit, holds_in_a_seeded_soak) {
  for (std::uint64_t seed = 1; seed <= test::seeds_to_run(); ++seed) {
    soak(seed);
  }
}

}  // namespace
}  // namespace hawthornnotch::dispatch
