#include "hawthornnotch/load/profile.h"

namespace hawthornnotch::load {

namespace {

using namespace literals;

constexpr double one_third = 1.0 / 3;

request_kind chat(std::string class_name, tier service_tier, latency_target target,
                  std::uint32_t median_tokens, std::uint32_t longest_tokens) {
  request_kind kind;
  kind.class_name = std::move(class_name);
  kind.service_tier = service_tier;
  kind.target = target;
  kind.median_tokens = median_tokens;
  kind.longest_tokens = longest_tokens;
  return kind;
}

request_kind service(std::string class_name, tier service_tier, duration completion,
                     std::string method, std::string target_path) {
  request_kind kind;
  kind.class_name = std::move(class_name);
  kind.call = call_kind::service;
  kind.service_tier = service_tier;
  kind.target.completion = completion;
  kind.method = std::move(method);
  kind.target_path = std::move(target_path);
  return kind;
}

request_kind with_rate(request_kind kind, double share, double burst_factor) {
  kind.share = share;
  kind.burst_factor = burst_factor;
  return kind;
}

request_kind at_most_once(request_kind kind, double repeat_share) {
  kind.idempotent = false;
  kind.repeat_share = repeat_share;
  return kind;
}

request_kind whole(request_kind kind) {
  kind.call = call_kind::chat_whole;
  return kind;
}

request_kind with_shared_prompt(request_kind kind, std::uint32_t bytes) {
  kind.shared_prompt_bytes = bytes;
  return kind;
}

profile in_workspace(profile mix, const std::string& workspace) {
  for (request_kind& kind : mix.kinds) {
    kind.workspace = workspace;
  }
  return mix;
}

}  // namespace

profile poledica() {
  profile mix;
  mix.name = "poledica";
  mix.burst_begin = one_third;
  mix.burst_end = 2 * one_third;
  mix.kinds = {
      with_rate(chat("bulletin", 0, {1300_ms, 36_ms, {}}, 90, 240), 0.08, 4),
      with_rate(chat("duty-answer", 1, {1300_ms, 50_ms, {}}, 24, 96), 0.27, 2),
      with_rate(at_most_once(service("gritting-order", 0, 2_s, "POST", "/services/gritting/orders"),
                             0.25),
                0.10, 3),
      with_rate(service("station-reading", 1, 1_s, "GET", "/services/stations/readings"), 0.25, 1),
      with_rate(whole(chat("station-summary", 3, {{}, {}, 60_s}, 170, 500)), 0.30, 1),
  };
  return in_workspace(std::move(mix), "poledica-dispatch");
}

profile roundabout() {
  constexpr std::uint32_t contract_template_bytes = 6'000;
  profile mix;
  mix.name = "roundabout";
  mix.burst_begin = one_third;
  mix.burst_end = 2 * one_third;
  mix.kinds = {
      with_rate(service("lookup", 0, 1_s, "GET", "/services/registry/holders"), 0.30, 5),
      with_rate(
          at_most_once(service("booking", 0, 2_s, "POST", "/services/registry/bookings"), 0.25),
          0.10, 5),
      with_rate(chat("clerk-answer", 1, {1300_ms, 50_ms, {}}, 24, 96), 0.25, 4),
      with_rate(with_shared_prompt(chat("contract", 2, {5_s, 80_ms, {}}, 320, 900),
                                   contract_template_bytes),
                0.15, 1),
      with_rate(whole(chat("renewal-summary", 2, {{}, {}, 60_s}, 120, 400)), 0.10, 1),
      with_rate(chat("pitch-letter", 3, {20_s, {}, {}}, 80, 240), 0.10, 1),
  };
  return in_workspace(std::move(mix), "roundabout-counter");
}

std::optional<profile> profile_named(std::string_view name) {
  for (profile& mix : std::vector<profile>{poledica(), roundabout()}) {
    if (mix.name == name) {
      return mix;
    }
  }
  return std::nullopt;
}

}  // namespace hawthornnotch::load
