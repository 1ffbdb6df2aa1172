#include "hawthornnotch/usage/window_clock.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornnotch::usage {

namespace {

constexpr std::string_view clock_subject = "clock";
constexpr const char* offset_name = "offset_ms";
/// A smaller change between two readings is drift, or a delay between reading two clocks.
constexpr duration min_step{100};
/// Faults step clocks for seconds to minutes; a longer step is a correction.
constexpr duration step_confirmation{600'000};
/// A process that has just started learns the fleet's time from its first exchanges.
constexpr duration fleet_settling{1'000};
/// A record is written again within the horizon of its topic, so that it does not expire.
constexpr duration refresh_period{15'000};
constexpr duration min_published_change{20};
/// The median changes only by drift, and reading all records takes time on small VMs.
constexpr duration median_period{1'000};

duration magnitude(duration value) { return value < duration{0} ? duration{0} - value : value; }

// \returns the offsets that other VMs published, the newest of each.
std::vector<std::int64_t> published_offsets(replication::replicated_table& table, time_point now) {
  std::map<std::string_view, const replication::record*> newest;
  for (const replication::record* each : table.of(replication::topic::usage, now)) {
    if (each->key.subject != clock_subject || each->key.vm == table.vm()) {
      continue;
    }
    const replication::record*& known = newest[each->key.vm];
    if (known == nullptr || each->age < known->age) {
      known = each;
    }
  }
  std::vector<std::int64_t> offsets;
  for (const auto& [vm, each] : newest) {
    const auto value = each->values.find(offset_name);
    if (value != each->values.end()) {
      offsets.push_back(value->second);
    }
  }
  return offsets;
}

// Of an even number the lower one of the two in the middle: their mean may be the time of no VM.
std::int64_t median(std::vector<std::int64_t> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::int64_t window_at(time_point true_time, duration window_length) {
  return true_time.ms / window_length.ms;
}

void window_clock::track_wall(const readings& clocks) {
  raw_offset_ = clocks.wall - clocks.steady;
  if (!held_offset_) {
    held_offset_ = raw_offset_;
    return;
  }
  if (magnitude(raw_offset_ - *held_offset_) < min_step) {
    held_offset_ = raw_offset_;
    step_.reset();
    return;
  }
  const bool moved = !step_ || magnitude(raw_offset_ - step_->offset) >= min_step;
  if (moved) {
    step_ = step{raw_offset_, clocks.steady};
  } else if (clocks.steady - step_->seen_at >= step_confirmation) {
    held_offset_ = raw_offset_;
    step_.reset();
  }
}

void window_clock::track_fleet(const readings& clocks) {
  const duration offset = clocks.fleet - clocks.steady;
  if (!fleet_offset_ || magnitude(offset - *fleet_offset_) >= min_step) {
    fleet_settled_at_ = clocks.steady;
  }
  fleet_offset_ = offset;
}

void window_clock::publish(duration offset, time_point now, replication::replicated_table& table) {
  const bool changed = !published_ || magnitude(offset - *published_) >= min_published_change;
  const bool settled = now - fleet_settled_at_ >= fleet_settling;
  if (!settled || (!changed && now - published_at_ < refresh_period)) {
    return;
  }
  published_ = offset;
  published_at_ = now;
  table.write(replication::topic::usage, clock_subject, {{offset_name, offset.ms}}, now);
}

void window_clock::update(const readings& clocks, replication::replicated_table& table) {
  const time_point now = clocks.steady;
  track_wall(clocks);
  track_fleet(clocks);
  const duration own = *held_offset_ - *fleet_offset_;
  publish(own, now, table);
  if (median_at_ && now - *median_at_ < median_period) {
    return;
  }
  median_at_ = now;
  std::vector<std::int64_t> offsets = published_offsets(table, now);
  offsets.push_back(own.ms);
  true_offset_ = duration{median(std::move(offsets))} + *fleet_offset_;
}

}  // namespace hawthornnotch::usage
