#include "hawthornnotch/agent/settings.h"

#include <utility>

namespace hawthornnotch::agent {

namespace {

constexpr integer_range period_range{50, 600'000};
constexpr integer_range long_period_range{1'000, 3'600'000};
constexpr integer_range thread_range{1, 16};
constexpr integer_range fanout_range{1, 16};
constexpr integer_range message_range{1'024, 256 * 1024};
constexpr integer_range replica_range{0, 10'000};
constexpr integer_range burst_range{1, 1'000};
constexpr integer_range models_range{1, 256};
constexpr std::int64_t min_lease_ttl_ms = 3'000;

std::vector<endpoint> read_endpoints(json_reader& reader, std::string_view key, bool required) {
  std::vector<endpoint> all;
  for (const auto& text : reader.texts(key, required)) {
    const auto at = parse_endpoint(text);
    if (at) {
      all.push_back(*at);
    } else {
      reader.fail({settings_fault::out_of_range, reader.path_of(key), text, "address:port"});
    }
  }
  return all;
}

void read_periods(json_reader& reader, agent_settings& settings) {
  settings.round_period = reader.milliseconds("round_ms", period_range, settings.round_period);
  settings.list_period = reader.milliseconds("list_ms", period_range, settings.list_period);
  settings.slow_read_period =
      reader.milliseconds("slow_read_ms", long_period_range, settings.slow_read_period);
  settings.poll_period = reader.milliseconds("poll_ms", period_range, settings.poll_period);
  settings.push_period = reader.milliseconds("push_ms", period_range, settings.push_period);
  settings.load_push_period =
      reader.milliseconds("load_push_ms", period_range, settings.load_push_period);
  settings.call_timeout =
      reader.milliseconds("call_timeout_ms", period_range, settings.call_timeout);
  settings.leave_notice =
      reader.milliseconds("leave_notice_ms", {0, 60'000}, settings.leave_notice);
}

void read_membership(json_reader& reader, member::membership_settings& settings) {
  settings.seeds = read_endpoints(reader, "seeds", false);
  settings.fanout = static_cast<std::size_t>(reader.integer("fanout", fanout_range, 2));
  settings.fact_bytes =
      static_cast<std::size_t>(reader.integer("fact_bytes", message_range, 8 * 1024));
  settings.load_bytes =
      static_cast<std::size_t>(reader.integer("load_bytes", message_range, 1'500));
  auto& peers = settings.peers;
  peers.suspect_after =
      reader.milliseconds("suspect_after_ms", long_period_range, peers.suspect_after);
  peers.lone_confirm_after =
      reader.milliseconds("lone_confirm_after_ms", long_period_range, peers.lone_confirm_after);
  auto& backends = settings.backends;
  backends.announcement_lead =
      reader.milliseconds("announcement_lead_ms", long_period_range, backends.announcement_lead);
}

void read_replicas(json_reader& reader, lease::planner_settings& planner) {
  const auto* object = reader.object("replicas");
  if (object == nullptr) {
    return;
  }
  json_reader members(*object, reader.path_of("replicas"));
  for (const auto& member : *object) {
    planner.replicas[std::string(member.key())] =
        static_cast<std::uint32_t>(members.integer(member.key(), replica_range));
  }
  if (auto failure = members.finish()) {
    reader.fail(std::move(*failure));
  }
}

void read_orders(json_reader& outer, agent_settings& settings) {
  const auto* object = outer.object("orders");
  if (object == nullptr) {
    return;
  }
  json_reader reader(*object, outer.path_of("orders"));
  auto& planner = settings.planner;
  read_replicas(reader, planner);
  planner.dead_after = reader.milliseconds("dead_after_ms", long_period_range, planner.dead_after);
  settings.order_timeout =
      reader.milliseconds("order_timeout_ms", long_period_range, settings.order_timeout);
  planner.load_period =
      reader.milliseconds("load_period_ms", long_period_range, planner.load_period);
  planner.load_burst =
      static_cast<std::uint32_t>(reader.integer("load_burst", burst_range, planner.load_burst));
  planner.models_per_engine =
      static_cast<std::size_t>(reader.integer("models_per_engine", models_range, 4));
  settings.lease.time_to_live =
      reader.milliseconds("lease_ms", {min_lease_ttl_ms, 600'000}, settings.lease.time_to_live);
  if (auto failure = reader.finish()) {
    outer.fail(std::move(*failure));
  }
}

void read_log(json_reader& outer, observe::log_settings& log) {
  const auto* object = outer.object("log");
  if (object == nullptr) {
    return;
  }
  json_reader reader(*object, outer.path_of("log"));
  const auto level = reader.choice("level", {"debug", "info", "warning", "error"}, 1);
  log.threshold = static_cast<observe::level>(level);
  const auto format = reader.choice("format", {"json", "key_value"}, 0);
  log.format = static_cast<observe::log_format>(format);
  if (auto failure = reader.finish()) {
    outer.fail(std::move(*failure));
  }
}

}  // namespace

result<agent_settings, settings_failure> parse_agent_settings(const boost::json::object& object) {
  json_reader reader(object, "");
  agent_settings settings;
  settings.vm = reader.text("vm");
  settings.vm_incarnation = reader.text("vm_incarnation", "");
  settings.failure_domain = reader.text("failure_domain");
  settings.listen = reader.address("listen");
  settings.router = reader.address("router");
  settings.router_control = reader.address("router_control");
  settings.platform = read_endpoints(reader, "platform", true);
  settings.threads = static_cast<std::size_t>(reader.integer("threads", thread_range, 2));
  read_periods(reader, settings);
  read_membership(reader, settings.membership);
  read_orders(reader, settings);
  read_log(reader, settings.log);
  for (const std::string_view key : {"vm", "failure_domain"}) {
    if (reader.text(key, "").empty()) {
      reader.fail({settings_fault::out_of_range, std::string(key), "", "a name"});
    }
  }
  if (auto failure = reader.finish()) {
    return failed{std::move(*failure)};
  }
  // The holder stops acting a quarter of the lease's lifetime before it expires.
  settings.lease.safety_margin = settings.lease.time_to_live / 4;
  settings.lease.keys = lease::keys_of_domain(settings.failure_domain);
  settings.lease.holder = settings.vm;
  settings.planner.order_timeout = settings.order_timeout * 2;
  return settings;
}

}  // namespace hawthornnotch::agent
