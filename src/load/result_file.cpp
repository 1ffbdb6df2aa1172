#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <sstream>

#include "hawthornnotch/load/results.h"

namespace hawthornnotch::load {

namespace {

namespace json = boost::json;

constexpr int format_version = 1;

json::object row_to_json(const class_row& row) {
  json::object into;
  into["class"] = row.class_name;
  into["tier"] = row.service_tier;
  into["sent"] = row.sent;
  for (std::size_t index = 0; index < sample_end_count; ++index) {
    into[to_string(static_cast<sample_end>(index))] = row.ends[index];
  }
  into["attainment"] = row.attainment();
  into["tokens_useful"] = row.tokens_useful;
  into["tokens_wasted"] = row.tokens_wasted;
  into["first_token_p50_ms"] = row.first_token_p50_ms;
  into["first_token_p99_ms"] = row.first_token_p99_ms;
  into["between_tokens_p99_ms"] = row.between_tokens_p99_ms;
  into["completion_p99_ms"] = row.completion_p99_ms;
  into["longest_ms"] = row.longest_ms;
  return into;
}

json::array texts_to_json(const std::vector<std::string>& texts) {
  json::array into;
  for (const std::string& text : texts) {
    into.emplace_back(text);
  }
  return into;
}

double number_at(const json::object& from, const char* key) {
  return from.at(key).to_number<double>();
}

std::uint64_t count_at(const json::object& from, std::string_view key) {
  return from.at(key).to_number<std::uint64_t>();
}

class_row row_from(const json::object& from) {
  class_row row;
  row.class_name = from.at("class").as_string();
  row.service_tier = static_cast<tier>(count_at(from, "tier"));
  row.sent = count_at(from, "sent");
  for (std::size_t index = 0; index < sample_end_count; ++index) {
    row.ends[index] = count_at(from, to_string(static_cast<sample_end>(index)));
  }
  row.tokens_useful = count_at(from, "tokens_useful");
  row.tokens_wasted = count_at(from, "tokens_wasted");
  row.first_token_p50_ms = number_at(from, "first_token_p50_ms");
  row.first_token_p99_ms = number_at(from, "first_token_p99_ms");
  row.between_tokens_p99_ms = number_at(from, "between_tokens_p99_ms");
  row.completion_p99_ms = number_at(from, "completion_p99_ms");
  row.longest_ms = number_at(from, "longest_ms");
  return row;
}

run_result run_from(const json::object& from) {
  run_result into;
  into.label = from.at("label").as_string();
  into.profile = from.at("profile").as_string();
  into.seed = count_at(from, "seed");
  into.base_rate = number_at(from, "base_rate");
  into.burst_load = number_at(from, "burst_load");
  into.seconds = number_at(from, "seconds");
  for (const json::value& row : from.at("classes").as_array()) {
    into.classes.push_back(row_from(row.as_object()));
  }
  into.answers_per_s = number_at(from, "answers_per_s");
  into.tokens_useful = number_at(from, "tokens_useful");
  into.tokens_generated = number_at(from, "tokens_generated");
  into.useful_tokens_per_s = number_at(from, "useful_tokens_per_s");
  into.capacity_tokens_per_s = number_at(from, "capacity_tokens_per_s");
  into.burst_useful_tokens_per_s = number_at(from, "burst_useful_tokens_per_s");
  into.burst_capacity_tokens_per_s = number_at(from, "burst_capacity_tokens_per_s");
  into.double_runs = count_at(from, "double_runs");
  into.false_not_run = count_at(from, "false_not_run");
  into.orders_checked = count_at(from, "orders_checked");
  return into;
}

}  // namespace

json::object to_json(const run_result& result) {
  json::object into;
  into["format"] = format_version;
  into["label"] = result.label;
  into["profile"] = result.profile;
  into["seed"] = result.seed;
  into["base_rate"] = result.base_rate;
  into["burst_load"] = result.burst_load;
  into["seconds"] = result.seconds;
  json::array rows;
  for (const class_row& row : result.classes) {
    rows.emplace_back(row_to_json(row));
  }
  into["classes"] = std::move(rows);
  into["answers_per_s"] = result.answers_per_s;
  into["tokens_useful"] = result.tokens_useful;
  into["tokens_generated"] = result.tokens_generated;
  into["tokens_wasted"] = result.tokens_wasted();
  into["useful_tokens_per_s"] = result.useful_tokens_per_s;
  into["capacity_tokens_per_s"] = result.capacity_tokens_per_s;
  into["burst_useful_tokens_per_s"] = result.burst_useful_tokens_per_s;
  into["burst_capacity_tokens_per_s"] = result.burst_capacity_tokens_per_s;
  into["double_runs"] = result.double_runs;
  into["false_not_run"] = result.false_not_run;
  into["orders_checked"] = result.orders_checked;
  into["faults"] = texts_to_json(result.faults);
  json::object errors;
  for (const auto& [name, count] : result.errors) {
    errors[name] = count;
  }
  into["errors"] = std::move(errors);
  into["wrong"] = texts_to_json(result.wrong);
  return into;
}

result<run_result, result_file_failure> read_result(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return failed{result_file_failure::missing};
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    return run_from(json::parse(text.str()).as_object());
  } catch (const std::exception&) {
    return failed{result_file_failure::malformed};
  }
}

}  // namespace hawthornnotch::load
