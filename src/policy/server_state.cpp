#include "hawthornnotch/policy/server_state.h"

#include <algorithm>
#include <cmath>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::policy {

namespace {
// How long one router keeps its turn on a spare slot that several could take.
constexpr std::int64_t spare_turn_ms = 250;
}  // namespace

server_state::server_state(const backend_server& facts, const scheduler_settings& settings,
                           server_speed prior)
    : facts_(facts),
      settings_(settings.window),
      seed_(stable_hash(facts.id)),
      leaving_(facts.leaving),
      speed_(prior),
      load_(settings.window.report_half_life),
      window_(settings.window, facts.slots),
      ejection_(settings.ejection) {}

server_offer server_state::offer(const sharing& shared, std::uint32_t rank, bool honour_cap,
                                 time_point now) const {
  server_offer offer;
  const std::lock_guard lock(mutex_);
  const std::uint32_t cap = ejection_.cap(facts_.slots, now);
  offer.capped = ejection_.kind();
  offer.in_flight = in_flight_;
  offer.peer_in_flight = load_.peer_in_flight(now);
  const server_speed speed = speed_.present();
  offer.first_token_ms = speed.first_token_ms;
  offer.per_token_ms = speed.per_token_ms;
  if (leaving_) {
    return offer;
  }
  for (int index = 0; index < tier_count; ++index) {
    const double allowed = limit(shared, rank, static_cast<tier>(index), now);
    offer.limit.at(index) = honour_cap ? std::min<double>(allowed, cap) : allowed;
    offer.room.at(index) = in_flight_ + 1.0 <= offer.limit.at(index);
  }
  return offer;
}

// The parts of all routers add up to the window, whole requests each.
double server_state::limit(const sharing& shared, std::uint32_t rank, tier service_tier,
                           time_point now) const {
  const double open = window_.size() * settings_.tier_window_fraction.at(service_tier);
  const double each = open / shared.routers;
  const double part = std::floor(each * (rank + 1.0)) - std::floor(each * rank);
  const double least = service_tier <= 1 ? 1.0 : 0.0;
  const double shift = shared.taken.at(service_tier) - shared.given.at(service_tier);
  const double shifted = std::floor(part + shift + (shift == 0 ? 0.0 : draw(shared, now)));
  const double share = std::clamp(shifted, least, std::max(least, open));
  const std::uint32_t contenders = shared.contenders.at(service_tier);
  const double spare = open - in_flight_ - load_.peer_in_flight(now);
  const bool yields = shared.peers_wait_higher.at(service_tier) || contenders >= shared.routers;
  if (yields || spare < 1.0) {
    return share;
  }
  const double lent = spare / contenders;
  const double mine = lent >= 1.0 || lent > draw(shared, now) ? std::max(1.0, lent) : 0.0;
  return std::max(share, in_flight_ + mine);
}

double server_state::draw(const sharing& shared, time_point now) const {
  const auto turn = static_cast<std::uint64_t>(now.ms / spare_turn_ms);
  std::uint64_t mixed = seed_ ^ (shared.router_seed + turn * 0x9E3779B97F4A7C15ULL);
  mixed ^= mixed >> 31U;
  mixed *= 0xBF58476D1CE4E5B9ULL;
  mixed ^= mixed >> 29U;
  return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}

std::uint32_t server_state::in_flight() const {
  const std::lock_guard lock(mutex_);
  return in_flight_;
}

void server_state::begin(time_point now) {
  const std::lock_guard lock(mutex_);
  ++in_flight_;
  load_.on_own(in_flight_, now);
}

void server_state::end(time_point now) {
  const std::lock_guard lock(mutex_);
  --in_flight_;
  load_.on_own(in_flight_, now);
}

void server_state::on_first_token(duration waited, std::optional<duration> target, time_point now) {
  const std::lock_guard lock(mutex_);
  speed_.on_first_token(waited, now);
  if (target) {
    const double allowed = settings_.first_token_fraction * static_cast<double>(target->ms);
    window_.on_first_token(static_cast<double>(waited.ms) <= allowed, now);
  }
}

void server_state::on_tokens(std::uint32_t count, duration span, time_point now) {
  const std::lock_guard lock(mutex_);
  speed_.on_tokens(count, span, now);
  ejection_.on_speed(speed_.slowdown());
}

void server_state::on_success() {
  const std::lock_guard lock(mutex_);
  ejection_.on_success();
}

void server_state::on_failure(time_point now) {
  const std::lock_guard lock(mutex_);
  ejection_.on_failure(now);
}

void server_state::on_busy(time_point now) {
  const std::lock_guard lock(mutex_);
  window_.on_busy(now);
}

void server_state::on_report(const load_report& report) {
  const std::lock_guard lock(mutex_);
  load_.on_report(report.running + report.waiting, report.measured);
}

server_speed server_state::speed() const {
  const std::lock_guard lock(mutex_);
  return speed_.present();
}

server_view server_state::view(time_point now) const {
  server_view view;
  const std::lock_guard lock(mutex_);
  view.id = facts_.id;
  view.incarnation = facts_.incarnation;
  view.in_flight = in_flight_;
  view.peer_in_flight = load_.peer_in_flight(now);
  view.window = window_.size();
  view.first_token_ms = speed_.present().first_token_ms;
  view.per_token_ms = speed_.present().per_token_ms;
  view.ejected = ejection_.cap(facts_.slots, now) != ejection::no_cap;
  view.leaving = leaving_;
  return view;
}

}  // namespace hawthornnotch::policy
