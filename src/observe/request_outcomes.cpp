#include "hawthornnotch/observe/request_outcomes.h"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <tuple>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/observe/field.h"

namespace hawthornnotch::observe {

namespace {

constexpr std::size_t shard_count = 8;
constexpr std::size_t max_classes_per_shard = 32;
constexpr std::string_view overflow_class = "other";
constexpr double ms_per_second = 1000;

struct class_totals {
  std::uint64_t ended = 0;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t caller_gone = 0;
  std::uint64_t in_target = 0;
  std::uint64_t first_token_in_target = 0;
  std::uint64_t between_tokens_in_target = 0;
  std::uint64_t completion_in_target = 0;
  std::uint64_t useful_tokens = 0;
  std::uint64_t wasted_tokens = 0;
  std::uint64_t retries = 0;
  std::int64_t longest_queue_wait_ms = 0;
};

struct class_key {
  std::string class_name;
  tier service_tier = 0;
  bool operator<(const class_key& other) const {
    return std::tie(class_name, service_tier) < std::tie(other.class_name, other.service_tier);
  }
};

struct shard {
  mutable std::mutex mutex;
  std::map<class_key, class_totals> totals;
};

bool within(std::optional<duration> measured, std::optional<duration> target) {
  return !target || !measured || *measured <= *target;
}

std::uint64_t& outcome_counter(class_totals& totals, request_end end) {
  switch (end) {
    case request_end::completed:
      return totals.completed;
    case request_end::not_run:
      return totals.not_run;
    case request_end::unknown:
      return totals.unknown;
    case request_end::caller_gone:
      return totals.caller_gone;
  }
  return totals.unknown;
}

void add(class_totals& totals, const finished_request& request, const target_check& met) {
  ++totals.ended;
  ++outcome_counter(totals, request.end);
  totals.in_target += met.all() ? 1 : 0;
  totals.first_token_in_target += met.first_token ? 1 : 0;
  totals.between_tokens_in_target += met.between_tokens ? 1 : 0;
  totals.completion_in_target += met.completion ? 1 : 0;
  totals.useful_tokens += request.useful_tokens;
  totals.wasted_tokens += request.wasted_tokens;
  totals.retries += request.retries;
  totals.longest_queue_wait_ms = std::max(totals.longest_queue_wait_ms, request.queue_wait.ms);
}

void append_member(std::string& out, const field& item) {
  out += out.back() == '{' ? "" : ",";
  append_json_text(out, item.key);
  out += ':';
  append_json_value(out, item.value);
}

void append_class(std::string& out, const class_key& key, const class_totals& totals,
                  duration uptime) {
  const auto ended = static_cast<double>(std::max<std::uint64_t>(1, totals.ended));
  const double seconds = static_cast<double>(std::max<std::int64_t>(1, uptime.ms)) / ms_per_second;
  out += '{';
  append_member(out, {"class", key.class_name});
  append_member(out, {"tier", key.service_tier});
  append_member(out, {"ended", totals.ended});
  append_member(out, {"completed", totals.completed});
  append_member(out, {"not_run", totals.not_run});
  append_member(out, {"unknown", totals.unknown});
  append_member(out, {"caller_gone", totals.caller_gone});
  append_member(out, {"in_target", totals.in_target});
  append_member(out, {"first_token_in_target", totals.first_token_in_target});
  append_member(out, {"between_tokens_in_target", totals.between_tokens_in_target});
  append_member(out, {"completion_in_target", totals.completion_in_target});
  append_member(out, {"attainment", static_cast<double>(totals.in_target) / ended});
  append_member(out, {"goodput_per_s", static_cast<double>(totals.in_target) / seconds});
  append_member(out, {"useful_tokens", totals.useful_tokens});
  append_member(out, {"wasted_tokens", totals.wasted_tokens});
  append_member(out, {"retries", totals.retries});
  append_member(out, {"longest_queue_wait_ms", totals.longest_queue_wait_ms});
  out += '}';
}

class sharded_outcomes final : public request_outcomes {
 public:
  sharded_outcomes(metrics& all, const clock& time)
      : metrics_(all), clock_(time), started_(time.now()) {}

  void record(const finished_request& request) override {
    const target_check met = check_targets(request);
    add_to_shard(request, met);
    const char tier_digit = static_cast<char>('0' + request.service_tier);
    const std::string_view tier_text(&tier_digit, 1);
    count_end(request, met, tier_text);
    observe_times(request, tier_text);
    count_work(request, tier_text);
  }

  [[nodiscard]] std::string summary_json() const override {
    const duration uptime = clock_.now() - started_;
    std::string out = "{\"uptime_ms\":" + std::to_string(uptime.ms) + ",\"classes\":[";
    for (const shard& each : shards_) {
      const std::lock_guard lock(each.mutex);
      for (const auto& [key, totals] : each.totals) {
        out += out.back() == '[' ? "" : ",";
        append_class(out, key, totals, uptime);
      }
    }
    out += "]}";
    return out;
  }

 private:
  void add_to_shard(const finished_request& request, const target_check& met) {
    shard& home = shards_.at(stable_hash(request.class_name) % shard_count);
    const std::lock_guard lock(home.mutex);
    class_key key{std::string(request.class_name), request.service_tier};
    if (home.totals.size() >= max_classes_per_shard && !home.totals.contains(key)) {
      key.class_name = overflow_class;
    }
    add(home.totals[key], request, met);
  }

  void count_end(const finished_request& request, const target_check& met,
                 std::string_view tier_text) {
    metrics_.count(
        "hawthornnotch_requests_total",
        {{"class", request.class_name}, {"tier", tier_text}, {"end", to_string(request.end)}});
    const std::array<std::pair<std::string_view, bool>, 4> targets = {
        {{"first_token", met.first_token},
         {"between_tokens", met.between_tokens},
         {"completion", met.completion},
         {"all", met.all()}}};
    for (const auto& [target, is_met] : targets) {
      if (is_met) {
        metrics_.count("hawthornnotch_in_target_total",
                       {{"class", request.class_name}, {"tier", tier_text}, {"target", target}});
      }
    }
    if (!request.backend_server.empty()) {
      metrics_.count("hawthornnotch_backend_requests_total",
                     {{"backend_server", request.backend_server}, {"end", to_string(request.end)}});
    }
  }

  void observe_times(const finished_request& request, std::string_view tier_text) {
    const label_list labels = {{"class", request.class_name}, {"tier", tier_text}};
    metrics_.observe("hawthornnotch_queue_wait_ms", labels,
                     static_cast<double>(request.queue_wait.ms));
    if (request.end != request_end::completed) {
      return;
    }
    metrics_.observe("hawthornnotch_completion_ms", labels,
                     static_cast<double>(request.completion.ms));
    if (request.first_token) {
      const auto value = static_cast<double>(request.first_token->ms);
      metrics_.observe("hawthornnotch_first_token_ms", labels, value);
      metrics_.observe("hawthornnotch_backend_first_token_ms",
                       {{"backend_server", request.backend_server}}, value);
    }
    if (request.between_tokens) {
      const auto value = static_cast<double>(request.between_tokens->ms);
      metrics_.observe("hawthornnotch_between_tokens_ms", labels, value);
      metrics_.observe("hawthornnotch_backend_between_tokens_ms",
                       {{"backend_server", request.backend_server}}, value);
    }
  }

  void count_work(const finished_request& request, std::string_view tier_text) {
    const label_list labels = {{"class", request.class_name}, {"tier", tier_text}};
    if (request.useful_tokens > 0) {
      metrics_.count("hawthornnotch_useful_tokens_total", labels, request.useful_tokens);
    }
    if (request.wasted_tokens > 0) {
      metrics_.count("hawthornnotch_wasted_tokens_total", labels, request.wasted_tokens);
    }
    if (request.retries > 0) {
      metrics_.count("hawthornnotch_retries_total", labels, request.retries);
    }
  }

  metrics& metrics_;
  const clock& clock_;
  time_point started_;
  std::array<shard, shard_count> shards_;
};

}  // namespace

std::string_view to_string(request_end end) {
  static constexpr std::array<std::string_view, 4> names = {"completed", "not_run", "unknown",
                                                            "caller_gone"};
  return names.at(static_cast<std::size_t>(end));
}

target_check check_targets(const finished_request& request) {
  if (request.end != request_end::completed) {
    return {};
  }
  return {within(request.first_token, request.target.first_token),
          within(request.between_tokens, request.target.between_tokens),
          within(request.completion, request.target.completion)};
}

std::unique_ptr<request_outcomes> request_outcomes::create(metrics& all, const clock& time) {
  return std::make_unique<sharded_outcomes>(all, time);
}

}  // namespace hawthornnotch::observe
