#include "hawthornnotch/rpc/router_rpc.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hawthornnotch/config/codec.h"
#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/member/json_fields.h"
#include "rpc/fleet_json.h"

namespace hawthornnotch::rpc {

namespace json = boost::json;

namespace {

json::array tiers_to_json(const std::uint32_t (&by_tier)[tier_count]) {
  json::array out;
  for (const std::uint32_t count : by_tier) {
    out.emplace_back(count);
  }
  return out;
}

void read_tiers(json_fields& fields, std::string_view key, std::uint32_t (&by_tier)[tier_count]) {
  const auto& list = fields.list(key);
  if (list.size() != tier_count) {
    fields.fail();
    return;
  }
  for (std::size_t index = 0; index < list.size(); ++index) {
    if (!list[index].is_int64() || list[index].get_int64() < 0) {
      fields.fail();
      return;
    }
    by_tier[index] = static_cast<std::uint32_t>(list[index].get_int64());
  }
}

json::object fleet_to_json(const fleet_snapshot& fleet, time_point now) {
  json::object out;
  out["version"] = fleet.version;
  json::array servers;
  for (const auto& server : fleet.backend_servers) {
    servers.emplace_back(to_json(server));
  }
  json::array vms;
  for (const auto& vm : fleet.entry_vms) {
    vms.emplace_back(to_json(vm));
  }
  json::array reports;
  for (const auto& report : fleet.reports) {
    reports.emplace_back(report_to_json(report, now));
  }
  json::array waiting;
  for (const auto& peer : fleet.waiting) {
    waiting.emplace_back(waiting_to_json(peer));
  }
  out["backend_servers"] = std::move(servers);
  out["entry_vms"] = std::move(vms);
  out["reports"] = std::move(reports);
  out["waiting"] = std::move(waiting);
  return out;
}

// Parses each element and appends it; an invalid element fails the whole message.
template <class T, class Parse>
void parse_elements(json_fields& fields, std::string_view key, std::vector<T>& into,
                    const Parse& parse) {
  for (const auto& element : fields.list(key)) {
    auto parsed = parse(element);
    if (!parsed) {
      fields.fail();
      return;
    }
    into.push_back(std::move(*parsed));
  }
}

fleet_snapshot read_fleet(json_fields& outer, time_point now) {
  fleet_snapshot fleet;
  const auto* value = outer.find("fleet");
  if (value == nullptr) {
    outer.fail();
    return fleet;
  }
  json_fields fields(*value);
  fleet.version = fields.number("version");
  parse_elements(fields, "backend_servers", fleet.backend_servers, parse_backend_server);
  parse_elements(fields, "entry_vms", fleet.entry_vms, parse_entry_vm);
  parse_elements(fields, "reports", fleet.reports,
                 [now](const json::value& report) { return report_from_json(report, now); });
  parse_elements(fields, "waiting", fleet.waiting, waiting_from_json);
  if (!fields.ok()) {
    outer.fail();
  }
  return fleet;
}

workspace_table read_workspaces(json_fields& fields) {
  workspace_table table;
  for (const auto& element : fields.list("workspaces")) {
    auto parsed = workspace_from_json(element);
    if (!parsed) {
      fields.fail();
      return table;
    }
    table[parsed->workspace] = std::move(*parsed);
  }
  return table;
}

std::map<std::string, std::uint64_t> read_revisions(json_fields& fields) {
  std::map<std::string, std::uint64_t> revisions;
  const auto* value = fields.find("revisions");
  if (value == nullptr || !value->is_object()) {
    fields.fail();
    return revisions;
  }
  json_fields members(*value);
  for (const auto& member : value->get_object()) {
    revisions[std::string(member.key())] = members.number(member.key());
  }
  if (!members.ok()) {
    fields.fail();
  }
  return revisions;
}

}  // namespace

std::string encode(const router_snapshot& snapshot, time_point now) {
  json::object out;
  out["agent_incarnation"] = snapshot.agent_incarnation;
  out["version"] = snapshot.version;
  out["complete"] = snapshot.complete;
  out["fleet"] = fleet_to_json(snapshot.fleet, now);
  json::array workspaces;
  for (const auto& [name, parameters] : snapshot.workspaces) {
    workspaces.emplace_back(to_json(parameters));
  }
  out["workspaces"] = std::move(workspaces);
  return json::serialize(out);
}

result<router_snapshot, codec_fault> decode_router_snapshot(std::string_view text, time_point now) {
  const auto value = parse_json(text);
  if (!value) {
    return failed{codec_fault::malformed_json};
  }
  json_fields fields(*value);
  router_snapshot snapshot;
  snapshot.agent_incarnation = fields.text("agent_incarnation");
  snapshot.version = fields.number("version");
  snapshot.complete = fields.boolean("complete");
  snapshot.fleet = read_fleet(fields, now);
  snapshot.workspaces = read_workspaces(fields);
  if (!fields.ok()) {
    return failed{codec_fault::wrong_shape};
  }
  return snapshot;
}

std::string encode(const router_status& status) {
  json::object out;
  out["incarnation"] = status.incarnation;
  out["agent_incarnation"] = status.agent_incarnation;
  out["applied_version"] = status.applied_version;
  out["draining"] = status.draining;
  out["in_flight"] = status.in_flight;
  out["waiting_by_tier"] = tiers_to_json(status.waiting_by_tier);
  json::object revisions;
  for (const auto& [workspace, revision] : status.revisions) {
    revisions[workspace] = revision;
  }
  out["revisions"] = std::move(revisions);
  return json::serialize(out);
}

result<router_status, codec_fault> decode_router_status(std::string_view text) {
  const auto value = parse_json(text);
  if (!value) {
    return failed{codec_fault::malformed_json};
  }
  json_fields fields(*value);
  router_status status;
  status.incarnation = fields.text("incarnation");
  status.agent_incarnation = fields.text("agent_incarnation");
  status.applied_version = fields.number("applied_version");
  status.draining = fields.boolean("draining");
  status.in_flight = static_cast<std::uint32_t>(fields.number("in_flight"));
  read_tiers(fields, "waiting_by_tier", status.waiting_by_tier);
  status.revisions = read_revisions(fields);
  if (!fields.ok()) {
    return failed{codec_fault::wrong_shape};
  }
  return status;
}

router_rpc_server::router_rpc_server(std::unique_ptr<method_server> methods)
    : methods_(std::move(methods)) {}

std::unique_ptr<router_rpc_server> router_rpc_server::create(apply_callback apply,
                                                             status_callback status) {
  method_map methods;
  methods[std::string(apply_method)] =
      [apply = std::move(apply)](std::string_view body) -> result<std::string, codec_fault> {
    auto snapshot = decode_router_snapshot(body, system_clock().now());
    if (!snapshot) {
      return failed{snapshot.last_reason()};
    }
    return encode(apply(std::move(*snapshot)));
  };
  methods[std::string(status_method)] =
      [status = std::move(status)](std::string_view /*body*/) -> result<std::string, codec_fault> {
    return encode(status());
  };
  auto server = method_server::create(std::move(methods));
  return std::unique_ptr<router_rpc_server>(new router_rpc_server(std::move(server)));
}

std::string router_rpc_server::handle(std::string_view request_body) {
  return methods_->handle(request_body);
}

}  // namespace hawthornnotch::rpc
