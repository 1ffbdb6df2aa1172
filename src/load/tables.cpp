#include <array>
#include <cstdio>
#include <set>

#include "hawthornnotch/load/results.h"

namespace hawthornnotch::load {

namespace {

constexpr double percent = 100;

template <class... Values>
std::string formatted(const char* format, Values... values) {
  constexpr std::size_t longest_line = 512;
  std::array<char, longest_line> line{};
  const int length = std::snprintf(line.data(), line.size(), format, values...);
  return {line.data(), std::min(line.size() - 1, static_cast<std::size_t>(length))};
}

unsigned long long number(const class_row& row, sample_end end) { return row.count(end); }

std::string row_text(const class_row& row) {
  return formatted(
      "%-24s %4d %7llu %9llu %6.1f%% %6llu %6llu %7llu %7llu %6llu %8llu %9llu %8llu %8.0f %8.0f "
      "%8.0f %8.0f\n",
      row.class_name.c_str(), row.service_tier, static_cast<unsigned long long>(row.sent),
      number(row, sample_end::in_target), percent * row.attainment(), number(row, sample_end::late),
      number(row, sample_end::shed), number(row, sample_end::not_run),
      number(row, sample_end::unknown), number(row, sample_end::wrong),
      number(row, sample_end::not_sent), static_cast<unsigned long long>(row.tokens_useful),
      static_cast<unsigned long long>(row.tokens_wasted), row.first_token_p50_ms,
      row.first_token_p99_ms, row.between_tokens_p99_ms, row.longest_ms);
}

std::string share_text(double part, double whole) {
  return whole <= 0 ? std::string("-") : formatted("%.1f%%", percent * part / whole);
}

// Runs of one label taken together.
struct label_totals {
  std::vector<std::string> class_names;
  std::map<std::string, std::pair<double, double>> in_target_of_sent;
  double runs = 0;
  double tokens_useful = 0;
  double tokens_generated = 0;
  double answers_per_s = 0;
  double useful_tokens_per_s = 0;
  bool violated = false;
};

void add(label_totals& totals, const run_result& run) {
  for (const class_row& row : run.classes) {
    auto& sums = totals.in_target_of_sent[row.class_name];
    sums.first += static_cast<double>(row.count(sample_end::in_target));
    sums.second += static_cast<double>(row.sent);
  }
  totals.runs += 1;
  totals.tokens_useful += run.tokens_useful;
  totals.tokens_generated += run.tokens_generated;
  totals.answers_per_s += run.answers_per_s;
  totals.useful_tokens_per_s += run.useful_tokens_per_s;
  totals.violated = totals.violated || run.violated();
}

std::string ratio_text(double value, double first) {
  return first <= 0 ? std::string("(-)") : formatted("(%.2f)", value / first);
}

double attainment(const label_totals& totals, const std::string& class_name) {
  const auto sums = totals.in_target_of_sent.find(class_name);
  if (sums == totals.in_target_of_sent.end() || sums->second.second <= 0) {
    return 0;
  }
  return sums->second.first / sums->second.second;
}

double wasted_share(const label_totals& totals) {
  const double wasted = std::max(0.0, totals.tokens_generated - totals.tokens_useful);
  return totals.tokens_generated <= 0 ? 0 : wasted / totals.tokens_generated;
}

using labelled = std::vector<std::pair<std::string, label_totals>>;

labelled by_label(const std::vector<run_result>& results) {
  labelled all;
  for (const run_result& run : results) {
    auto found = std::find_if(all.begin(), all.end(),
                              [&run](const auto& entry) { return entry.first == run.label; });
    if (found == all.end()) {
      all.emplace_back(run.label, label_totals{});
      found = all.end() - 1;
    }
    add(found->second, run);
  }
  return all;
}

template <class Measure>
std::string compare_line(const std::string& name, const labelled& all, double scale,
                         Measure measure) {
  std::string line = formatted("%-28s", name.c_str());
  const double first = measure(all.front().second);
  for (const auto& [label, totals] : all) {
    const double value = measure(totals);
    line += formatted(" %12.2f %-8s", scale * value, ratio_text(value, first).c_str());
  }
  return line + "\n";
}

}  // namespace

std::string table_of(const run_result& run) {
  std::string text =
      formatted("%s  profile %s  seed %llu  %.0f s  base rate %.1f/s  burst load %.2f\n",
                run.label.c_str(), run.profile.c_str(), static_cast<unsigned long long>(run.seed),
                run.seconds, run.base_rate, run.burst_load);
  text +=
      "class                    tier    sent in_target   attn   late   shed not_run unknown  wrong "
      "not_sent    useful   wasted ttft_p50 ttft_p99  gap_p99  longest\n";
  for (const class_row& row : run.classes) {
    text += row_text(row);
  }
  text += formatted("answers in target: %.2f/s\n", run.answers_per_s);
  text +=
      formatted("useful tokens: %.0f/s, %s of capacity %.0f/s; in the burst %.0f/s, %s of %.0f/s\n",
                run.useful_tokens_per_s,
                share_text(run.useful_tokens_per_s, run.capacity_tokens_per_s).c_str(),
                run.capacity_tokens_per_s, run.burst_useful_tokens_per_s,
                share_text(run.burst_useful_tokens_per_s, run.burst_capacity_tokens_per_s).c_str(),
                run.burst_capacity_tokens_per_s);
  text += formatted("tokens: %.0f generated, %.0f useful, %.0f wasted (%s)\n", run.tokens_generated,
                    run.tokens_useful, run.tokens_wasted(),
                    share_text(run.tokens_wasted(), run.tokens_generated).c_str());
  text += formatted("orders: %llu keys checked, %llu ran twice, %llu ran though told not_run\n",
                    static_cast<unsigned long long>(run.orders_checked),
                    static_cast<unsigned long long>(run.double_runs),
                    static_cast<unsigned long long>(run.false_not_run));
  for (const auto& [name, count] : run.errors) {
    text += "error: " + name + " " + std::to_string(count) + "\n";
  }
  for (const std::string& line : run.faults) {
    text += "fault: " + line + "\n";
  }
  for (const std::string& line : run.wrong) {
    text += "wrong: " + line + "\n";
  }
  return text;
}

std::string compare(const std::vector<run_result>& results) {
  if (results.empty()) {
    return {};
  }
  const labelled all = by_label(results);
  std::string text = formatted("%-28s", "value (ratio to the first)");
  for (const auto& [label, totals] : all) {
    text += formatted(" %12.12s %-8s", label.c_str(), formatted("x%.0f", totals.runs).c_str());
  }
  text += "\n";
  std::set<std::string> seen;
  for (const class_row& row : results.front().classes) {
    const std::string name = row.class_name;
    if (seen.insert(name).second) {
      text +=
          compare_line("attainment % " + name, all, percent,
                       [&name](const label_totals& totals) { return attainment(totals, name); });
    }
  }
  text += compare_line("answers in target /s", all, 1, [](const label_totals& totals) {
    return totals.answers_per_s / totals.runs;
  });
  text += compare_line("useful tokens /s", all, 1, [](const label_totals& totals) {
    return totals.useful_tokens_per_s / totals.runs;
  });
  text += compare_line("wasted tokens %", all, percent, wasted_share);
  for (const auto& [label, totals] : all) {
    if (totals.violated) {
      text += "VIOLATED in " + label + "\n";
    }
  }
  return text;
}

}  // namespace hawthornnotch::load
