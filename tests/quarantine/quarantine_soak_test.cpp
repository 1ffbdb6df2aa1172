// A seeded soak: crashing parts and requests beside restarts, freezes, cuts and crashes of another
// cause that overlap.  HAWTHORNNOTCH_SOAK_SEEDS sets the number of seeds.
#include <array>
#include <string>

#include "crashing_fleet.h"
#include "soak_seeds.h"
#include "test_case.h"

namespace hawthornnotch::quarantine {
namespace {

// Draws what happens next to the fleet.
class soak_driver {
 public:
  soak_driver(crashing_fleet& fleet, std::size_t vms, std::uint64_t seed)
      : fleet_(fleet), vms_(vms), random_(seed), frozen_(vms, false) {}

  void run(int steps) {
    for (int step = 0; step < steps; ++step) {
      disturb();
      constexpr std::uint64_t max_pause_ms = 1'200;
      fleet_.run_for(duration{static_cast<std::int64_t>(random_.below(max_pause_ms))});
    }
    fleet_.cut_off(0);
    for (std::size_t vm = 0; vm < vms_; ++vm) {
      toggle(vm, false);
    }
    fleet_.run_for(6_s);
  }

 private:
  void toggle(std::size_t vm, bool freeze) {
    if (frozen_[vm] == freeze) {
      return;
    }
    frozen_[vm] = freeze;
    if (freeze) {
      fleet_.freeze(vm);
    } else {
      fleet_.wake(vm);
    }
  }
  void disturb() {
    constexpr std::uint64_t kinds = 6;
    const std::size_t vm = random_.below(vms_);
    switch (random_.below(kinds)) {
      case 0:
        toggle(vm, !frozen_[vm]);
        break;
      case 1:
        frozen_[vm] = false;
        fleet_.restart(vm);
        break;
      case 2:
        fleet_.cut_off(vms_ / 4);
        break;
      case 3:
        fleet_.cut_off(0);
        break;
      case 4:
        fleet_.crash_servers(random_.unit() / 2);
        break;
      default:
        break;
    }
  }

  crashing_fleet& fleet_;
  std::size_t vms_;
  random_source random_;
  std::vector<bool> frozen_;
};

void soak(std::uint64_t seed) {
  constexpr std::array<std::size_t, 5> sizes = {2, 8, 30, 91, 295};
  constexpr std::array<double, 4> rates = {0.5, 2, 8, 40};
  random_source random(seed);
  fleet_options options;
  options.vms = sizes[random.below(sizes.size())];
  options.servers = std::max<std::size_t>(18, 2 * options.vms);
  options.sound_per_s = std::max(20.0, 4.0 * static_cast<double>(options.vms));
  options.deadly_per_s = rates[random.below(rates.size())];
  options.position = random.below(2);
  options.lost_answers = random.unit() / 8;
  options.deadly = random.below(2) == 0 ? suspect_kind::prompt_part : suspect_kind::request;
  options.seed = seed;
  crashing_fleet fleet(options);
  soak_driver(fleet, options.vms, seed).run(30);
  const std::string what = "seed " + std::to_string(seed) + ", " + std::to_string(options.vms) +
                           " VMs, " + std::to_string(options.deadly_per_s) + " a second";
  CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(fleet.arrivals_after_bound()) + " arrivals",
                         fleet.arrivals_after_bound() <= allowed_after);
  constexpr double max_refused = 0.1;
  CPPUNIT_ASSERT_MESSAGE(what + ": refused " + std::to_string(fleet.refused_sound()),
                         fleet.refused_sound() <= max_refused);
}

TEST_THAT(quarantine, is_bounded_in_a_seeded_soak) {
  for (std::uint64_t seed = 1; seed <= test::seeds_to_run(); ++seed) {
    soak(seed);
  }
}

}  // namespace
}  // namespace hawthornnotch::quarantine
