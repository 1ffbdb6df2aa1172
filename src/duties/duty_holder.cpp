#include "hawthornnotch/duties/duty_holder.h"

#include <algorithm>
#include <map>
#include <utility>

namespace hawthornnotch::duties {

namespace {

using replication::topic;

constexpr std::string_view fencing_value = "fencing";
constexpr std::string_view held_value = "held";

/// A step that comes later than this after it was due shows that the process was suspended.
constexpr duration suspension_threshold{500};
constexpr duration pause_after_suspension{300};
/// Before this time after the start the rank is not known: all VMs would read the store.
constexpr duration rank_unknown_time{2'000};
constexpr duration merge_period{500};
/// The holder publishes its record so often per lease time, and others take it for alive while the
/// record is younger than two such periods.
constexpr std::int64_t publications_per_lease_time = 3;

lease::lease_settings lease_settings_of(const duty_holder_settings& settings) {
  lease::lease_settings out;
  out.keys = {std::string(lease_key), std::string(fence_key)};
  out.holder = settings.vm;
  out.time_to_live = settings.lease_time;
  out.safety_margin = settings.safety_margin;
  out.retry_interval = settings.poll_interval;
  return out;
}

std::int64_t value_of(const replication::record& what, std::string_view name) {
  const auto found = what.values.find(std::string(name));
  return found == what.values.end() ? 0 : found->second;
}

}  // namespace

duty_holder::duty_holder(platform::key_value_store& store, const clock& time,
                         const relay::store_era& era, replication::replicated_table& records,
                         duty_holder_settings settings)
    : era_(era),
      records_(records),
      settings_(std::move(settings)),
      lease_(lease::lease_holder::create(store, time, lease_settings_of(settings_), &era)),
      known_era_(era.current()),
      stepped_at_(time.now()),
      act_from_(time.now() + settings_.lease_time),
      candidate_from_(time.now() + rank_unknown_time) {}

std::optional<term_change> duty_holder::step(const duty_conditions& conditions, time_point now) {
  observe_suspension(now);
  observe_era(now);
  if (now >= merge_at_ && (conditions.first_in_domain || fencing_ != 0)) {
    merge_at_ = now + merge_period;
    merge_records(now);
  }
  // Before the next attempt: a term may have ended in a callback since the last step.
  auto change = detect_change(now);
  if (conditions.stopping && !conditions.call_in_progress && !released_) {
    released_ = true;
    lease_->release();
  }
  lease_->step(is_candidate(conditions, now));
  if (!change) {
    change = detect_change(now);
  }
  if (fencing_ != 0 && now >= publish_at_) {
    publish(fencing_, true, now);
  }
  return change;
}

std::optional<duty_term> duty_holder::term(time_point now) const {
  const bool stepped = now <= stepped_at_ + settings_.step_period + suspension_threshold;
  const bool era_known = era_.current() == known_era_;
  if (!stepped || !era_known || now < quiet_until_ || now < act_from_) {
    return std::nullopt;
  }
  const auto fencing = lease_->fencing();
  const lease::lease_status status = lease_->status();
  if (!fencing || now >= status.valid_until) {
    return std::nullopt;
  }
  return duty_term{*fencing, status.valid_until, status.revision};
}

void duty_holder::observe_suspension(time_point now) {
  if (now > stepped_at_ + settings_.step_period + suspension_threshold) {
    quiet_until_ = now + pause_after_suspension;
  }
  stepped_at_ = now;
}

// The restore happened before this process learned of it, so no lease of the era before is alive
// one lease time from now.
void duty_holder::observe_era(time_point now) {
  if (era_.current() != known_era_) {
    known_era_ = era_.current();
    act_from_ = now + settings_.lease_time;
  }
}

void duty_holder::merge_records(time_point now) {
  other_holder_at_.reset();
  for (const replication::record* each : records_.of(topic::duty, now)) {
    const bool own =
        each->key.vm == records_.vm() && each->key.incarnation == records_.incarnation();
    if (own || each->key.subject != holder_subject) {
      continue;
    }
    const std::int64_t fencing = value_of(*each, fencing_value);
    lease_->raise_floor(static_cast<std::uint64_t>(std::max<std::int64_t>(fencing, 0)));
    const time_point written_at = now - each->age;
    if (value_of(*each, held_value) != 0 && (!other_holder_at_ || written_at > *other_holder_at_)) {
      other_holder_at_ = written_at;
    }
  }
}

bool duty_holder::is_candidate(const duty_conditions& conditions, time_point now) const {
  const duration recent = settings_.lease_time / publications_per_lease_time * 2;
  const bool other_holder = other_holder_at_ && now - *other_holder_at_ < recent;
  return conditions.first_in_domain && !conditions.stopping && !other_holder &&
         now >= candidate_from_;
}

std::optional<term_change> duty_holder::detect_change(time_point now) {
  const std::uint64_t held = held_fencing();
  if (held == fencing_) {
    return std::nullopt;
  }
  const std::uint64_t before = std::exchange(fencing_, held);
  if (before != 0) {
    candidate_from_ = now + settings_.lease_time;
    publish(before, false, now);
    return term_change{false, before, lease_->status().last_end};
  }
  publish(held, true, now);
  return term_change{true, held, lease::lease_end::none};
}

void duty_holder::publish(std::uint64_t fencing, bool held, time_point now) {
  publish_at_ = now + settings_.lease_time / publications_per_lease_time;
  records_.write(topic::duty, holder_subject,
                 {{std::string(fencing_value), static_cast<std::int64_t>(fencing)},
                  {std::string(held_value), held ? 1 : 0}},
                 now);
}

}  // namespace hawthornnotch::duties
