#include "hawthornnotch/usage/report_memory.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "workspace_values.h"

namespace hawthornnotch::usage {

namespace {

constexpr std::string_view subject_prefix = "usage-";
constexpr const char* part_name = "part";
constexpr const char* parts_name = "parts";
/// Three values of a record are the numbers of the window, of the part and of all parts.
constexpr std::size_t workspaces_per_record = replication::max_values_per_record - 3;
/// Windows that this process itself remembers: those that can still be sent, and some more.
constexpr std::size_t max_own_reports = 2 * report_log::max_reports;

std::size_t parts_of(const duties::usage_report& report) {
  const std::size_t full =
      (report.counts.size() + workspaces_per_record - 1) / workspaces_per_record;
  return std::max(full, std::size_t{1});
}

std::vector<internal::record_values> to_records(const duties::usage_report& report) {
  const std::size_t parts = parts_of(report);
  std::vector<internal::record_values> out;
  for (std::size_t part = 0; part < parts; ++part) {
    out.push_back({{internal::window_name, report.window},
                   {part_name, static_cast<std::int64_t>(part)},
                   {parts_name, static_cast<std::int64_t>(parts)}});
  }
  std::size_t index = 0;
  for (const auto& [workspace, requests] : report.counts) {
    out[index / workspaces_per_record][internal::workspace_key(workspace)] = requests;
    ++index;
  }
  return out;
}

// The parts of one report that one process published.
struct collected {
  std::int64_t parts = 0;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> counts_by_part;

  [[nodiscard]] bool complete() const {
    return static_cast<std::int64_t>(counts_by_part.size()) == parts;
  }
  [[nodiscard]] duties::usage_report report(std::int64_t window) const {
    duties::usage_report out;
    out.window = window;
    for (const auto& [part, counts] : counts_by_part) {
      out.counts.insert(counts.begin(), counts.end());
    }
    return out;
  }
};

// VM, incarnation and window.
using writer_window = std::tuple<std::string_view, std::string_view, std::int64_t>;

std::map<writer_window, collected> collect(const std::vector<const replication::record*>& records) {
  std::map<writer_window, collected> out;
  for (const replication::record* each : records) {
    const auto window = internal::value_of(each->values, internal::window_name);
    const auto part = internal::value_of(each->values, part_name);
    const auto parts = internal::value_of(each->values, parts_name);
    if (!each->key.subject.starts_with(subject_prefix) || !window || !part || !parts) {
      continue;
    }
    collected& into = out[writer_window(each->key.vm, each->key.incarnation, *window)];
    into.parts = *parts;
    internal::add_workspaces(each->values, into.counts_by_part[*part]);
  }
  return out;
}

void add(report_memory::contents& to, const duties::usage_report& report) {
  const auto [known, added] = to.emplace(report.window, report);
  if (!added && known->second != report) {
    known->second.reset();
  }
}

}  // namespace

bool report_memory::is_published(const slot& wanted) const {
  return std::find(slots_.begin(), slots_.end(), wanted) != slots_.end();
}

void report_memory::publish(const duties::usage_report& report, std::int64_t oldest_kept,
                            time_point now) {
  std::vector<internal::record_values> records = to_records(report);
  for (std::size_t part = 0; part < records.size(); ++part) {
    if (is_published({report.window, part})) {
      continue;
    }
    const auto place = std::find_if(slots_.begin(), slots_.end(), [&](const auto& each) {
      return !each || each->window < oldest_kept;
    });
    if (place != slots_.end()) {
      *place = slot{report.window, part};
      const auto index = static_cast<std::size_t>(place - slots_.begin());
      table_.write(replication::topic::duty, std::string(subject_prefix) + std::to_string(index),
                   std::move(records[part]), now);
    }
  }
}

void report_memory::remember(const report_log& fixed, time_point now) {
  for (const fixed_report& each : fixed.reports) {
    own_.emplace(each.report.window, each.report);
  }
  while (own_.size() > max_own_reports) {
    own_.erase(own_.begin());
  }
  std::size_t used = 0;
  auto first = fixed.reports.end();
  while (first != fixed.reports.begin()) {
    used += parts_of(std::prev(first)->report);
    if (used > max_records) {
      break;
    }
    --first;
  }
  for (auto each = first; each != fixed.reports.end(); ++each) {
    publish(each->report, first->report.window, now);
  }
}

report_memory::contents report_memory::recall(time_point now) {
  contents out;
  for (const auto& [window, report] : own_) {
    add(out, report);
  }
  for (const auto& [writer, parts] : collect(table_.of(replication::topic::duty, now))) {
    if (parts.complete()) {
      add(out, parts.report(std::get<std::int64_t>(writer)));
    }
  }
  return out;
}

}  // namespace hawthornnotch::usage
