#include "hawthornnotch/rpc/gossip_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "hawthornnotch/config/codec.h"
#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/member/json_fields.h"
#include "rpc/fleet_json.h"

namespace hawthornnotch::rpc {

namespace json = boost::json;

namespace {

// Each element is an object with a single member whose key is the element's kind.
constexpr std::string_view server_key = "server";
constexpr std::string_view retired_key = "retired";
constexpr std::string_view vm_key = "vm";
constexpr std::string_view suspicion_key = "suspicion";
constexpr std::string_view models_key = "models";
constexpr std::string_view workspace_key = "workspace";
constexpr std::string_view heartbeat_key = "beat";
constexpr std::string_view report_key = "report";
constexpr std::string_view waiting_key = "waiting";

json::object to_json(const member::vm_record& record) {
  json::object out = hawthornnotch::to_json(record.vm);
  out["started"] = record.start_heartbeat;
  return out;
}

json::object to_json(const member::log_position& position) {
  json::object out;
  out["log_id"] = position.log_id;
  out["facts"] = position.facts;
  return out;
}

json::object to_json(const member::loaded_models& loaded) {
  json::array models;
  for (const auto& model : loaded.models) {
    models.emplace_back(model);
  }
  json::object out;
  out["id"] = loaded.backend_server;
  out["incarnation"] = loaded.incarnation;
  out["models"] = std::move(models);
  out["observed"] = loaded.observed_at_ms;
  return out;
}

json::object to_json(const member::fact& fact) {
  json::object out;
  std::visit(overloaded{
                 [&out](const member::backend_record& record) {
                   json::object server = hawthornnotch::to_json(record.server);
                   server["announced_at"] = record.announced_at;
                   out[server_key] = std::move(server);
                 },
                 [&out](const member::retired_incarnation& retired) {
                   out[retired_key] = {{"id", retired.id}, {"incarnation", retired.incarnation}};
                 },
                 [&out](const member::vm_record& record) { out[vm_key] = to_json(record); },
                 [&out](const member::suspicion& suspicion) {
                   out[suspicion_key] = {{"vm", suspicion.vm},
                                         {"by", suspicion.by},
                                         {"heartbeat", suspicion.heartbeat}};
                 },
                 [&out](const member::loaded_models& loaded) { out[models_key] = to_json(loaded); },
                 [&out](const workspace_parameters& workspace) {
                   out[workspace_key] = hawthornnotch::to_json(workspace);
                 },
             },
             fact);
  return out;
}

json::object to_json(const member::load& load, time_point now) {
  json::object out;
  std::visit(
      overloaded{
          [&out](const member::heartbeat& heartbeat) {
            json::array list;
            list.emplace_back(heartbeat.vm);
            list.emplace_back(heartbeat.heartbeat_counter);
            out[heartbeat_key] = std::move(list);
          },
          [&out, now](const load_report& report) { out[report_key] = report_to_json(report, now); },
          [&out](const peer_waiting& waiting) { out[waiting_key] = waiting_to_json(waiting); },
      },
      load);
  return out;
}

std::optional<member::vm_record> vm_from_json(const json::value& value) {
  auto vm = parse_entry_vm(value);
  json_fields fields(value);
  const std::uint64_t start_heartbeat = fields.number("started");
  if (!vm || !fields.ok()) {
    return std::nullopt;
  }
  return member::vm_record{std::move(*vm), start_heartbeat};
}

member::log_position position_from_json(json_fields& outer, std::string_view key) {
  member::log_position position;
  const auto* value = outer.find(key);
  if (value == nullptr) {
    outer.fail();
    return position;
  }
  json_fields fields(*value);
  position.log_id = fields.text("log_id");
  position.facts = fields.number("facts");
  if (!fields.ok()) {
    outer.fail();
  }
  return position;
}

std::optional<member::fact> server_fact(const json::value& value) {
  auto server = parse_backend_server(value);
  json_fields fields(value);
  const auto announced_at = static_cast<std::int64_t>(fields.number("announced_at"));
  if (!server || !fields.ok()) {
    return std::nullopt;
  }
  return member::backend_record{std::move(*server), announced_at};
}

std::optional<member::fact> retired_fact(const json::value& value) {
  json_fields fields(value);
  member::retired_incarnation retired{fields.text("id"), fields.text("incarnation")};
  return fields.ok() ? std::optional<member::fact>(std::move(retired)) : std::nullopt;
}

std::optional<member::fact> vm_fact(const json::value& value) {
  auto record = vm_from_json(value);
  return record ? std::optional<member::fact>(std::move(*record)) : std::nullopt;
}

std::optional<member::fact> suspicion_fact(const json::value& value) {
  json_fields fields(value);
  member::suspicion suspicion{fields.text("vm"), fields.text("by"), fields.number("heartbeat")};
  return fields.ok() ? std::optional<member::fact>(std::move(suspicion)) : std::nullopt;
}

std::optional<member::fact> models_fact(const json::value& value) {
  json_fields fields(value);
  member::loaded_models loaded;
  loaded.backend_server = fields.text("id");
  loaded.incarnation = fields.text("incarnation");
  loaded.models = fields.texts("models");
  loaded.observed_at_ms = fields.number("observed");
  return fields.ok() ? std::optional<member::fact>(std::move(loaded)) : std::nullopt;
}

std::optional<member::fact> workspace_fact(const json::value& value) {
  auto workspace = workspace_from_json(value);
  return workspace ? std::optional<member::fact>(std::move(*workspace)) : std::nullopt;
}

std::optional<member::load> heartbeat_load(const json::value& value) {
  const auto* list = value.if_array();
  const bool well_formed = list != nullptr && list->size() == 2 && list->front().is_string() &&
                           list->back().is_int64() && list->back().get_int64() >= 0;
  if (!well_formed) {
    return std::nullopt;
  }
  const auto& name = list->front().get_string();
  return member::heartbeat{{name.data(), name.size()},
                           static_cast<std::uint64_t>(list->back().get_int64())};
}

// Parses each element with the reader for its kind.  Unknown kinds are skipped; an invalid element
// fails the whole message.
template <class Element, class Reader>
void read_elements(json_fields& fields, std::string_view key,
                   const std::map<std::string_view, Reader>& readers, std::vector<Element>& into) {
  for (const auto& element : fields.list(key)) {
    const auto* object = element.if_object();
    if (object == nullptr || object->size() != 1) {
      fields.fail();
      return;
    }
    const auto& member = *object->begin();
    const auto reader = readers.find(std::string_view(member.key().data(), member.key().size()));
    if (reader == readers.end()) {
      continue;
    }
    auto parsed = reader->second(member.value());
    if (!parsed) {
      fields.fail();
      return;
    }
    into.push_back(std::move(*parsed));
  }
}

// A list with other elements or too many comes from another release; it is dropped, so that no
// bucket matches.
void read_digests(json_fields& fields, member::digest_list& into) {
  for (const auto& element : fields.list("digests")) {
    if (!element.is_int64() || into.size() >= member::digest_buckets) {
      into.clear();
      return;
    }
    into.push_back(static_cast<std::uint64_t>(element.get_int64()));
  }
}

void read_facts(json_fields& fields, std::vector<member::fact>& into) {
  using reader = std::optional<member::fact> (*)(const json::value&);
  static const std::map<std::string_view, reader> readers = {
      {server_key, server_fact},       {retired_key, retired_fact}, {vm_key, vm_fact},
      {suspicion_key, suspicion_fact}, {models_key, models_fact},   {workspace_key, workspace_fact},
  };
  read_elements(fields, "facts", readers, into);
}

void read_loads(json_fields& fields, time_point now, std::vector<member::load>& into) {
  using reader = std::function<std::optional<member::load>(const json::value&)>;
  const std::map<std::string_view, reader> readers = {
      {heartbeat_key, heartbeat_load},
      {report_key, [now](const json::value& value) { return report_from_json(value, now); }},
      {waiting_key, [](const json::value& value) { return waiting_from_json(value); }},
  };
  read_elements(fields, "loads", readers, into);
}

}  // namespace

std::string encode(const member::gossip_message& message, time_point now) {
  json::array facts;
  for (const auto& fact : message.facts) {
    facts.emplace_back(to_json(fact));
  }
  json::array loads;
  for (const auto& load : message.loads) {
    loads.emplace_back(to_json(load, now));
  }
  json::object out;
  out["from"] = to_json(message.from);
  out["log_id"] = message.log_id;
  out["beat"] = message.heartbeat_counter;
  out["seen"] = to_json(message.seen);
  out["after"] = to_json(message.after);
  out["upto"] = to_json(message.upto);
  out["newest_fact"] = message.newest_fact;
  out["complete"] = message.configuration_complete;
  json::array digests;
  for (const std::uint64_t digest : message.digests) {
    digests.emplace_back(digest);
  }
  out["digests"] = std::move(digests);
  out["facts"] = std::move(facts);
  out["loads"] = std::move(loads);
  return json::serialize(out);
}

result<member::gossip_message, codec_fault> decode_gossip(std::string_view text, time_point now) {
  const auto value = parse_json(text);
  if (!value) {
    return failed{codec_fault::malformed_json};
  }
  json_fields fields(*value);
  member::gossip_message message;
  const auto* from = fields.find("from");
  auto sender = from == nullptr ? std::nullopt : vm_from_json(*from);
  if (!sender) {
    return failed{codec_fault::wrong_shape};
  }
  message.from = std::move(*sender);
  message.log_id = fields.text("log_id");
  message.heartbeat_counter = fields.number("beat");
  message.seen = position_from_json(fields, "seen");
  message.after = position_from_json(fields, "after");
  message.upto = position_from_json(fields, "upto");
  message.newest_fact = fields.number("newest_fact");
  message.configuration_complete = fields.boolean("complete");
  read_digests(fields, message.digests);
  read_facts(fields, message.facts);
  read_loads(fields, now, message.loads);
  if (!fields.ok()) {
    return failed{codec_fault::wrong_shape};
  }
  return message;
}

}  // namespace hawthornnotch::rpc
