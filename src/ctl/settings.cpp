#include "hawthornnotch/ctl/settings.h"

#include <boost/json/serialize.hpp>

namespace hawthornnotch::ctl {
namespace {

constexpr integer_range timeout_range_ms{1, 600'000};

std::vector<endpoint> read_endpoints(json_reader& reader, std::string_view key, bool required) {
  std::vector<endpoint> endpoints;
  for (const std::string& text : reader.texts(key, required)) {
    const auto parsed = parse_endpoint(text);
    if (parsed) {
      endpoints.push_back(*parsed);
    } else {
      reader.fail({settings_fault::out_of_range, reader.path_of(key), text, "address:port"});
    }
  }
  if (required && endpoints.empty()) {
    reader.fail({settings_fault::out_of_range, reader.path_of(key), "[]", "at least one address"});
  }
  return endpoints;
}

void read_domains(json_reader& reader, settings& parsed_settings) {
  const boost::json::object* domains = reader.object("failure_domains");
  if (domains == nullptr) {
    return;
  }
  for (const auto& [name, value] : *domains) {
    const std::string path = reader.path_of("failure_domains") + "." + std::string(name);
    if (!value.is_object()) {
      reader.fail({settings_fault::wrong_type, path, boost::json::serialize(value), "an object"});
      return;
    }
    json_reader nested(value.as_object(), path);
    domain_processes& processes = parsed_settings.failure_domains[std::string(name)];
    processes.agents = read_endpoints(nested, "agents", true);
    processes.routers = read_endpoints(nested, "routers", false);
    if (auto failure = nested.finish()) {
      reader.fail(*failure);
    }
  }
}

}  // namespace

result<settings, settings_failure> parse_settings(const boost::json::object& object) {
  json_reader reader(object, "");
  settings parsed_settings;
  parsed_settings.platform = read_endpoints(reader, "platform", true);
  read_domains(reader, parsed_settings);
  parsed_settings.call_timeout =
      reader.milliseconds("call_timeout_ms", timeout_range_ms, parsed_settings.call_timeout);
  parsed_settings.wait_timeout =
      reader.milliseconds("wait_ms", timeout_range_ms, parsed_settings.wait_timeout);
  if (auto failure = reader.finish()) {
    return failed{*failure};
  }
  return parsed_settings;
}

}  // namespace hawthornnotch::ctl
