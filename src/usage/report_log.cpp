#include "hawthornnotch/usage/report_log.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::usage {

namespace {

namespace json = boost::json;

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();
constexpr integer_range natural{0, max_integer};

bool read_counts(const json::object& object, duties::usage_report& into) {
  return std::all_of(object.begin(), object.end(), [&](const auto& each) {
    const std::int64_t* count = each.value().if_int64();
    const bool good = !each.key().empty() && count != nullptr && *count >= 0;
    if (good) {
      into.counts.emplace(each.key(), *count);
    }
    return good;
  });
}

result<fixed_report, log_failure> read_report(const json::object& object) {
  json_reader reader(object, "");
  fixed_report out;
  out.report.window = reader.integer("window", natural);
  out.sent = reader.boolean("sent");
  const json::object* counts = reader.object("counts", true);
  if (reader.finish() || counts == nullptr || !read_counts(*counts, out.report)) {
    return failed{log_failure::malformed};
  }
  return out;
}

json::object to_json(const fixed_report& each) {
  json::object counts;
  for (const auto& [workspace, requests] : each.report.counts) {
    counts[workspace] = requests;
  }
  return {{"window", each.report.window}, {"sent", each.sent}, {"counts", std::move(counts)}};
}

}  // namespace

std::int64_t report_log::next_window() const {
  return reports.empty() ? first_window : std::max(first_window, reports.back().report.window + 1);
}

fixed_report* report_log::find(std::int64_t window) {
  const auto found = std::find_if(reports.begin(), reports.end(), [&](const fixed_report& each) {
    return each.report.window == window;
  });
  return found == reports.end() ? nullptr : &*found;
}

void report_log::insert(fixed_report added) {
  const auto place = std::find_if(reports.begin(), reports.end(), [&](const fixed_report& each) {
    return each.report.window > added.report.window;
  });
  reports.insert(place, std::move(added));
}

void report_log::trim() {
  if (reports.size() > max_reports) {
    reports.erase(reports.begin(), reports.end() - max_reports);
  }
}

std::string encode(const report_log& log) {
  json::array reports;
  for (const fixed_report& each : log.reports) {
    reports.push_back(to_json(each));
  }
  return json::serialize(json::object{
      {"era", log.era}, {"first_window", log.first_window}, {"reports", std::move(reports)}});
}

result<report_log, log_failure> decode_report_log(std::string_view text) {
  const auto object = parse_object(text);
  if (!object) {
    return failed{log_failure::malformed};
  }
  json_reader reader(*object, "");
  report_log out;
  out.era = reader.integer("era", natural);
  out.first_window = reader.integer("first_window", natural);
  const auto reports = reader.objects("reports", true);
  if (reader.finish() || reports.size() > report_log::max_reports) {
    return failed{log_failure::malformed};
  }
  for (const json::object* each : reports) {
    auto report = read_report(*each);
    const bool ascending =
        report && (out.reports.empty() || out.reports.back().report.window < report->report.window);
    if (!ascending) {
      return failed{log_failure::malformed};
    }
    out.reports.push_back(std::move(*report));
  }
  return out;
}

}  // namespace hawthornnotch::usage
