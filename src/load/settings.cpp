#include "hawthornnotch/load/settings.h"

namespace hawthornnotch::load {

namespace {

namespace json = boost::json;

constexpr integer_range any_seed{0, 1'000'000'000};
constexpr integer_range any_length_s{1, 3'600};
constexpr integer_range any_open_requests{1, 20'000};
constexpr integer_range any_patience_ms{100, 600'000};
constexpr integer_range any_thread_count{1, 16};
constexpr integer_range any_slots{1, 4'096};
constexpr integer_range any_fault_count{0, 1'000'000};
constexpr double most_requests_per_second = 20'000;
constexpr double most_burst_load = 20;
constexpr double longest_step_ms = 60'000;
constexpr double largest_fault_value = 1e9;
constexpr std::int64_t ms_per_second = 1000;

const std::vector<std::string> profile_names = {"poledica", "roundabout"};

void keep_failure(json_reader& reader, const json_reader& nested) {
  if (auto failure = nested.finish()) {
    reader.fail(*failure);
  }
}

std::vector<endpoint> addresses(json_reader& reader, const char* key, bool required) {
  std::vector<endpoint> all;
  for (const std::string& text : reader.texts(key, required)) {
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
      reader.fail({settings_fault::out_of_range, reader.path_of(key), text, "address:port"});
      continue;
    }
    all.push_back(*parsed);
  }
  return all;
}

std::vector<engine_target> engines_from(json_reader& reader) {
  std::vector<engine_target> all;
  for (const json::object* object : reader.objects("engines")) {
    json_reader nested(*object, reader.path_of("engines"));
    engine_target next;
    next.address = nested.address("address");
    next.speed.slots = static_cast<std::uint32_t>(nested.integer("slots", any_slots));
    next.speed.first_token_ms = nested.number("first_token_ms", 0, longest_step_ms);
    next.speed.token_ms = nested.number("token_ms", 0, longest_step_ms);
    next.speed.slowdown = nested.number("slowdown", 0, 1, 0);
    keep_failure(reader, nested);
    all.push_back(next);
  }
  return all;
}

std::vector<fault_order> faults_from(json_reader& reader, duration length) {
  std::vector<fault_order> all;
  for (const json::object* object : reader.objects("faults")) {
    json_reader nested(*object, reader.path_of("faults"));
    fault_order next;
    next.at = nested.milliseconds("at_ms", {0, length.ms});
    next.target = nested.address("target");
    next.kind = nested.text("kind");
    next.value = nested.number("value", 0, largest_fault_value, 0);
    next.count = static_cast<std::uint64_t>(nested.integer("count", any_fault_count, 0));
    next.path = nested.text("path", "");
    keep_failure(reader, nested);
    all.push_back(next);
  }
  return all;
}

double nominal_capacity(const load_settings& settings, double mean_tokens) {
  double sum = 0;
  for (const engine_target& engine : settings.engines) {
    sum += capacity_of(engine.speed, mean_tokens);
  }
  return sum;
}

// Tokens per second that the burst asks for at a base rate of one request per second.
double burst_tokens_per_base_request(const profile& mix) {
  const mean_demand burst = demand_of(mix, true);
  return burst.rate_factor * burst.engine_share * burst.tokens;
}

void fill_rates(load_settings& settings) {
  const double capacity = nominal_capacity(settings, demand_of(settings.mix, true).tokens);
  const double per_base_request = burst_tokens_per_base_request(settings.mix);
  if (settings.base_rate <= 0) {
    settings.base_rate = settings.burst_load * capacity / per_base_request;
  } else if (capacity > 0) {
    settings.burst_load = settings.base_rate * per_base_request / capacity;
  }
}

// The part of its speed that an engine has left.
double speed_left(const load_settings& settings, const endpoint& engine, duration now) {
  double slow_factor = 1;
  bool down = false;
  for (const fault_order& fault : settings.faults) {
    if (fault.at > now || fault.target != engine) {
      continue;
    }
    if (fault.kind == "clear") {
      slow_factor = 1;
      down = false;
    } else if (fault.kind == "slow" && fault.value > 0) {
      slow_factor = fault.value;
    } else if (fault.kind == "down" && fault.count == 0) {
      down = true;
    }
  }
  return down ? 0 : 1 / slow_factor;
}

}  // namespace

result<load_settings, settings_failure> parse_load_settings(const json::object& object) {
  json_reader reader(object, "");
  load_settings into;
  into.label = reader.text("label", "run");
  into.mix = profile_named(profile_names.at(reader.choice("profile", profile_names))).value();
  into.model = reader.text("model");
  into.seed = static_cast<std::uint64_t>(reader.integer("seed", any_seed, 1));
  into.length = {reader.integer("length_s", any_length_s, 30) * ms_per_second};
  into.base_rate = reader.number("base_rate_per_s", 0, most_requests_per_second, 0);
  into.burst_load = reader.number("burst_load", 0, most_burst_load, 0);
  into.routers = addresses(reader, "routers", true);
  into.engines = engines_from(reader);
  into.services = addresses(reader, "services", false);
  into.faults = faults_from(reader, into.length);
  into.bearer_key = reader.text("bearer_key", "");
  into.open_requests = static_cast<std::size_t>(reader.integer(
      "open_requests", any_open_requests, static_cast<std::int64_t>(into.open_requests)));
  into.patience = reader.milliseconds("patience_ms", any_patience_ms, into.patience);
  into.threads = static_cast<std::size_t>(reader.integer("threads", any_thread_count, 2));
  if (into.routers.empty()) {
    reader.fail({settings_fault::out_of_range, "routers", "[]", "at least one address:port"});
  }
  if ((into.base_rate > 0) == (into.burst_load > 0)) {
    reader.fail(
        {settings_fault::out_of_range, "burst_load", "", "either base_rate_per_s or burst_load"});
  }
  if (into.burst_load > 0 && into.engines.empty()) {
    reader.fail({settings_fault::missing_key, "engines", "", "engines, where burst_load is given"});
  }
  if (auto failure = reader.finish()) {
    return failed{*failure};
  }
  fill_rates(into);
  return into;
}

double capacity_at(const load_settings& settings, std::int64_t second) {
  const duration now{second * ms_per_second};
  const auto whole = static_cast<double>(settings.length.ms);
  const auto at = static_cast<double>(now.ms);
  const bool in_burst =
      at >= settings.mix.burst_begin * whole && at < settings.mix.burst_end * whole;
  const double mean_tokens = demand_of(settings.mix, in_burst).tokens;
  double sum = 0;
  for (const engine_target& engine : settings.engines) {
    sum += capacity_of(engine.speed, mean_tokens) * speed_left(settings, engine.address, now);
  }
  return sum;
}

}  // namespace hawthornnotch::load
