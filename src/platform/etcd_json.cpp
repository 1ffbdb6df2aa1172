#include "hawthornnotch/platform/etcd_json.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/platform/base64.h"

namespace hawthornnotch::platform {
namespace {

namespace json = boost::json;

constexpr std::int64_t ms_per_second = 1000;

json::object condition_json(const condition& wanted) {
  return std::visit(overloaded{[](const must_be_absent& absent) {
                                 return json::object{{"key", encode_base64(absent.key)},
                                                     {"target", "CREATE"},
                                                     {"result", "EQUAL"},
                                                     {"create_revision", "0"}};
                               },
                               [](const must_be_unchanged& unchanged) {
                                 return json::object{
                                     {"key", encode_base64(unchanged.key)},
                                     {"target", "MOD"},
                                     {"result", "EQUAL"},
                                     {"mod_revision", std::to_string(unchanged.mod_revision)}};
                               }},
                    wanted);
}

json::object effect_json(const effect& wanted) {
  return std::visit(overloaded{[](const put& change) {
                                 json::object body{{"key", encode_base64(change.key)},
                                                   {"value", encode_base64(change.value)}};
                                 if (change.lease != 0) {
                                   body["lease"] = std::to_string(change.lease);
                                 }
                                 return json::object{{"request_put", std::move(body)}};
                               },
                               [](const erase& change) {
                                 json::object body{{"key", encode_base64(change.key)}};
                                 return json::object{{"request_delete_range", std::move(body)}};
                               }},
                    wanted);
}

// Reads the JSON form of protocol buffers, in which an omitted field has its default value and
// 64-bit integers are strings. Any mismatch makes the reader invalid.
class message_reader {
 public:
  explicit message_reader(const json::object& object) : object_(object) {}

  std::int64_t integer(std::string_view key) {
    const json::value* found = object_.if_contains(key);
    if (found == nullptr) {
      return 0;
    }
    if (found->is_int64()) {
      return found->as_int64();
    }
    std::int64_t parsed = 0;
    const std::string_view text = found->is_string() ? std::string_view(found->as_string()) : "";
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
    require(error == std::errc() && end == text.data() + text.size());
    return parsed;
  }

  std::string text(std::string_view key) {
    const json::value* found = object_.if_contains(key);
    if (found == nullptr) {
      return {};
    }
    require(found->is_string());
    return found->is_string() ? std::string(found->as_string()) : std::string();
  }

  std::string bytes(std::string_view key) {
    const auto decoded = decode_base64(text(key));
    require(decoded.has_value());
    return decoded.value_or("");
  }

  bool boolean(std::string_view key) {
    const json::value* found = object_.if_contains(key);
    if (found == nullptr) {
      return false;
    }
    require(found->is_bool());
    return found->is_bool() && found->as_bool();
  }

  const json::object& object(std::string_view key) {
    static const json::object none;
    const json::value* found = object_.if_contains(key);
    require(found != nullptr && found->is_object());
    return found != nullptr && found->is_object() ? found->as_object() : none;
  }

  std::vector<const json::object*> objects(std::string_view key) {
    std::vector<const json::object*> list;
    const json::value* found = object_.if_contains(key);
    if (found == nullptr) {
      return list;
    }
    require(found->is_array());
    if (!found->is_array()) {
      return list;
    }
    for (const json::value& element : found->as_array()) {
      require(element.is_object());
      if (element.is_object()) {
        list.push_back(&element.as_object());
      }
    }
    return list;
  }

  void require(bool holds) { valid_ = valid_ && holds; }
  [[nodiscard]] bool valid() const { return valid_; }

 private:
  const json::object& object_;
  bool valid_ = true;
};

std::optional<json::object> parse_message(std::string_view text) {
  auto parsed = parse_object(text);
  return parsed ? std::optional(std::move(*parsed)) : std::nullopt;
}

key_value read_key_value(const json::object& object, message_reader& parent) {
  message_reader reader(object);
  key_value found;
  found.key = reader.bytes("key");
  found.value = reader.bytes("value");
  found.mod_revision = reader.integer("mod_revision");
  found.lease = reader.integer("lease");
  reader.require(!found.key.empty() && found.mod_revision > 0);
  parent.require(reader.valid());
  return found;
}

std::int64_t read_revision(message_reader& answer) {
  message_reader header(answer.object("header"));
  const std::int64_t revision = header.integer("revision");
  answer.require(header.valid() && revision > 0);
  return revision;
}

std::vector<key_value> read_key_values(message_reader& answer) {
  std::vector<key_value> found;
  for (const json::object* object : answer.objects("kvs")) {
    found.push_back(read_key_value(*object, answer));
  }
  return found;
}

endpoint read_endpoint(message_reader& reader, std::string_view key) {
  const auto parsed = parse_endpoint(reader.text(key));
  reader.require(parsed.has_value());
  return parsed.value_or(endpoint{});
}

bool read_leaving(message_reader& reader) {
  const std::string state = reader.text("state");
  reader.require(state == "live" || state == "leaving");
  return state == "leaving";
}

std::vector<std::string> read_texts(const json::object& object, std::string_view key,
                                    message_reader& reader) {
  std::vector<std::string> texts;
  const json::value* found = object.if_contains(key);
  reader.require(found != nullptr && found->is_array());
  if (found == nullptr || !found->is_array()) {
    return texts;
  }
  for (const json::value& element : found->as_array()) {
    reader.require(element.is_string());
    if (element.is_string()) {
      texts.emplace_back(element.as_string());
    }
  }
  return texts;
}

listed_vm read_backend_server(const json::object& object, message_reader& reader) {
  backend_server server;
  server.id = reader.text("id");
  server.incarnation = reader.text("incarnation");
  server.failure_domain = reader.text("failure_domain");
  server.address = read_endpoint(reader, "address");
  const std::string kind = reader.text("kind");
  reader.require(kind == "engine" || kind == "service");
  server.kind = kind == "service" ? backend_kind::service : backend_kind::engine;
  server.serves = read_texts(object, "serves", reader);
  const std::int64_t slots = reader.integer("slots");
  reader.require(slots > 0 && slots <= UINT32_MAX);
  server.slots = static_cast<std::uint32_t>(slots);
  server.checks_fencing = reader.boolean("checks_fencing");
  server.leaving = read_leaving(reader);
  return server;
}

listed_vm read_entry_vm(const json::object& object, message_reader& reader) {
  entry_vm vm;
  vm.id = reader.text("id");
  vm.incarnation = reader.text("incarnation");
  vm.failure_domain = reader.text("failure_domain");
  vm.agent = read_endpoint(reader, "address");
  if (object.contains("router")) {
    vm.router = read_endpoint(reader, "router");
  }
  vm.leaving = read_leaving(reader);
  return vm;
}

std::optional<listed_vm> read_vm(const json::object& object) {
  message_reader reader(object);
  const std::string role = reader.text("role");
  reader.require(role == "backend" || role == "entry");
  reader.require(!reader.text("id").empty());
  listed_vm vm =
      role == "entry" ? read_entry_vm(object, reader) : read_backend_server(object, reader);
  return reader.valid() ? std::optional(std::move(vm)) : std::nullopt;
}

}  // namespace

std::string transaction_body(const transaction& tx) {
  json::array compare;
  for (const condition& wanted : tx.conditions) {
    compare.push_back(condition_json(wanted));
  }
  json::array success;
  for (const effect& wanted : tx.effects) {
    success.push_back(effect_json(wanted));
  }
  json::array failure;
  for (const std::string& key : tx.read_on_conflict) {
    json::object body{{"key", encode_base64(key)}};
    failure.push_back(json::object{{"request_range", std::move(body)}});
  }
  json::object body{{"compare", std::move(compare)}, {"success", std::move(success)}};
  body["failure"] = std::move(failure);
  return json::serialize(body);
}

std::string range_body(std::string_view key, std::string_view end) {
  json::object body{{"key", encode_base64(key)}};
  if (!end.empty()) {
    body["range_end"] = encode_base64(end);
  }
  return json::serialize(body);
}

std::string grant_body(duration time_to_live) {
  const std::int64_t seconds = (time_to_live.ms + ms_per_second - 1) / ms_per_second;
  return json::serialize(json::object{{"TTL", std::to_string(seconds)}});
}

std::string lease_id_body(std::int64_t lease) {
  return json::serialize(json::object{{"ID", std::to_string(lease)}});
}

std::string watch_body(std::string_view prefix, std::int64_t start_revision) {
  json::object wanted{{"key", encode_base64(prefix)},
                      {"range_end", encode_base64(prefix_end(prefix))},
                      {"start_revision", std::to_string(start_revision)},
                      {"progress_notify", true}};
  return json::serialize(json::object{{"create_request", std::move(wanted)}});
}

std::optional<transaction_outcome> parse_transaction(std::string_view text) {
  const auto object = parse_message(text);
  if (!object) {
    return {};
  }
  message_reader reader(*object);
  transaction_outcome outcome;
  outcome.applied = reader.boolean("succeeded");
  outcome.revision = read_revision(reader);
  for (const json::object* response : reader.objects("responses")) {
    if (outcome.applied || !response->contains("response_range")) {
      continue;
    }
    message_reader response_reader(*response);
    message_reader range(response_reader.object("response_range"));
    for (key_value& found : read_key_values(range)) {
      outcome.current.push_back(std::move(found));
    }
    reader.require(response_reader.valid() && range.valid());
  }
  return reader.valid() ? std::optional(std::move(outcome)) : std::nullopt;
}

std::optional<read_outcome> parse_range(std::string_view text) {
  const auto object = parse_message(text);
  if (!object) {
    return {};
  }
  message_reader reader(*object);
  read_outcome outcome;
  outcome.revision = read_revision(reader);
  outcome.found = read_key_values(reader);
  // A truncated range would pass for the whole one.
  reader.require(!reader.boolean("more"));
  return reader.valid() ? std::optional(std::move(outcome)) : std::nullopt;
}

std::optional<std::int64_t> parse_grant(std::string_view text) {
  const auto object = parse_message(text);
  if (!object) {
    return {};
  }
  message_reader reader(*object);
  const std::int64_t id = reader.integer("ID");
  reader.require(id != 0);
  return reader.valid() ? std::optional(id) : std::nullopt;
}

std::optional<lease_state> parse_keep_alive(std::string_view text) {
  const auto object = parse_message(text);
  if (!object) {
    return {};
  }
  message_reader envelope(*object);
  message_reader reader(envelope.object("result"));
  const lease_state state{reader.integer("ID"), reader.integer("TTL") > 0};
  reader.require(state.id != 0);
  return envelope.valid() && reader.valid() ? std::optional(state) : std::nullopt;
}

std::optional<watch_message> parse_watch_message(std::string_view line) {
  const auto object = parse_message(line);
  if (!object) {
    return {};
  }
  message_reader envelope(*object);
  message_reader reader(envelope.object("result"));
  watch_message message;
  message.cancelled = reader.boolean("canceled");
  for (const json::object* event : reader.objects("events")) {
    message_reader event_reader(*event);
    const std::string type = event_reader.text("type");
    event_reader.require(type.empty() || type == "PUT" || type == "DELETE");
    watch_event read{read_key_value(event_reader.object("kv"), event_reader), type == "DELETE"};
    reader.require(event_reader.valid());
    message.events.push_back(std::move(read));
  }
  return envelope.valid() && reader.valid() ? std::optional(std::move(message)) : std::nullopt;
}

namespace {

bool is_in_domain(const listed_vm& vm, std::string_view failure_domain) {
  const auto* server = std::get_if<backend_server>(&vm);
  return server == nullptr || failure_domain.empty() || server->failure_domain == failure_domain;
}

}  // namespace

std::optional<std::vector<listed_vm>> parse_vm_list(std::string_view text,
                                                    std::string_view failure_domain) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_array()) {
    return {};
  }
  std::vector<listed_vm> list;
  for (const json::value& element : parsed.as_array()) {
    auto vm = element.is_object() ? read_vm(element.as_object()) : std::nullopt;
    if (!vm) {
      return {};
    }
    if (is_in_domain(*vm, failure_domain)) {
      list.push_back(std::move(*vm));
    }
  }
  return list;
}

}  // namespace hawthornnotch::platform
