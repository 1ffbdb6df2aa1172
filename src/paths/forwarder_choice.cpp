#include "hawthornnotch/paths/forwarder_choice.h"

#include <algorithm>

namespace hawthornnotch::paths {

namespace {

/// How long a VM is passed over that sends nothing to a service.
constexpr duration refusal_lifetime{1'000};

}  // namespace

bool forwarder_choice::refused_lately(std::string_view service, const endpoint& vm,
                                      time_point now) const {
  const auto found = refused_at_.find({std::string(service), vm});
  return found != refused_at_.end() && now - found->second < refusal_lifetime;
}

std::optional<endpoint> forwarder_choice::next(std::string_view service,
                                               std::span<const endpoint> alive,
                                               std::span<const endpoint> asked,
                                               random_source& random, time_point now) const {
  std::vector<endpoint> left;
  for (const endpoint& vm : alive) {
    const bool was_asked = std::find(asked.begin(), asked.end(), vm) != asked.end();
    if (!was_asked && !refused_lately(service, vm, now)) {
      left.push_back(vm);
    }
  }
  return left.empty() ? std::nullopt : std::optional(left[random.below(left.size())]);
}

bool forwarder_choice::has_any(std::string_view service, std::span<const endpoint> alive,
                               time_point now) const {
  return std::any_of(alive.begin(), alive.end(),
                     [&](const endpoint& vm) { return !refused_lately(service, vm, now); });
}

void forwarder_choice::record_refusal(std::string_view service, const endpoint& vm,
                                      time_point now) {
  std::erase_if(refused_at_,
                [&](const auto& each) { return now - each.second >= refusal_lifetime; });
  refused_at_[{std::string(service), vm}] = now;
}

}  // namespace hawthornnotch::paths
