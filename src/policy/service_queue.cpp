#include "hawthornnotch/policy/service_queue.h"

#include <algorithm>
#include <cmath>

namespace hawthornnotch::policy {

namespace {

constexpr duration typical_speed_half_life{5'000};
constexpr double ms_per_s = 1000.0;
// Longer than the time between two runs of the policy, so that each request has a chance to start.
constexpr duration least_queue_limit{50};
constexpr std::size_t unparked_workspaces_in_turn = 4;

}  // namespace

service_queue::service_queue(std::string serves, const scheduler_settings& settings,
                             std::uint64_t seed)
    : serves_(std::move(serves)),
      settings_(settings),
      random_(seed),
      share_(settings.queue),
      candidates_(settings.ejection),
      chooser_(settings),
      first_token_ms_(typical_speed_half_life, server_speed{}.first_token_ms),
      per_token_ms_(typical_speed_half_life, server_speed{}.per_token_ms) {}

void service_queue::set_servers(std::vector<candidate> servers, const sharing& shared,
                                limit_share limits, time_point now) {
  candidates_.assign(std::move(servers), shared, now);
  std::erase_if(running_at_, [](const auto& each) {
    return std::all_of(each.second.begin(), each.second.end(),
                       [](const by_dispatch& streams) { return streams.empty(); });
  });
  limits_ = limits;
}

void service_queue::set_sharing(const sharing& shared, limit_share limits) {
  candidates_.share(shared);
  limits_ = limits;
}

bool service_queue::is_tiered() const { return std::holds_alternative<tiered>(settings_.policy); }

tier service_queue::tier_of(const request_record& record) const {
  constexpr tier lowest = tier_count - 1;
  return is_tiered() ? std::min(record.profile.traffic_class.service_tier, lowest) : tier{0};
}

// Admission.

void service_queue::submit(std::unique_ptr<request_record> record, time_point now) {
  ++totals_.submitted;
  const tier service_tier = tier_of(*record);
  if (const auto reason = reason_to_refuse(*record, now)) {
    const duration after = *reason == refusal::workspace_rate
                               ? record->workspace->rate_wait(record->profile.limits, limits_)
                               : retry_after(service_tier);
    refuse(std::move(record), *reason, after, now);
    return;
  }
  request_record& kept = *record;
  records_[kept.request] = std::move(record);
  enqueue(kept, false, now);
  shed_over_bound(now);
}

std::optional<refusal> service_queue::reason_to_refuse(const request_record& record,
                                                       time_point now) const {
  if (candidates_.size() == 0) {
    return refusal::no_backend_server;
  }
  const double wait_ms = expected_wait_ms(tier_of(record));
  const bool hopeless = wait_ms > static_cast<double>(record.profile.traffic_class.queue_limit.ms);
  if (is_tiered() && hopeless) {
    return refusal::queue_limit_passed;
  }
  const request_profile& profile = record.profile;
  switch (record.workspace->admit(profile.limits, profile.retry_percent, limits_, now)) {
    case admission::granted:
      return std::nullopt;
    case admission::over_rate:
      return refusal::workspace_rate;
    case admission::over_queue:
      return refusal::workspace_queue;
  }
  return std::nullopt;
}

double service_queue::expected_wait_ms(tier service_tier) const {
  const drain_meter& drain = drain_.at(service_tier);
  const auto ahead = static_cast<double>(queue_.size(service_tier));
  if (!drain.known() || ahead == 0) {
    return 0;
  }
  constexpr double least_rate = 1e-3;
  return ahead / std::max(drain.rate(), least_rate) * ms_per_s;
}

duration service_queue::retry_after(tier service_tier) const {
  const double wait_ms = expected_wait_ms(service_tier);
  const duration wait{static_cast<std::int64_t>(std::min(wait_ms, 1e9))};
  return std::clamp(wait, settings_.queue.default_retry_after, settings_.queue.max_retry_after);
}

time_point service_queue::start_by(const request_record& record) const {
  const request_class& traffic_class = record.profile.traffic_class;
  if (!is_tiered()) {
    return record.arrived;
  }
  const double first_ms = first_token_ms_.value();
  if (traffic_class.target.first_token) {
    const auto allowed = static_cast<double>(traffic_class.target.first_token->ms);
    return record.arrived + duration{static_cast<std::int64_t>(allowed - first_ms)};
  }
  if (traffic_class.target.completion) {
    const double tokens =
        record.workspace->planned(traffic_class.name, 0, traffic_class.max_tokens);
    const auto allowed = static_cast<double>(traffic_class.target.completion->ms);
    const double run_ms = first_ms + tokens * per_token_ms_.value();
    return record.arrived + duration{static_cast<std::int64_t>(allowed - run_ms)};
  }
  return record.arrived + traffic_class.queue_limit;
}

void service_queue::enqueue(request_record& record, bool resumed, time_point now) {
  queued_request entry;
  entry.request = record.request;
  entry.service_tier = tier_of(record);
  entry.start_by = start_by(record);
  entry.queue_until = now + std::max(record.profile.traffic_class.queue_limit, least_queue_limit);
  entry.resumed = resumed;
  queue_.add(entry);
  record.phase = request_phase::queued;
  const auto length = static_cast<std::int64_t>(queue_.size(entry.service_tier));
  note(record, now, resumed ? trace_event_kind::queued_again : trace_event_kind::queued, length);
}

void service_queue::shed_over_bound(time_point now) {
  while (queue_.size() > settings_.queue.max_queued) {
    refuse_queued(*queue_.newest_of_lowest(), refusal::queue_full, now);
  }
}

void service_queue::refuse_queued(ticket request, refusal reason, time_point now) {
  const auto found = records_.find(request);
  std::unique_ptr<request_record> record = std::move(found->second);
  records_.erase(found);
  queue_.remove(request);
  record->workspace->on_left_queue();
  totals_.wasted_tokens += record->tokens;
  const duration after = retry_after(tier_of(*record));
  refuse(std::move(record), reason, after, now);
}

void service_queue::refuse(std::unique_ptr<request_record> record, refusal reason, duration after,
                           time_point now) {
  ++totals_.refused;
  note(*record, now, trace_event_kind::refused, static_cast<std::int64_t>(reason));
  const duration bounded =
      std::clamp(after, settings_.queue.default_retry_after, settings_.queue.max_retry_after);
  ready_.emplace_back(refused{record->request, reason, bounded});
  keep_notes(*record);
}

void service_queue::expire(time_point now) {
  for (const ticket request : queue_.take_expired(now)) {
    refuse_queued(request, refusal::queue_limit_passed, now);
  }
}

// Dispatch.

void service_queue::run(time_point now, std::vector<decision>& decisions) {
  candidates_.refresh_next(now);
  expire(now);
  if (queue_.size() > 0) {
    unpark();
    is_tiered() ? dispatch_tiers(now) : dispatch_all(now);
  }
  decisions.insert(decisions.end(), ready_.begin(), ready_.end());
  ready_.clear();
}

void service_queue::dispatch_tiers(time_point now) {
  queue_.mark_late(now);
  while (dispatch_next(now)) {
  }
  const tier_share::waiting_tiers still = waiting();
  share_.observe(still, now);
  for (int index = 0; index < tier_count; ++index) {
    drain_.at(index).observe(still.at(index), now);
  }
  preempt(now);
}

void service_queue::dispatch_all(time_point now) {
  while (const auto next = queue_.head(0, false)) {
    if (!dispatch(*next, false, now) && queue_.ready(0) && queue_.head(0, false) == next) {
      return;
    }
  }
}

tier_share::waiting_tiers service_queue::waiting() const {
  tier_share::waiting_tiers waiting{};
  for (int index = 0; index < tier_count; ++index) {
    waiting.at(index) = queue_.ready(static_cast<tier>(index));
  }
  return waiting;
}

bool service_queue::dispatch_next(time_point now) {
  const tier_share::waiting_tiers waits = waiting();
  share_.observe(waits, now);
  const auto turn = share_.due(waits, now);
  if (turn && dispatch_from(*turn, true, now)) {
    return true;
  }
  for (int index = 0; index < tier_count; ++index) {
    if (waits.at(index) && dispatch_from(static_cast<tier>(index), false, now)) {
      return true;
    }
  }
  return false;
}

// Returns whether anything changed, so that the caller tries again.
bool service_queue::dispatch_from(tier service_tier, bool is_turn, time_point now) {
  const bool late_first = dispatched_.at(service_tier) % settings_.queue.late_dispatch_interval ==
                          settings_.queue.late_dispatch_interval - 1;
  const auto next = queue_.head(service_tier, late_first);
  if (!next) {
    return false;
  }
  const bool started = dispatch(*next, is_turn, now);
  const bool parked = !started && queue_.head(service_tier, late_first) != next;
  return started || parked;
}

bool service_queue::dispatch(ticket request, bool is_turn, time_point now) {
  request_record& record = *records_.at(request);
  const request_class& traffic_class = record.profile.traffic_class;
  choice_query query;
  query.room_of = is_turn ? tier{0} : tier_of(record);
  query.target = traffic_class.target;
  query.planned_tokens =
      record.workspace->planned(traffic_class.name, record.tokens, traffic_class.max_tokens) -
      record.tokens;
  query.prefix_hash = record.profile.prefix_hash;
  query.avoid = record.failed_at.get();
  query.now = now;
  const choice chosen = chooser_.pick(candidates_, query, random_);
  if (!chosen.server) {
    note_once(record, now, trace_event_kind::no_room, chosen.drawn);
    return false;
  }
  if (!record.workspace->start(record.profile.limits, limits_)) {
    note_once(record, now, trace_event_kind::no_room, no_concurrency);
    park(record);
    return false;
  }
  share_.on_dispatch(tier_of(record), query.planned_tokens, waiting(), now);
  start(record, chosen, is_turn, now);
  return true;
}

void service_queue::start(request_record& record, const choice& chosen, bool is_turn,
                          time_point now) {
  const tier service_tier = tier_of(record);
  queue_.remove(record.request);
  drain_.at(service_tier).on_dispatch();
  ++dispatched_.at(service_tier);
  record.phase = request_phase::running;
  record.server = chosen.server;
  record.dispatched = now;
  record.first_uncounted = false;
  ++record.attempt;
  record.tokens_before = record.tokens;
  chosen.server->begin(now);
  chooser_.ran(record.profile.prefix_hash, chosen.server);
  if (const auto index = candidates_.index_of(chosen.server.get())) {
    candidates_.refresh(*index, now);
  }
  running_.at(service_tier).emplace(now.ms, record.request);
  running_at_[chosen.server.get()].at(service_tier).emplace(now.ms, record.request);
  await_first_token(record);
  ++totals_.assigned;
  const auto first_token_ms = static_cast<std::int64_t>(chosen.first_token_ms);
  note(record, now, is_turn ? trace_event_kind::share_turn : trace_event_kind::assigned,
       first_token_ms);
  const backend_server& facts = chosen.server->facts();
  // A turn of a lower tier would not be one if it waited behind all others at the engine.
  const std::uint8_t engine_priority = is_turn ? 0 : service_tier;
  ready_.emplace_back(
      assigned{record.request, facts.id, facts.address, record.attempt, engine_priority});
}

void service_queue::park(request_record& record) {
  queue_.park(record.request);
  parked_[record.profile.workspace].push_back(record.request);
}

// Gives one parked request of each of a few workspaces another chance.
void service_queue::unpark() {
  std::size_t looked_at = 0;
  for (auto each = parked_.begin();
       each != parked_.end() && looked_at < unparked_workspaces_in_turn; ++looked_at) {
    std::deque<ticket>& waiting_here = each->second;
    while (!waiting_here.empty() && queue_.find(waiting_here.front()) == nullptr) {
      waiting_here.pop_front();
    }
    if (waiting_here.empty()) {
      each = parked_.erase(each);
      continue;
    }
    queue_.unpark(waiting_here.front());
    waiting_here.pop_front();
    ++each;
  }
}

}  // namespace hawthornnotch::policy
