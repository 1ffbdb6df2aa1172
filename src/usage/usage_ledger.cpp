#include "hawthornnotch/usage/usage_ledger.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

#include "hawthornnotch/usage/window_clock.h"
#include "workspace_values.h"

namespace hawthornnotch::usage {

namespace {

/// One value of a record is the number of its window.
constexpr std::size_t workspaces_per_record = replication::max_values_per_record - 1;
constexpr duration write_period{2'000};
/// Windows of this process that are kept: as many as there are records.  Later windows than the
/// current one are those of a clock that was wrong.
constexpr std::int64_t kept_windows = 11;

}  // namespace

void usage_ledger::count(std::string_view workspace, time_point true_now) {
  if (workspace.empty() || workspace.size() > internal::max_workspace_bytes) {
    ++dropped_;
    return;
  }
  window_counts& window = windows_[window_at(true_now, window_length_)];
  auto known = window.index.find(workspace);
  if (known == window.index.end()) {
    known = window.index.emplace(std::string(workspace), window.counts.size()).first;
    window.counts.emplace_back(std::string(workspace), 0);
    window.changed_parts.resize((window.counts.size() - 1) / workspaces_per_record + 1);
  }
  ++window.counts[known->second].second;
  ++counted_;
  window.changed_parts[known->second / workspaces_per_record] = true;
}

std::optional<std::size_t> usage_ledger::slot_for(const slot& wanted, std::int64_t current) {
  std::optional<std::size_t> reusable;
  // The current and the last window are still needed.
  std::int64_t farthest = 1;
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    const std::optional<slot>& each = slots_[index];
    if (each == wanted) {
      return index;
    }
    const std::int64_t distance =
        each ? std::abs(each->window - current) : std::numeric_limits<std::int64_t>::max();
    if (distance > farthest) {
      farthest = distance;
      reusable = index;
    }
  }
  if (reusable) {
    slots_[*reusable] = wanted;
  }
  return reusable;
}

void usage_ledger::write(std::int64_t window, window_counts& counts, std::int64_t current,
                         time_point now) {
  for (std::size_t part = 0; part < counts.changed_parts.size(); ++part) {
    if (!counts.changed_parts[part]) {
      continue;
    }
    counts.changed_parts[part] = false;
    const auto place = slot_for({window, part}, current);
    internal::record_values values{{internal::window_name, window}};
    const std::size_t first = part * workspaces_per_record;
    const std::size_t end = std::min(first + workspaces_per_record, counts.counts.size());
    for (std::size_t index = first; index < end; ++index) {
      const auto& [workspace, requests] = counts.counts[index];
      values[internal::workspace_key(workspace)] = requests;
    }
    const bool written = place && table_.write(replication::topic::usage, std::to_string(*place),
                                               std::move(values), now);
    dropped_ += written ? 0 : 1;
  }
}

void usage_ledger::publish(time_point true_now, time_point now) {
  const std::int64_t current = window_at(true_now, window_length_);
  for (auto& [window, counts] : windows_) {
    const bool changed = std::find(counts.changed_parts.begin(), counts.changed_parts.end(),
                                   true) != counts.changed_parts.end();
    const bool ended = window < current;
    if (changed && (ended || now - counts.written_at >= write_period)) {
      write(window, counts, current, now);
      counts.written_at = now;
    }
  }
  std::erase_if(windows_,
                [&](const auto& each) { return std::abs(each.first - current) >= kept_windows; });
}

workspace_counts usage_ledger::totals(std::int64_t window, time_point now) {
  workspace_counts out;
  if (const auto own = windows_.find(window); own != windows_.end()) {
    for (const auto& [workspace, requests] : own->second.counts) {
      out[workspace] += requests;
    }
  }
  for (const replication::record* each : table_.of(replication::topic::usage, now)) {
    const bool own = each->key.vm == table_.vm() && each->key.incarnation == table_.incarnation();
    if (!own && internal::value_of(each->values, internal::window_name) == window) {
      internal::add_workspaces(each->values, out);
    }
  }
  return out;
}

}  // namespace hawthornnotch::usage
