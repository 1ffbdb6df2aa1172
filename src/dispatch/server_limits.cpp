#include "hawthornnotch/dispatch/server_limits.h"

#include <algorithm>
#include <numeric>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/base/result.h"

namespace hawthornnotch::dispatch {

namespace {

/// Time after the start of the process in which it learns of the other entry VMs.
constexpr duration settle_time{2'000};
/// How long the end of a limit is gossiped.
constexpr duration end_gossip_time{10'000};
/// How long a limit outlasts the entry of its server in the list, which may expire and reappear.
constexpr duration unlisted_retention{60'000};
/// A lower limit counts as this one: some requests have to go there for its end to be noticed.
constexpr servers::request_rate min_rate{100};
constexpr servers::request_rate max_rate{100'000'000};

servers::request_rate clamped(servers::request_rate rate) {
  return std::clamp(rate, min_rate, max_rate);
}

}  // namespace

void server_limits::start(std::string_view vm, time_point now) {
  started_at_ = now;
  clock_ = relay::fleet_clock(now);
  members_.self = stable_hash(vm);
}

void server_limits::set_other_members(std::vector<std::uint64_t> others) {
  members_.others = std::move(others);
}

bool server_limits::is_settled(time_point now) const {
  return started_at_ && now - *started_at_ >= settle_time;
}

bool server_limits::is_expired(const limit& known, bool listed, time_point now) {
  const duration silence = now - known.confirmed_at;
  return known.rate ? !listed && silence > unlisted_retention : silence > end_gossip_time;
}

template <class Limits>
auto server_limits::find_in_force(Limits& limits, const server_incarnation& server)
    -> decltype(&limits.begin()->second) {
  const auto found = limits.find(server.server);
  const bool in_force = found != limits.end() && found->second.rate &&
                        found->second.start_time_ms == server.start_time_ms;
  return in_force ? &found->second : nullptr;
}

std::optional<limit_change> server_limits::replace(const server_incarnation& server,
                                                   std::optional<servers::request_rate> rate,
                                                   time_point observed_at, time_point now) {
  const limit* in_force = find_in_force(limits_, server);
  const auto before = in_force != nullptr ? in_force->rate : std::nullopt;
  auto found = limits_.find(server.server);
  if (found == limits_.end()) {
    found = limits_.try_emplace(std::string(server.server)).first;
  }
  limit& known = found->second;
  const bool same = before == rate && known.start_time_ms == server.start_time_ms;
  known.start_time_ms = server.start_time_ms;
  known.observed_at = observed_at;
  known.confirmed_at = now;
  if (same) {
    return std::nullopt;
  }
  known.rate = rate;
  known.permits.clear();
  known.schedule.reset();
  if (rate) {
    const auto seed = static_cast<std::uint64_t>(server.start_time_ms);
    known.schedule.emplace(stable_hash(server.server, seed), *rate);
    known.last_slot = known.schedule->slot_at(clock_.at(now));
  }
  return limit_change{found->first, before, rate};
}

std::optional<limit_change> server_limits::record_answer(const server_incarnation& server,
                                                         const servers::limit_notice& notice,
                                                         time_point sent_at, time_point now) {
  const limit* known = find_in_force(limits_, server);
  const bool later = known == nullptr || sent_at > known->confirmed_at;
  return std::visit(
      overloaded{
          [](const servers::limit_unknown&) -> std::optional<limit_change> { return std::nullopt; },
          [&](const servers::not_limited&) -> std::optional<limit_change> {
            if (known == nullptr || !later) {
              return std::nullopt;
            }
            return replace(server, std::nullopt, clock_.at(sent_at), now);
          },
          [&](const servers::limited_to& named) -> std::optional<limit_change> {
            const servers::request_rate rate = clamped(named.rate);
            if (!later && *known->rate < rate) {
              return std::nullopt;
            }
            return replace(server, rate, clock_.at(now), now);
          },
      },
      notice);
}

std::optional<limit_change> server_limits::record_peer(const servers::rate_limit& known,
                                                       time_point now) {
  const auto found = limits_.find(known.server);
  if (found != limits_.end()) {
    const limit& own = found->second;
    const bool newer =
        known.start_time_ms > own.start_time_ms ||
        (known.start_time_ms == own.start_time_ms && known.observed_at > own.observed_at);
    if (!newer) {
      return std::nullopt;
    }
  }
  const auto rate = known.rate ? std::optional(clamped(*known.rate)) : std::nullopt;
  return replace({known.server, known.start_time_ms}, rate, known.observed_at, now);
}

std::vector<servers::rate_limit> server_limits::limits_to_gossip(std::size_t count) {
  std::vector<servers::rate_limit> out;
  auto each = limits_.upper_bound(last_gossiped_);
  while (out.size() < std::min(count, limits_.size())) {
    if (each == limits_.end()) {
      each = limits_.begin();
    }
    const limit& known = each->second;
    out.push_back({each->first, known.start_time_ms, known.rate, known.observed_at});
    last_gossiped_ = each->first;
    ++each;
  }
  return out;
}

void server_limits::refresh_permits(limit& known, time_point now) const {
  const time_point fleet_now = clock_.at(now);
  const slot_schedule& schedule = *known.schedule;
  const std::int64_t current = schedule.slot_at(fleet_now);
  const std::int64_t oldest = schedule.slot_at(fleet_now - schedule.permit_lifetime()) + 1;
  for (std::int64_t slot = std::max(known.last_slot + 1, oldest); slot <= current; ++slot) {
    const std::int64_t count = schedule.permits_in(slot);
    if (count > 0 && schedule.owned_by_self(members_, slot)) {
      known.permits.push_back({schedule.start_of(slot) + schedule.permit_lifetime(), count});
    }
  }
  known.last_slot = std::max(known.last_slot, current);
  while (!known.permits.empty() && known.permits.front().expires_at <= fleet_now) {
    known.permits.pop_front();
  }
}

bool server_limits::has_permit(const server_incarnation& server, time_point now) {
  limit* known = find_in_force(limits_, server);
  if (known == nullptr) {
    return true;
  }
  refresh_permits(*known, now);
  return is_settled(now) && !known->permits.empty();
}

permit server_limits::take(const server_incarnation& server, time_point now) {
  if (!has_permit(server, now)) {
    return permit::none;
  }
  limit* known = find_in_force(limits_, server);
  if (known == nullptr) {
    return permit::unlimited;
  }
  held_permits& oldest = known->permits.front();
  --oldest.count;
  if (oldest.count == 0) {
    known->permits.pop_front();
  }
  return permit::taken;
}

limit_summary server_limits::summarize(std::string_view server, limit& known,
                                       time_point now) const {
  refresh_permits(known, now);
  const std::int64_t permits =
      std::accumulate(known.permits.begin(), known.permits.end(), std::int64_t{0},
                      [](std::int64_t sum, const held_permits& each) { return sum + each.count; });
  return {std::string(server), *known.rate, clock_.at(now) - known.observed_at,
          is_settled(now) ? permits : 0};
}

std::optional<limit_summary> server_limits::find(const server_incarnation& server, time_point now) {
  limit* known = find_in_force(limits_, server);
  return known == nullptr ? std::nullopt : std::optional(summarize(server.server, *known, now));
}

std::optional<duration> server_limits::slot_length(const server_incarnation& server) const {
  const limit* known = find_in_force(limits_, server);
  return known == nullptr ? std::nullopt : std::optional(known->schedule->slot_length());
}

std::vector<limit_summary> server_limits::summary(time_point now) {
  std::vector<limit_summary> out;
  for (auto& [server, known] : limits_) {
    if (known.rate) {
      out.push_back(summarize(server, known, now));
    }
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
