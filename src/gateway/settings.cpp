#include "hawthornnotch/gateway/settings.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::gateway {

namespace {

constexpr double ms_per_second = 1'000.0;
constexpr double max_seconds = 3'600.0;
constexpr double max_retry_slack = 1'000'000.0;
constexpr integer_range bound_range_ms{100, 3'600'000};
constexpr integer_range hold_range_ms{0, 60'000};
/// The duties' lease time is the lower bound if a shorter one is configured.
constexpr std::int64_t min_lease_ms = 3'000;
constexpr integer_range lease_range_ms{100, 60'000};
constexpr double min_calls_per_s = 0.1;
constexpr double max_calls_per_s = 10'000;
constexpr integer_range descriptor_range{64, 1'000'000};

duration read_seconds(json_reader& reader, std::string_view key, duration fallback) {
  const double seconds =
      reader.number(key, 0.1, max_seconds, static_cast<double>(fallback.ms) / ms_per_second);
  return {static_cast<std::int64_t>(seconds * ms_per_second)};
}

void read_retries(json_reader& parent, dispatch::retry_budget_settings& into) {
  const boost::json::object* object = parent.object("retries");
  if (object == nullptr) {
    return;
  }
  json_reader reader(*object, parent.path_of("retries"));
  into.ratio = reader.number("ratio", 0, 10, into.ratio);
  into.slack = reader.number("slack", 0, max_retry_slack, into.slack);
  into.window = read_seconds(reader, "window_s", into.window);
  if (auto failure = reader.finish()) {
    parent.fail(std::move(*failure));
  }
}

// The list of kinds may name duties of a later release.
void read_duties(json_reader& parent, std::optional<duty_settings>& into) {
  const boost::json::object* object = parent.object("duties");
  if (object == nullptr) {
    return;
  }
  json_reader reader(*object, parent.path_of("duties"));
  duty_settings settings;
  settings.control = reader.address("control");
  const duration lease = reader.milliseconds("lease_ms", lease_range_ms, settings.lease);
  settings.lease = {std::max(lease.ms, min_lease_ms)};
  settings.rate_per_s =
      reader.number("rate_per_s", min_calls_per_s, max_calls_per_s, settings.rate_per_s);
  settings.kinds = reader.texts("kinds");
  settings.report_window = read_seconds(reader, "report_window_s", settings.report_window);
  settings.usage_delay = read_seconds(reader, "usage_delay_s", settings.usage_delay);
  if (auto failure = reader.finish()) {
    parent.fail(std::move(*failure));
  }
  into = std::move(settings);
}

void read_seeds(json_reader& reader, std::vector<endpoint>& into) {
  for (const std::string& text : reader.texts("seeds")) {
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
      reader.fail({settings_fault::wrong_type, reader.path_of("seeds"), text, "ADDRESS:PORT"});
      return;
    }
    into.push_back(*parsed);
  }
}

void read_log(json_reader& parent, observe::log_settings& into) {
  const boost::json::object* object = parent.object("log");
  if (object == nullptr) {
    return;
  }
  json_reader reader(*object, parent.path_of("log"));
  into.threshold = static_cast<observe::level>(
      reader.choice("level", {"debug", "info", "warning", "error"}, std::size_t{1}));
  into.format = static_cast<observe::log_format>(
      reader.choice("format", {"json", "key_value"}, std::size_t{0}));
  if (auto failure = reader.finish()) {
    parent.fail(std::move(*failure));
  }
}

}  // namespace

result<gateway_settings, settings_failure> parse_gateway_settings(
    const boost::json::object& object) {
  gateway_settings settings;
  json_reader reader(object, "");
  settings.vm = reader.text("vm");
  settings.failure_domain = reader.text("failure_domain");
  settings.failure_domains = reader.texts("failure_domains");
  settings.callers = reader.address("callers");
  settings.readiness = reader.address("readiness");
  settings.peers = reader.address("peers");
  settings.metrics = reader.address("metrics");
  settings.store = reader.address("store");
  read_seeds(reader, settings.seeds);
  settings.descriptors = static_cast<std::uint32_t>(
      reader.integer("descriptors", descriptor_range, std::int64_t{settings.descriptors}));
  settings.leave_notice =
      reader.milliseconds("leave_notice_ms", bound_range_ms, settings.leave_notice);
  settings.config_bound =
      reader.milliseconds("config_bound_ms", bound_range_ms, settings.config_bound);
  settings.startup_hold =
      reader.milliseconds("startup_hold_ms", hold_range_ms, settings.startup_hold);
  settings.stop_grace = read_seconds(reader, "stop_grace_s", settings.stop_grace);
  read_retries(reader, settings.retries);
  read_duties(reader, settings.duties);
  read_log(reader, settings.log);
  if (auto failure = reader.finish()) {
    return failed{std::move(*failure)};
  }
  return settings;
}

}  // namespace hawthornnotch::gateway
