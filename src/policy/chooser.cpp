#include "hawthornnotch/policy/chooser.h"

#include <algorithm>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::policy {

namespace {

// Added for each target that is expected to be missed, so that any server that meets all goes
// first.
constexpr double missed_target_ms = 1e6;
constexpr double avoided_ms = 1e9;

// Waiting for a slot at the server, beyond what its learned first-token time holds already.
double crowding_ms(const server_offer& offer, std::uint32_t slots, double planned_tokens) {
  const double total = offer.in_flight + offer.peer_in_flight;
  const double excess = std::max(0.0, total + 1.0 - slots);
  return excess * planned_tokens * offer.per_token_ms / slots;
}

double missed_ms(const latency_target& target, double first_token_ms, double per_token_ms) {
  double missed = 0;
  if (target.first_token && first_token_ms > static_cast<double>(target.first_token->ms)) {
    missed += missed_target_ms;
  }
  if (target.between_tokens && per_token_ms > static_cast<double>(target.between_tokens->ms)) {
    missed += missed_target_ms;
  }
  return missed;
}

}  // namespace

choice tiered_chooser::pick(candidate_set& candidates, const choice_query& query,
                            random_source& random) {
  scored best;
  choice chosen;
  const auto holder = prefixes_.holder(query.prefix_hash);
  const auto held = holder ? candidates.index_of(holder.get()) : std::nullopt;
  if (held) {
    weigh(candidates, *held, query, best);
  }
  const auto enough = [&] {
    return chosen.drawn >= settings_.candidates && best.found && best.meets_target;
  };
  while (chosen.drawn < settings_.most_candidates && !enough()) {
    const auto open = candidates.open(query.room_of);
    if (open.empty()) {
      break;
    }
    ++chosen.drawn;
    weigh(candidates, open[random.below(open.size())], query, best);
  }
  if (best.found) {
    chosen.server = candidates.at(best.index);
    chosen.first_token_ms = best.first_token_ms;
  }
  return chosen;
}

void tiered_chooser::weigh(candidate_set& candidates, std::uint32_t index,
                           const choice_query& query, scored& best) const {
  const server_offer offer = candidates.refresh(index, query.now);
  if (!offer.room.at(query.room_of)) {
    return;
  }
  const std::shared_ptr<server_state>& server = candidates.at(index);
  const bool holds_prefix = query.prefix_hash != 0 && prefixes_.holder(query.prefix_hash) == server;
  const double prompt_ms =
      offer.first_token_ms * (holds_prefix ? 1.0 - settings_.prefix_bonus : 1.0);
  const double first_token_ms =
      prompt_ms + crowding_ms(offer, server->facts().slots, query.planned_tokens);
  const double missed = missed_ms(query.target, first_token_ms, offer.per_token_ms);
  const double avoided = server.get() == query.avoid ? avoided_ms : 0.0;
  const double score =
      first_token_ms + query.planned_tokens * offer.per_token_ms + missed + avoided;
  if (!best.found || score < best.score) {
    best = {index, score, first_token_ms, true, missed + avoided == 0.0};
  }
}

choice round_robin_chooser::pick(candidate_set& candidates, const choice_query& query) {
  choice chosen;
  for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
    next_ = (next_ + 1) % static_cast<std::uint32_t>(candidates.size());
    const std::shared_ptr<server_state>& server = candidates.at(next_);
    ++chosen.drawn;
    if (server->leaving()) {
      continue;
    }
    chosen.server = server;
    if (server.get() != query.avoid) {
      break;
    }
  }
  return chosen;
}

choice least_outstanding_chooser::pick(candidate_set& candidates, const choice_query& query) {
  choice chosen;
  std::uint32_t fewest = UINT32_MAX;
  for (std::uint32_t index = 0; index < candidates.size(); ++index) {
    const std::shared_ptr<server_state>& server = candidates.at(index);
    const std::uint32_t outstanding = server->in_flight();
    const bool avoided = server.get() == query.avoid && candidates.size() > 1;
    ++chosen.drawn;
    if (!server->leaving() && !avoided && outstanding < fewest) {
      fewest = outstanding;
      chosen.server = server;
    }
  }
  return chosen;
}

chooser::chooser(const scheduler_settings& settings) : behaviour_(make(settings)) {}

chooser::behaviour chooser::make(const scheduler_settings& settings) {
  return std::visit(
      overloaded{
          [&](const tiered&) -> behaviour { return tiered_chooser(settings.choice); },
          [](const round_robin&) -> behaviour { return round_robin_chooser(); },
          [](const least_outstanding&) -> behaviour { return least_outstanding_chooser(); },
      },
      settings.policy);
}

choice chooser::pick(candidate_set& candidates, const choice_query& query, random_source& random) {
  return std::visit(
      overloaded{
          [&](tiered_chooser& each) { return each.pick(candidates, query, random); },
          [&](round_robin_chooser& each) { return each.pick(candidates, query); },
          [&](least_outstanding_chooser& each) { return each.pick(candidates, query); },
      },
      behaviour_);
}

void chooser::ran(std::uint64_t prefix, const std::shared_ptr<server_state>& server) {
  std::visit(overloaded{
                 [&](tiered_chooser& each) { each.ran(prefix, server); },
                 [](round_robin_chooser&) {},
                 [](least_outstanding_chooser&) {},
             },
             behaviour_);
}

}  // namespace hawthornnotch::policy
