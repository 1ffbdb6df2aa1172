#include "hawthornnotch/dispatch/brittle_quota.h"

#include <algorithm>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::dispatch {

namespace {

/// How long a service stays brittle after an answer last said so; all its answers say so.
constexpr duration notice_lifetime{3'000};
/// How long a server's room stays what it was when it was full.
constexpr duration full_lifetime{3'000};
/// How long a reported load counts beside what the VMs know of each other.
constexpr duration report_lifetime{1'000};
/// Fraction of its room up to which a server takes a single request of a VM that has no place.
constexpr double single_fraction = 0.5;
/// Fraction of its load at a rejection that counts as the server's room.
constexpr double room_after_rejection = 0.8;

}  // namespace

bool brittle_quota::record_notice(std::string_view service, std::uint32_t rejections_per_s,
                                  time_point now) {
  const bool is_new = !is_brittle(service, now);
  auto found = notices_.find(service);
  if (found == notices_.end()) {
    found = notices_.try_emplace(std::string(service)).first;
  }
  found->second = {rejections_per_s, now};
  return is_new;
}

void brittle_quota::set_members(const fleet_members& members) {
  if (members.self == members_.self && members.others == members_.others) {
    return;
  }
  members_ = members;
  ranks_.clear();
}

// The shares of VMs that know the same members add up to `places`.
std::uint32_t brittle_quota::share_of(std::uint32_t places, const server_incarnation& server) {
  const auto seed = stable_hash(server.server, static_cast<std::uint64_t>(server.start_time_ms));
  const auto [found, is_new] = ranks_.try_emplace(seed);
  if (is_new) {
    const std::uint64_t own = stable_hash(members_.self, seed);
    found->second = static_cast<std::uint32_t>(
        std::count_if(members_.others.begin(), members_.others.end(),
                      [&](std::uint64_t other) { return stable_hash(other, seed) > own; }));
  }
  const auto vms = static_cast<std::uint32_t>(members_.others.size() + 1);
  return places / vms + (found->second < places % vms ? 1 : 0);
}

bool brittle_quota::is_brittle(std::string_view service, time_point now) const {
  const auto found = notices_.find(service);
  return found != notices_.end() && now - found->second.at < notice_lifetime;
}

brittle_quota::room& brittle_quota::room_of(const server_incarnation& server) {
  auto found = rooms_.find(server.server);
  if (found == rooms_.end()) {
    found = rooms_.try_emplace(std::string(server.server)).first;
  }
  room& known = found->second;
  if (known.start_time_ms != server.start_time_ms) {
    known = room{};
    known.start_time_ms = server.start_time_ms;
  }
  return known;
}

const brittle_quota::room* brittle_quota::find(const server_incarnation& server) const {
  const auto found = rooms_.find(server.server);
  const bool same = found != rooms_.end() && found->second.start_time_ms == server.start_time_ms;
  return same ? &found->second : nullptr;
}

void brittle_quota::record_load(const server_incarnation& server, const reported_load& load,
                                std::uint32_t own, time_point now) {
  std::erase_if(rooms_, [&](const auto& each) {
    return now - each.second.reported_at > full_lifetime &&
           now - each.second.full_at > full_lifetime;
  });
  room& known = room_of(server);
  const std::uint32_t held = load.running + load.waiting;
  known.reported_others = held - std::min(held, own);
  known.reported_at = now;
  if (load.waiting > 0) {
    known.when_full = std::max(1U, load.running);
    known.full_at = now;
  }
}

std::uint32_t brittle_quota::held_at(const room* known, const requests_in_flight& in_flight,
                                     time_point now) {
  const bool reported = known != nullptr && now - known->reported_at < report_lifetime;
  return reported ? known->reported_others + in_flight.own : in_flight.all;
}

void brittle_quota::record_rejection(const server_incarnation& server,
                                     const requests_in_flight& at_server, time_point now) {
  room& known = room_of(server);
  const std::uint32_t held = std::max(at_server.all, held_at(&known, at_server, now));
  known.when_full = std::max(1U, static_cast<std::uint32_t>(held * room_after_rejection));
  known.full_at = now;
}

bool brittle_quota::has_place(const room_query& query, const service_size& size, time_point now) {
  const room* known = find(query.server);
  const bool full_lately =
      known != nullptr && known->when_full && now - known->full_at < full_lifetime;
  std::uint32_t places = std::max(1U, query.slots);
  places = full_lately ? std::min(places, *known->when_full) : places;
  const std::uint32_t held = held_at(known, query.in_flight, now);
  if (held >= places) {
    return false;
  }
  if (query.in_flight.own < share_of(places, query.server)) {
    return true;
  }
  const bool much_room = !full_lately && held < places * single_fraction;
  return size.own_places == 0 && size.own_in_flight == 0 && much_room;
}

}  // namespace hawthornnotch::dispatch
