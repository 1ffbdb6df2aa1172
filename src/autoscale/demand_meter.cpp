#include "hawthornnotch/autoscale/demand_meter.h"

#include <algorithm>

namespace hawthornnotch::autoscale {

namespace {

constexpr const char* request_rate = "requests_per_1000s";
constexpr const char* prompt_rate = "prompt_tokens_per_s";
constexpr const char* waiting_requests = "waiting";
constexpr const char* late_share = "late_share_milli";
constexpr double milli = 1'000.0;
/// Above any rate that a VM can have; greater values of other VMs are cut.
constexpr std::int64_t max_value = 1'000'000'000;

double value_of(const replication::record& record, const char* name) {
  const auto found = record.values.find(name);
  return found == record.values.end()
             ? 0.0
             : static_cast<double>(std::clamp(found->second, std::int64_t{0}, max_value));
}

}  // namespace

void demand_meter::watch(const std::set<std::string, std::less<>>& services) {
  if (services == watched_) {
    return;
  }
  watched_ = services;
  std::erase_if(services_, [&](const auto& each) { return !watched_.contains(each.first); });
  for (const std::string& each : watched_) {
    services_.try_emplace(each);
  }
}

demand_meter::counts* demand_meter::current(std::string_view service, time_point now) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return nullptr;
  }
  service_counts& all = found->second;
  const std::int64_t slot = now.ms / slot_time.ms;
  const std::int64_t passed =
      std::clamp(slot - all.newest_slot, std::int64_t{0}, std::int64_t{slot_count});
  for (std::int64_t step = 0; step < passed; ++step) {
    all.slots.at(static_cast<std::size_t>(slot - step) % slot_count) = {};
  }
  all.newest_slot = std::max(all.newest_slot, slot);
  return &all.slots.at(static_cast<std::size_t>(slot) % slot_count);
}

void demand_meter::record_sent(std::string_view service, std::uint32_t prefill_tokens,
                               time_point now) {
  if (counts* into = current(service, now)) {
    ++into->sent;
    into->prefill_tokens += prefill_tokens;
  }
}

void demand_meter::record_first_event(std::string_view service, bool late, time_point now) {
  if (counts* into = current(service, now)) {
    ++into->first_events;
    into->late += late ? 1 : 0;
  }
}

void demand_meter::set_waiting(std::string_view service, std::uint32_t waiting) {
  if (const auto found = services_.find(service); found != services_.end()) {
    found->second.waiting = waiting;
  }
}

std::map<std::string, std::int64_t> demand_meter::values(std::string_view service, time_point now) {
  if (current(service, now) == nullptr) {
    return {};
  }
  const service_counts& all = services_.find(service)->second;
  counts sum;
  for (const counts& each : all.slots) {
    sum.sent += each.sent;
    sum.prefill_tokens += each.prefill_tokens;
    sum.first_events += each.first_events;
    sum.late += each.late;
  }
  // The current slot has just begun or is partly over.
  const std::int64_t covered = slot_time.ms * std::int64_t{slot_count - 1} +
                               std::max(now.ms % slot_time.ms, std::int64_t{1});
  constexpr std::int64_t ms_per_1000s = 1'000'000;
  constexpr std::int64_t ms_per_s = 1'000;
  return {{request_rate, sum.sent * ms_per_1000s / covered},
          {prompt_rate, sum.prefill_tokens * ms_per_s / covered},
          {waiting_requests, all.waiting},
          {late_share, sum.late * ms_per_s / std::max(sum.first_events, std::int64_t{1})}};
}

void add_published(std::span<const replication::record* const> records, std::string_view service,
                   std::size_t live_vms, service_demand& into) {
  // The record of the process before a restart stays until it expires.
  std::map<std::string_view, const replication::record*> newest;
  for (const replication::record* each : records) {
    const replication::record*& known = newest[each->key.vm];
    if (each->key.subject == service && (known == nullptr || each->age < known->age)) {
      known = each;
    }
  }
  std::erase_if(newest, [](const auto& each) { return each.second == nullptr; });
  if (newest.empty()) {
    return;
  }
  const double missing_factor =
      std::max(1.0, static_cast<double>(live_vms) / static_cast<double>(newest.size()));
  double late_per_s = 0;
  for (const auto& [vm, each] : newest) {
    const double requests_per_s = value_of(*each, request_rate) / milli * missing_factor;
    into.requests_per_s += requests_per_s;
    into.prefill_tokens_per_s += value_of(*each, prompt_rate) * missing_factor;
    into.waiting += value_of(*each, waiting_requests) * missing_factor;
    late_per_s += requests_per_s * std::min(value_of(*each, late_share) / milli, 1.0);
  }
  into.late_share = into.requests_per_s > 0 ? late_per_s / into.requests_per_s : 0;
}

}  // namespace hawthornnotch::autoscale
