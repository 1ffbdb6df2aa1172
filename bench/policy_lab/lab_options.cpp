#include "lab_options.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace hawthornnotch::lab {

namespace {

using setter = std::function<void(lab_options&, double)>;

const std::map<std::string, setter>& setters() {
  static const std::map<std::string, setter> all = {
      {"seeds", [](lab_options& to, double value) { to.seeds = static_cast<int>(value); }},
      {"brief", [](lab_options& to, double value) { to.brief = value != 0; }},
      {"tiers_only", [](lab_options& to, double value) { to.tiers_only = value != 0; }},
      {"skewed", [](lab_options& to, double value) { to.skewed = value != 0; }},
      {"faults.slow", [](lab_options& to, double value) { to.faults.slow = value != 0; }},
      {"faults.crash", [](lab_options& to, double value) { to.faults.crash = value != 0; }},
      {"faults.lag", [](lab_options& to, double value) { to.faults.lag = value != 0; }},
      {"load", [](lab_options& to, double value) { to.load = value; }},
      {"routers", [](lab_options& to, double value) { to.routers = static_cast<int>(value); }},
      {"window.most",
       [](lab_options& to, double value) { to.settings.window.max_fraction = value; }},
      {"window.least",
       [](lab_options& to, double value) { to.settings.window.min_fraction = value; }},
      {"window.first_token_part",
       [](lab_options& to, double value) { to.settings.window.first_token_fraction = value; }},
      {"window.open",
       [](lab_options& to, double value) {
         to.settings.window.tier_window_fraction = {1.0, 1.0, value, value};
       }},
      {"window.shift_gain",
       [](lab_options& to, double value) { to.settings.window.shift_gain = value; }},
      {"window.shift_half_life",
       [](lab_options& to, double value) {
         to.settings.window.shift_half_life = {static_cast<std::int64_t>(value)};
       }},
      {"window.shift_threshold",
       [](lab_options& to, double value) { to.settings.window.shift_threshold = value; }},
      {"window.open1",
       [](lab_options& to, double value) { to.settings.window.tier_window_fraction[1] = value; }},
      {"preemption.slack",
       [](lab_options& to, double value) {
         to.settings.preemption.slack = {static_cast<std::int64_t>(value)};
       }},
      {"preemption.first_token_slack",
       [](lab_options& to, double value) {
         to.settings.preemption.first_token_slack = {static_cast<std::int64_t>(value)};
       }},
      {"preemption.most_pending",
       [](lab_options& to, double value) {
         to.settings.preemption.max_pending = static_cast<std::uint32_t>(value);
       }},
      {"choice.candidates",
       [](lab_options& to, double value) {
         to.settings.choice.candidates = static_cast<std::uint32_t>(value);
       }},
      {"choice.prefix_bonus",
       [](lab_options& to, double value) { to.settings.choice.prefix_bonus = value; }},
      {"queue.late_turn",
       [](lab_options& to, double value) {
         to.settings.queue.late_dispatch_interval = static_cast<std::uint32_t>(value);
       }},
      {"ejection.slow_factor",
       [](lab_options& to, double value) { to.settings.ejection.slow_factor = value; }},
      {"length.quantile",
       [](lab_options& to, double value) { to.settings.length.quantile = value; }},
  };
  return all;
}

}  // namespace

std::optional<lab_options> read_options(std::span<char*> words) {
  lab_options options;
  for (const std::string word : words) {
    const std::size_t equals = word.find('=');
    const auto found = setters().find(word.substr(0, equals));
    if (equals == std::string::npos || found == setters().end()) {
      return std::nullopt;
    }
    found->second(options, std::strtod(word.c_str() + equals + 1, nullptr));
  }
  return options;
}

}  // namespace hawthornnotch::lab
