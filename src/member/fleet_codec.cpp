#include "hawthornnotch/member/fleet_codec.h"

#include <boost/json/array.hpp>
#include <utility>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/member/json_fields.h"

namespace hawthornnotch {

namespace {

constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t default_slots = 8;
constexpr std::string_view backend_server_kind = "backend_server";
constexpr std::string_view entry_vm_kind = "entry_vm";

endpoint read_endpoint(json_fields& fields, std::string_view key) {
  const auto at = parse_endpoint(fields.text(key));
  if (!at) {
    fields.fail();
    return {};
  }
  return *at;
}

}  // namespace

std::string announcement_prefix_of(std::string_view failure_domain) {
  std::string prefix(announcement_prefix);
  prefix += failure_domain;
  prefix += '/';
  return prefix;
}

std::string announcement_key(std::string_view failure_domain, std::string_view id) {
  return announcement_prefix_of(failure_domain).append(id);
}

boost::json::object to_json(const backend_server& server) {
  boost::json::object out;
  out["kind"] = backend_server_kind;
  out["id"] = server.id;
  out["incarnation"] = server.incarnation;
  out["failure_domain"] = server.failure_domain;
  out["address"] = to_text(server.address);
  boost::json::array serves;
  for (const auto& name : server.serves) {
    serves.emplace_back(name);
  }
  out["serves"] = std::move(serves);
  out["slots"] = server.slots;
  out["service"] = server.kind == backend_kind::service;
  out["leaving"] = server.leaving;
  out["checks_fencing"] = server.checks_fencing;
  return out;
}

boost::json::object to_json(const entry_vm& vm) {
  boost::json::object out;
  out["kind"] = entry_vm_kind;
  out["id"] = vm.id;
  out["incarnation"] = vm.incarnation;
  out["failure_domain"] = vm.failure_domain;
  out["agent"] = to_text(vm.agent);
  out["router"] = to_text(vm.router);
  out["leaving"] = vm.leaving;
  return out;
}

std::optional<backend_server> parse_backend_server(const boost::json::value& value) {
  json_fields fields(value);
  backend_server server;
  server.id = fields.text("id");
  server.incarnation = fields.text("incarnation");
  server.failure_domain = fields.text("failure_domain");
  server.address = read_endpoint(fields, "address");
  server.serves = fields.texts("serves");
  const std::uint64_t slots = fields.number("slots", default_slots);
  server.slots = static_cast<std::uint32_t>(slots);
  server.kind = fields.boolean("service", false) ? backend_kind::service : backend_kind::engine;
  server.leaving = fields.boolean("leaving", false);
  server.checks_fencing = fields.boolean("checks_fencing", false);
  if (!fields.ok() || server.id.empty() || slots == 0 || slots > max_slots) {
    return std::nullopt;
  }
  return server;
}

std::optional<entry_vm> parse_entry_vm(const boost::json::value& value) {
  json_fields fields(value);
  entry_vm vm;
  vm.id = fields.text("id");
  vm.incarnation = fields.text("incarnation");
  vm.failure_domain = fields.text("failure_domain");
  vm.agent = read_endpoint(fields, "agent");
  vm.router = read_endpoint(fields, "router");
  vm.leaving = fields.boolean("leaving", false);
  if (!fields.ok() || vm.id.empty()) {
    return std::nullopt;
  }
  return vm;
}

std::optional<fleet_vm> parse_fleet_vm(const boost::json::value& value) {
  json_fields fields(value);
  const std::string kind = fields.text("kind");
  if (kind == backend_server_kind) {
    if (auto server = parse_backend_server(value)) {
      return fleet_vm(std::move(*server));
    }
  }
  if (kind == entry_vm_kind) {
    if (auto vm = parse_entry_vm(value)) {
      return fleet_vm(std::move(*vm));
    }
  }
  return std::nullopt;
}

}  // namespace hawthornnotch
