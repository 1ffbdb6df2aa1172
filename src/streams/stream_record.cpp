#include "hawthornnotch/streams/stream_record.h"

#include <boost/json.hpp>
#include <map>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::streams {

namespace {

namespace json = boost::json;

constexpr std::string_view versions_key = "versions";
constexpr std::string_view streams_key = "streams";
constexpr std::string_view era_key = "era";
constexpr std::string_view rules_key = "rules";
constexpr std::string_view alternatives_key = "alternatives";
constexpr std::string_view base_key = "base";
constexpr std::string_view known_vms_key = "known_vms";

// Reads nested objects without exceptions; `good` becomes false where a value has another type.
class record_reader {
 public:
  explicit record_reader(bool& good) : good_(good) {}

  const json::object& object(const json::value* value) {
    static const json::object none;
    const bool fits = value != nullptr && value->is_object();
    good_ = good_ && fits;
    return fits ? value->get_object() : none;
  }
  // \returns none if there is no value.
  std::optional<std::int64_t> integer(const json::value* value) {
    const bool fits = value == nullptr || value->is_int64();
    good_ = good_ && fits;
    return value != nullptr && fits ? std::optional(value->get_int64()) : std::nullopt;
  }
  // \returns none if there is no value.
  std::optional<std::string> text(const json::value* value) {
    const bool fits = value == nullptr || value->is_string();
    good_ = good_ && fits;
    return value != nullptr && fits ? std::optional(std::string(value->get_string()))
                                    : std::nullopt;
  }
  std::optional<version_shares> shares(const json::value& value) {
    version_shares::weight_map weights;
    for (const auto& [version, weight] : object(&value)) {
      const auto parts = integer(&weight);
      const bool fits = parts && *parts >= 0 &&
                        *parts <= static_cast<std::int64_t>(version_shares::max_total_weight);
      good_ = good_ && fits;
      weights[std::string(version)] = fits ? static_cast<std::uint32_t>(*parts) : 0;
    }
    auto created = version_shares::create(std::move(weights));
    good_ = good_ && created.has_value();
    return created.value();
  }
  begin_rule rule(const json::value& value) {
    begin_rule out;
    const json::object& fields = object(&value);
    const json::value* alternatives = fields.if_contains(alternatives_key);
    good_ = good_ && alternatives != nullptr && alternatives->is_array();
    if (good_) {
      for (const json::value& each : alternatives->get_array()) {
        if (auto created = shares(each)) {
          out.alternatives.push_back(std::move(*created));
        }
      }
    }
    out.base = text(fields.if_contains(base_key));
    return out;
  }
  std::vector<std::string> texts(const json::value& value) {
    std::vector<std::string> out;
    good_ = good_ && value.is_array();
    if (!value.is_array()) {
      return out;
    }
    for (const json::value& each : value.get_array()) {
      good_ = good_ && each.is_string();
      if (each.is_string()) {
        out.emplace_back(each.get_string());
      }
    }
    return out;
  }

 private:
  bool& good_;
};

json::object to_json(const begin_rule& rule) {
  json::array alternatives;
  for (const version_shares& each : rule.alternatives) {
    json::object weights;
    for (const auto& [version, weight] : each.weights()) {
      weights[version] = weight;
    }
    alternatives.emplace_back(std::move(weights));
  }
  json::object out{{alternatives_key, std::move(alternatives)}};
  if (rule.base) {
    out[base_key] = *rule.base;
  }
  return out;
}

json::object to_json(const begin_rules& rules) {
  json::object out;
  for (const auto& [service, rule] : rules) {
    out[service] = to_json(rule);
  }
  return out;
}

json::array to_array(const auto& texts) {
  json::array out;
  for (const std::string& each : texts) {
    out.emplace_back(json::string(each));
  }
  return out;
}

}  // namespace

// Streams are grouped by service, version and workspace, since only their ids differ. Processes of
// an earlier build ignore the fields that they do not know.
std::string encode(const stream_record& record) {
  json::object versions;
  for (const auto& [service, names] : record.recent_versions) {
    versions[service] = to_array(names);
  }
  std::map<std::string_view, std::map<std::string_view, std::map<std::string_view, json::array>>>
      grouped;
  for (const stream_origin& each : record.streams) {
    json::array& ids = grouped[each.key.service][each.software_version][each.key.workspace];
    ids.emplace_back(json::string(each.key.attempt));
  }
  json::object streams;
  for (auto& [service, versions_of_service] : grouped) {
    json::object by_version;
    for (auto& [version, workspaces] : versions_of_service) {
      json::object by_workspace;
      for (auto& [workspace, ids] : workspaces) {
        by_workspace[workspace] = std::move(ids);
      }
      by_version[version] = std::move(by_workspace);
    }
    streams[service] = std::move(by_version);
  }
  json::object out{{versions_key, std::move(versions)}, {streams_key, std::move(streams)}};
  if (!record.rules.empty()) {
    out[rules_key] = to_json(record.rules);
  }
  if (record.known_vms > 0) {
    out[known_vms_key] = record.known_vms;
  }
  if (record.era) {
    out[era_key] = *record.era;
  }
  return json::serialize(out);
}

result<stream_record, record_failure> decode_stream_record(std::string_view text) {
  const auto object = parse_object(text);
  if (!object) {
    return failed{record_failure::malformed};
  }
  bool good = true;
  record_reader reader(good);
  stream_record out;
  for (const auto& [service, names] : reader.object(object->if_contains(versions_key))) {
    for (std::string& name : reader.texts(names)) {
      out.recent_versions[std::string(service)].insert(std::move(name));
    }
  }
  for (const auto& [service, by_version] : reader.object(object->if_contains(streams_key))) {
    for (const auto& [version, by_workspace] : reader.object(&by_version)) {
      for (const auto& [workspace, ids] : reader.object(&by_workspace)) {
        for (std::string& id : reader.texts(ids)) {
          out.streams.push_back(
              {{std::string(workspace), std::string(service), std::move(id)}, version, {}});
        }
      }
    }
  }
  if (const json::value* rules = object->if_contains(rules_key)) {
    for (const auto& [service, rule] : reader.object(rules)) {
      out.rules.emplace(std::string(service), reader.rule(rule));
    }
  }
  out.known_vms = reader.integer(object->if_contains(known_vms_key)).value_or(0);
  out.era = reader.integer(object->if_contains(era_key));
  if (!good) {
    return failed{record_failure::malformed};
  }
  return out;
}

}  // namespace hawthornnotch::streams
