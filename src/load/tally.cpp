#include <algorithm>
#include <array>
#include <cmath>

#include "hawthornnotch/load/results.h"
#include "hawthornnotch/observe/request_outcomes.h"

namespace hawthornnotch::load {

namespace {

// Times of one class, to take quantiles of.
struct class_times {
  std::vector<double> first_token;
  std::vector<double> between_tokens;
  std::vector<double> completion;
};

double quantile(std::vector<double>& values, double probability) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(probability * static_cast<double>(values.size()));
  return values.at(static_cast<std::size_t>(std::max(1.0, rank)) - 1);
}

bool is_answered(sample_end end) { return end == sample_end::in_target || end == sample_end::late; }

void add_times(class_times& times, const sample& done) {
  if (done.first_token) {
    times.first_token.push_back(static_cast<double>(done.first_token->ms));
  }
  if (done.between_tokens) {
    times.between_tokens.push_back(static_cast<double>(done.between_tokens->ms));
  }
  times.completion.push_back(static_cast<double>(done.completion.ms));
}

void add(class_row& row, const sample& done,
         const std::map<std::string, std::uint64_t>& generated_by_request) {
  constexpr double none = 0;
  ++row.sent;
  ++row.ends[static_cast<std::size_t>(done.end)];
  const std::uint64_t useful = is_answered(done.end) ? done.tokens : 0;
  row.tokens_useful += useful;
  const auto generated = generated_by_request.find(done.request_id);
  if (generated != generated_by_request.end() && generated->second > useful) {
    row.tokens_wasted += generated->second - useful;
  }
  const double waited = is_answered(done.end) ? static_cast<double>(done.completion.ms) : none;
  row.longest_ms = std::max(row.longest_ms, waited);
}

void fill_quantiles(class_row& row, class_times& times) {
  constexpr double half = 0.5;
  constexpr double nearly_all = 0.99;
  row.first_token_p50_ms = quantile(times.first_token, half);
  row.first_token_p99_ms = quantile(times.first_token, nearly_all);
  row.between_tokens_p99_ms = quantile(times.between_tokens, nearly_all);
  row.completion_p99_ms = quantile(times.completion, nearly_all);
}

}  // namespace

std::string_view to_string(sample_end end) {
  static constexpr std::array<std::string_view, sample_end_count> names = {
      "not_sent", "in_target", "late", "shed", "not_run", "unknown", "wrong"};
  return names.at(static_cast<std::size_t>(end));
}

double class_row::attainment() const {
  return sent == 0 ? 0
                   : static_cast<double>(count(sample_end::in_target)) / static_cast<double>(sent);
}

double run_result::tokens_wasted() const { return std::max(0.0, tokens_generated - tokens_useful); }

bool run_result::violated() const {
  std::uint64_t wrong_answers = 0;
  for (const class_row& row : classes) {
    wrong_answers += row.count(sample_end::wrong);
  }
  return wrong_answers + double_runs + false_not_run > 0;
}

sample_end judge(const request_kind& kind, const sample& done) {
  observe::finished_request seen;
  seen.target = kind.target;
  seen.end = observe::request_end::completed;
  seen.first_token = done.first_token;
  seen.between_tokens = done.between_tokens;
  seen.completion = done.completion;
  return observe::check_targets(seen).all() ? sample_end::in_target : sample_end::late;
}

std::vector<class_row> tally(const profile& mix, const std::vector<planned_request>& planned,
                             const std::vector<sample>& samples,
                             const std::map<std::string, std::uint64_t>& generated_by_request) {
  std::map<std::pair<bool, std::size_t>, class_row> rows;
  std::map<std::pair<bool, std::size_t>, class_times> times;
  for (std::size_t index = 0; index < planned.size(); ++index) {
    const auto key = std::make_pair(planned[index].is_repeat, planned[index].kind);
    add(rows[key], samples.at(index), generated_by_request);
    if (is_answered(samples[index].end)) {
      add_times(times[key], samples[index]);
    }
  }
  std::vector<class_row> all;
  for (auto& [key, row] : rows) {
    const request_kind& kind = mix.kinds.at(key.second);
    row.class_name = key.first ? kind.class_name + "/repeat" : kind.class_name;
    row.service_tier = kind.service_tier;
    fill_quantiles(row, times[key]);
    all.push_back(row);
  }
  std::stable_sort(all.begin(), all.end(), [](const class_row& one, const class_row& other) {
    return one.service_tier < other.service_tier;
  });
  return all;
}

}  // namespace hawthornnotch::load
