#include "hawthornnotch/router/settings.h"

namespace hawthornnotch::router {

namespace {

constexpr std::int64_t most_ms = 3'600'000;
constexpr std::int64_t most_bytes = 1'073'741'824;
constexpr std::int64_t most_threads = 64;
constexpr integer_range any_time{1, most_ms};

// Runs `read` on a nested object, if it is there, and takes over its failure.
template <class Read>
void section(json_reader& parent, std::string_view key, Read read) {
  const boost::json::object* object = parent.object(key);
  if (object == nullptr) {
    return;
  }
  json_reader reader(*object, parent.path_of(key));
  read(reader);
  if (auto failure = reader.finish()) {
    parent.fail(std::move(*failure));
  }
}

template <class Number>
void read_number(json_reader& reader, std::string_view key, integer_range range, Number& into) {
  into = static_cast<Number>(reader.integer(key, range, static_cast<std::int64_t>(into)));
}

void read_time(json_reader& reader, std::string_view key, duration& into) {
  into = reader.milliseconds(key, any_time, into);
}

void read_callers(json_reader& reader, net::server_limits& into) {
  read_number(reader, "header_bytes", {1024, most_bytes}, into.header_bytes);
  read_number(reader, "body_bytes", {1024, most_bytes}, into.body_bytes);
  read_number(reader, "connections", {1, 1'000'000}, into.connections);
  read_time(reader, "read_timeout_ms", into.read_timeout);
  read_time(reader, "write_timeout_ms", into.write_timeout);
  read_time(reader, "idle_timeout_ms", into.idle_timeout);
}

void read_backend(json_reader& reader, backend_limits& into) {
  read_time(reader, "connect_timeout_ms", into.connect_timeout);
  read_time(reader, "head_timeout_ms", into.head_timeout);
  read_time(reader, "stream_timeout_ms", into.stream_timeout);
  read_number(reader, "answer_bytes", {1024, most_bytes}, into.answer_bytes);
  read_number(reader, "event_bytes", {1024, most_bytes}, into.event_bytes);
  read_number(reader, "idle_connections", {0, 10'000}, into.idle_connections);
}

policy::policy_kind read_policy_kind(json_reader& reader) {
  switch (reader.choice("kind", {"tiered", "round_robin", "least_outstanding"}, 0)) {
    case 1:
      return policy::round_robin{};
    case 2:
      return policy::least_outstanding{};
    default:
      return policy::tiered{};
  }
}

void read_policy(json_reader& reader, policy::scheduler_settings& into) {
  into.policy = read_policy_kind(reader);
  read_number(reader, "queue_bound", {1, 1'000'000}, into.queue.max_queued);
  read_time(reader, "longest_gap_ms", into.queue.max_dispatch_gap);
  read_time(reader, "longest_retry_after_ms", into.queue.max_retry_after);
  read_number(reader, "candidates", {1, 16}, into.choice.candidates);
  read_number(reader, "subset", {2, 10'000}, into.choice.min_subset_size);
  into.choice.prefix_bonus = reader.number("prefix_bonus", 0, 1, into.choice.prefix_bonus);
  into.window.max_fraction = reader.number("window_most", 1, 8, into.window.max_fraction);
  into.ejection.max_ejected_fraction =
      reader.number("most_ejected", 0, 0.5, into.ejection.max_ejected_fraction);
  into.length.quantile = reader.number("length_quantile", 0.5, 0.99, into.length.quantile);
  read_number(reader, "most_attempts", {1, 10}, into.retry.max_attempts);
  read_number(reader, "shards", {1, 16}, into.shards);
}

void read_claims(json_reader& reader, claim::claim_settings& into) {
  read_time(reader, "claim_timeout_ms", into.claim_timeout);
  read_time(reader, "retry_pause_ms", into.retry_pause);
  read_time(reader, "outage_pause_ms", into.outage_pause);
  read_time(reader, "in_progress_limit_ms", into.in_progress_limit);
  into.retention = reader.milliseconds("retention_ms", {60'000, 30LL * 86'400'000}, into.retention);
  read_number(reader, "live_claims", {1, 1'000'000}, into.live_claims);
  read_number(reader, "recorded_body_bytes", {0, 900'000}, into.recorded_body_limit);
}

void read_stop(json_reader& reader, stop_settings& into) {
  into.balancer_notice =
      reader.milliseconds("balancer_notice_ms", {0, most_ms}, into.balancer_notice);
  read_time(reader, "longest_drain_ms", into.longest_drain);
  read_time(reader, "longest_settling_ms", into.longest_settling);
}

void read_log(json_reader& reader, observe::log_settings& into) {
  into.threshold = static_cast<observe::level>(
      reader.choice("level", {"debug", "info", "warning", "error"}, std::size_t{1}));
  into.format = static_cast<observe::log_format>(
      reader.choice("format", {"json", "key_value"}, std::size_t{0}));
}

void read_addresses(json_reader& reader, std::vector<endpoint>& into) {
  for (const std::string& text : reader.texts("platform", true)) {
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
      reader.fail({settings_fault::wrong_type, reader.path_of("platform"), text, "ADDRESS:PORT"});
      return;
    }
    into.push_back(*parsed);
  }
  if (into.empty()) {
    reader.fail({settings_fault::out_of_range, reader.path_of("platform"), "[]",
                 "at least one ADDRESS:PORT"});
  }
}

void read_identity(json_reader& reader, router_settings& into) {
  into.vm = reader.text("vm");
  into.failure_domain = reader.text("failure_domain");
  into.listen = reader.address("listen");
  into.operator_listen = reader.address("operator_listen");
  read_addresses(reader, into.platform);
  read_number(reader, "threads", {1, most_threads}, into.threads);
  into.authenticate = reader.boolean("authenticate", into.authenticate);
  read_number(reader, "explain_capacity", {16, 10'000'000}, into.explain_capacity);
  read_number(reader, "seed", {0, 1'000'000'000}, into.seed);
}

}  // namespace

result<router_settings, settings_failure> parse_router_settings(const boost::json::object& object) {
  router_settings settings;
  json_reader reader(object, "");
  read_identity(reader, settings);
  section(reader, "callers", [&](json_reader& r) { read_callers(r, settings.caller_limits); });
  section(reader, "backend", [&](json_reader& r) { read_backend(r, settings.backend); });
  section(reader, "policy", [&](json_reader& r) { read_policy(r, settings.scheduler); });
  section(reader, "claims", [&](json_reader& r) { read_claims(r, settings.claims); });
  section(reader, "stop", [&](json_reader& r) { read_stop(r, settings.stop); });
  section(reader, "log", [&](json_reader& r) { read_log(r, settings.log); });
  if (auto failure = reader.finish()) {
    return failed{std::move(*failure)};
  }
  return settings;
}

}  // namespace hawthornnotch::router
