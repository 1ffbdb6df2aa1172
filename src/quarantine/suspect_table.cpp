#include "hawthornnotch/quarantine/suspect_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "evidence.h"
#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::quarantine {

namespace {

constexpr std::size_t max_suspects = 512;
/// A suspect is forgotten this long after its last crash, a quarantined one this long after the
/// last request with it.
constexpr duration retention{300'000};
/// Messages in which a change is gossiped.
constexpr std::uint32_t gossip_repeats = 4;
/// Clocks may differ by this; a later time in a message is not believed.
constexpr duration max_clock_lead{1'000};
/// Time from the last crash to the first request that is sent in spite of the quarantine; it
/// doubles with each further crash.
constexpr duration first_probe_delay{600'000};
constexpr std::size_t max_probe_doublings = 6;

// \returns whether there are crashes enough, at whatever moments.
bool may_be_quarantined(const suspicion& evidence) {
  return internal::open_crashes(evidence).size() >= internal::required_moments(evidence);
}

duration probe_delay(const suspicion& evidence) {
  const std::size_t required = internal::required_moments(evidence);
  const std::size_t crashes = std::max(evidence.crashes.size(), required);
  const std::size_t doublings = std::min(crashes - required, max_probe_doublings);
  return first_probe_delay * (std::int64_t{1} << doublings);
}

}  // namespace

suspect_table::suspect& suspect_table::find_or_add(const fingerprint& what, time_point now) {
  const auto found = suspects_.find(what);
  if (found != suspects_.end()) {
    return found->second;
  }
  make_room();
  suspect& added = suspects_[what];
  added.evidence.what = what;
  added.evidence.last_seen = now;
  added.evidence.last_success = successes_of(what.kind).find(what);
  return added;
}

void suspect_table::record_crash(std::uint32_t server, std::span<const fingerprint> carried,
                                 time_point now) {
  drop_expired(now);
  std::uint32_t position = 0;
  for (const fingerprint& what : carried) {
    suspect& known = find_or_add(what, now);
    known.evidence.position = std::max(known.evidence.position, position++);
    known.evidence.last_seen = now;
    if (internal::add_crash(known.evidence, {server, now})) {
      known.gossip_left = gossip_repeats;
    }
  }
  evaluate();
}

bool suspect_table::add_success(suspect& known, time_point at) {
  suspicion& evidence = known.evidence;
  if (evidence.last_success && *evidence.last_success >= at) {
    return false;
  }
  const std::size_t before = internal::open_crashes(evidence).size();
  const bool first = !evidence.last_success;
  evidence.last_success = at;
  const bool cleared = internal::open_crashes(evidence).size() < before;
  if (cleared || first) {
    // A request that succeeded is not sent again, so its single crash concerns no peer.
    const bool settled = evidence.what.kind == suspect_kind::request && before <= 1;
    known.gossip_left = settled ? 0 : gossip_repeats;
  }
  return cleared || first;
}

void suspect_table::record_success(std::span<const fingerprint> carried, time_point now) {
  bool changed = false;
  for (const fingerprint& what : carried) {
    successes_of(what.kind).record(what, now);
    const auto found = suspects_.find(what);
    if (found != suspects_.end()) {
      changed = add_success(found->second, now) || changed;
    }
  }
  if (changed) {
    evaluate();
  }
}

void suspect_table::merge(std::span<const suspicion> known, time_point now) {
  bool changed = false;
  for (const suspicion& each : known) {
    changed = merge_one(each, now) || changed;
  }
  if (changed) {
    drop_expired(now);
    evaluate();
  }
}

bool suspect_table::merge_one(const suspicion& theirs, time_point now) {
  const time_point latest = now + max_clock_lead;
  if (now - theirs.last_seen > retention) {
    return false;
  }
  suspect& known = find_or_add(theirs.what, now);
  suspicion& evidence = known.evidence;
  evidence.position = std::max(evidence.position, theirs.position);
  evidence.last_seen = std::max(evidence.last_seen, std::min(theirs.last_seen, latest));
  bool changed = false;
  for (const crash& each : theirs.crashes) {
    changed = (each.at <= latest && internal::add_crash(evidence, each)) || changed;
  }
  if (changed) {
    known.gossip_left = gossip_repeats;
  }
  if (theirs.last_success) {
    changed = add_success(known, std::min(*theirs.last_success, latest)) || changed;
  }
  return changed;
}

// Suspects without a remembered success come first; among equals, the more specific one.
suspect_table::suspect* suspect_table::next_culprit(std::vector<suspect*>& open,
                                                    const internal::crash_census& all,
                                                    const std::set<std::uint32_t>& explained) {
  auto best = open.end();
  std::tuple<bool, std::size_t, std::uint32_t, fingerprint> best_rank;
  for (auto each = open.begin(); each != open.end(); ++each) {
    const suspicion& evidence = (*each)->evidence;
    const std::size_t moments =
        internal::count_moments(internal::open_crashes(evidence), all, explained);
    if (moments < internal::required_moments(evidence)) {
      continue;
    }
    const auto rank = std::tuple(!evidence.last_success, moments, evidence.position, evidence.what);
    if (best == open.end() || rank > best_rank) {
      best = each;
      best_rank = rank;
    }
  }
  if (best == open.end()) {
    return nullptr;
  }
  suspect* culprit = *best;
  open.erase(best);
  return culprit;
}

void suspect_table::evaluate() {
  std::vector<suspect*> open;
  for (auto& [what, known] : suspects_) {
    if (may_be_quarantined(known.evidence)) {
      open.push_back(&known);
    } else {
      set_quarantined(known, false);
    }
  }
  if (open.empty()) {
    return;
  }
  internal::crash_census all;
  for (const auto& [what, known] : suspects_) {
    all.add(known.evidence.crashes);
  }
  all.sort();
  internal::server_set explained;
  while (suspect* culprit = next_culprit(open, all, explained)) {
    for (const crash& each : internal::open_crashes(culprit->evidence)) {
      explained.insert(each.server);
    }
    set_quarantined(*culprit, true);
  }
  for (suspect* each : open) {
    set_quarantined(*each, false);
  }
}

void suspect_table::set_quarantined(suspect& known, bool quarantined) {
  if (known.quarantined == quarantined) {
    return;
  }
  known.quarantined = quarantined;
  known.probed_at.reset();
  known.gossip_left = gossip_repeats;
  news_ = true;
  changes_.push_back({known.evidence.what, quarantined, known.evidence.crashes.size(),
                      internal::open_crashes(known.evidence).size()});
}

std::optional<verdict> suspect_table::find_quarantined(std::span<const fingerprint> carried,
                                                       const dispatch::fleet_members& members,
                                                       time_point now) {
  for (const fingerprint& what : carried) {
    const auto found = suspects_.find(what);
    if (found == suspects_.end() || !found->second.quarantined) {
      continue;
    }
    suspect& known = found->second;
    if (now - known.evidence.last_seen > retention) {
      drop_expired(now);
      continue;
    }
    known.evidence.last_seen = now;
    if (may_probe(known, members, now)) {
      known.probed_at = now;
      continue;
    }
    return verdict{what, known.evidence.crashes.size(), now - known.evidence.crashes.back().at};
  }
  return std::nullopt;
}

// One entry VM per probe, by rendezvous hash, so that the probes of all do not add up.
bool suspect_table::may_probe(const suspect& known, const dispatch::fleet_members& members,
                              time_point now) {
  const suspicion& evidence = known.evidence;
  const duration delay = probe_delay(evidence);
  const bool due = now - evidence.crashes.back().at >= delay &&
                   (!known.probed_at || now - *known.probed_at >= delay);
  if (!due) {
    return false;
  }
  const std::uint64_t key =
      stable_hash(evidence.what.digest.low, static_cast<std::uint64_t>(evidence.crashes.size()));
  const std::uint64_t own = stable_hash(members.self, key);
  return std::all_of(members.others.begin(), members.others.end(),
                     [&](std::uint64_t other) { return stable_hash(other, key) < own; });
}

std::vector<suspicion> suspect_table::suspicions_to_gossip(std::size_t count) {
  std::vector<suspect*> changed;
  for (auto& [what, known] : suspects_) {
    if (known.gossip_left > 0) {
      changed.push_back(&known);
    }
  }
  std::stable_sort(changed.begin(), changed.end(), [](const suspect* a, const suspect* b) {
    const auto rank = [](const suspect& each) {
      return std::tuple(each.quarantined, internal::open_crashes(each.evidence).size(),
                        each.gossip_left);
    };
    return rank(*a) > rank(*b);
  });
  changed.resize(std::min(changed.size(), count));
  std::vector<suspicion> out;
  for (suspect* each : changed) {
    --each->gossip_left;
    out.push_back(each->evidence);
  }
  auto each = suspects_.upper_bound(last_gossiped_);
  for (std::size_t visited = 0; visited < suspects_.size() && out.size() < count; ++visited) {
    each = each == suspects_.end() ? suspects_.begin() : each;
    if (each->second.quarantined && each->second.gossip_left == 0) {
      out.push_back(each->second.evidence);
      last_gossiped_ = each->first;
    }
    ++each;
  }
  return out;
}

bool suspect_table::take_news() { return std::exchange(news_, false); }

std::vector<quarantine_change> suspect_table::take_changes() { return std::exchange(changes_, {}); }

std::size_t suspect_table::quarantined_count() const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& each) { return each.second.quarantined; }));
}

void suspect_table::drop_expired(time_point now) {
  for (auto each = suspects_.begin(); each != suspects_.end();) {
    suspect& known = each->second;
    const suspicion& evidence = known.evidence;
    const time_point last_crash =
        evidence.crashes.empty() ? evidence.last_seen : evidence.crashes.back().at;
    const time_point last = known.quarantined ? evidence.last_seen : last_crash;
    const bool expired = now - last > retention;
    if (expired) {
      set_quarantined(known, false);
    }
    each = expired ? suspects_.erase(each) : std::next(each);
  }
}

// The suspect with the fewest crashes yields, then the one that has not crashed for longest.
void suspect_table::make_room() {
  if (suspects_.size() < max_suspects) {
    return;
  }
  const auto rank = [](const suspects::value_type& each) {
    const suspicion& evidence = each.second.evidence;
    const time_point last = evidence.crashes.empty() ? time_point{} : evidence.crashes.back().at;
    return std::tuple(each.second.quarantined, internal::open_crashes(evidence).size(), last.ms);
  };
  const auto least =
      std::min_element(suspects_.begin(), suspects_.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  set_quarantined(least->second, false);
  suspects_.erase(least);
}

}  // namespace hawthornnotch::quarantine
