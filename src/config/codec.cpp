#include "hawthornnotch/config/codec.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace hawthornnotch {

namespace {

namespace json = boost::json;

constexpr integer_range revision_range{0, std::numeric_limits<std::int64_t>::max()};
constexpr integer_range tier_range{0, tier_count - 1};
constexpr integer_range target_ms_range{1, 3'600'000};
constexpr integer_range queue_limit_ms_range{0, 3'600'000};
constexpr integer_range token_count_range{1, 1'000'000};
constexpr integer_range concurrency_range{0, 1'000'000};
constexpr integer_range percent_range{0, 1'000};
constexpr double max_requests_per_second = 1e6;
constexpr std::size_t max_name_length = 63;
constexpr std::size_t sha256_digits = 64;

void put_target(json::object& into, const char* key, const std::optional<duration>& target) {
  if (target) {
    into[key] = target->ms;
  }
}

json::object class_to_json(const request_class& from) {
  json::object into;
  into["name"] = from.name;
  into["tier"] = from.service_tier;
  put_target(into, "first_token_ms", from.target.first_token);
  put_target(into, "between_tokens_ms", from.target.between_tokens);
  put_target(into, "completion_ms", from.target.completion);
  into["idempotent"] = from.idempotent;
  into["queue_limit_ms"] = from.queue_limit.ms;
  into["max_tokens"] = from.max_tokens;
  return into;
}

json::array strings_to_json(const std::vector<std::string>& from) {
  json::array into;
  for (const std::string& text : from) {
    into.emplace_back(text);
  }
  return into;
}

std::optional<duration> read_target(json_reader& reader, std::string_view key) {
  if (!reader.has(key)) {
    return std::nullopt;
  }
  return reader.milliseconds(key, target_ms_range);
}

request_class read_class(json_reader& reader) {
  request_class into;
  into.name = reader.text("name");
  into.service_tier = static_cast<tier>(reader.integer("tier", tier_range));
  into.target.first_token = read_target(reader, "first_token_ms");
  into.target.between_tokens = read_target(reader, "between_tokens_ms");
  into.target.completion = read_target(reader, "completion_ms");
  into.idempotent = reader.boolean("idempotent", true);
  into.queue_limit = reader.milliseconds("queue_limit_ms", queue_limit_ms_range, into.queue_limit);
  into.max_tokens =
      static_cast<std::uint32_t>(reader.integer("max_tokens", token_count_range, into.max_tokens));
  return into;
}

std::vector<request_class> read_classes(json_reader& reader) {
  std::vector<request_class> into;
  std::size_t index = 0;
  for (const json::object* object : reader.objects("classes")) {
    json_reader nested(*object, reader.path_of("classes") + "." + std::to_string(index));
    into.push_back(read_class(nested));
    if (auto failure = nested.finish()) {
      reader.fail(*failure);
    }
    ++index;
  }
  return into;
}

workspace_limits read_limits(json_reader& reader) {
  workspace_limits into;
  const json::object* object = reader.object("limits");
  if (object == nullptr) {
    return into;
  }
  json_reader nested(*object, reader.path_of("limits"));
  into.requests_per_second =
      nested.number("requests_per_second", 0, max_requests_per_second, into.requests_per_second);
  into.concurrency = static_cast<std::uint32_t>(
      nested.integer("concurrency", concurrency_range, into.concurrency));
  into.queued =
      static_cast<std::uint32_t>(nested.integer("queued", concurrency_range, into.queued));
  if (auto failure = nested.finish()) {
    reader.fail(*failure);
  }
  return into;
}

bool is_name(std::string_view text) {
  constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !text.empty() && text.size() <= max_name_length &&
         text.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_key_hash(std::string_view text) {
  return text.size() == sha256_digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

settings_failure value_failure(std::string key, std::string value, std::string allowed) {
  return {settings_fault::out_of_range, std::move(key), std::move(value), std::move(allowed)};
}

std::optional<settings_failure> validate_name(const std::string& key, const std::string& value) {
  if (is_name(value)) {
    return std::nullopt;
  }
  return value_failure(key, value, "1 to 63 of a-z, 0-9, '-', '_' and '.'");
}

std::optional<settings_failure> validate_classes(const workspace_parameters& parameters) {
  std::set<std::string_view> names;
  for (const request_class& item : parameters.classes) {
    if (auto failure = validate_name("classes.name", item.name)) {
      return failure;
    }
    if (item.service_tier >= tier_count) {
      return value_failure("classes.tier", std::to_string(item.service_tier), "0 to 3");
    }
    if (!names.insert(item.name).second) {
      return value_failure("classes.name", item.name, "a name used once");
    }
  }
  if (!names.contains(parameters.default_class)) {
    return value_failure("default_class", parameters.default_class,
                         "the name of one of the classes");
  }
  return std::nullopt;
}

// Replaces "$name" with the parameter's value, at any depth.
class substitution {
 public:
  explicit substitution(const json::object& values) : values_(values) {}

  json::value apply(const json::value& from) {
    if (const auto* text = from.if_string()) {
      return substituted(*text);
    }
    if (const auto* list = from.if_array()) {
      json::array into;
      for (const json::value& element : *list) {
        into.push_back(apply(element));
      }
      return into;
    }
    if (const auto* object = from.if_object()) {
      return apply_object(*object);
    }
    return from;
  }

  json::object apply_object(const json::object& from) {
    json::object into;
    for (const auto& member : from) {
      into[member.key()] = apply(member.value());
    }
    return into;
  }

  [[nodiscard]] const std::optional<settings_failure>& failure() const { return failure_; }

 private:
  json::value substituted(const json::string& text) {
    if (text.empty() || text.front() != '$') {
      return text;
    }
    const std::string name(text.begin() + 1, text.end());
    const json::value* value = values_.if_contains(name);
    if (value == nullptr && !failure_) {
      failure_ = settings_failure{settings_fault::missing_key, "parameters." + name, "",
                                  "a parameter that the template declares"};
    }
    return value == nullptr ? json::value{} : *value;
  }

  const json::object& values_;
  std::optional<settings_failure> failure_;
};

// Merges the workspace's values over the template's defaults; fails if a parameter has no value.
result<json::object, settings_failure> resolve_parameters(const traffic_template& from,
                                                          const json::object* given) {
  json::object resolved = from.parameters;
  if (given != nullptr) {
    for (const auto& member : *given) {
      if (!resolved.contains(member.key())) {
        return failed{settings_failure{settings_fault::unknown_key,
                                       "parameters." + std::string(member.key()), "",
                                       "a parameter that the template declares"}};
      }
      resolved[member.key()] = member.value();
    }
  }
  for (const auto& member : resolved) {
    if (member.value().is_null()) {
      return failed{settings_failure{settings_fault::missing_key,
                                     "parameters." + std::string(member.key()), "", "a value"}};
    }
  }
  return resolved;
}

void merge_members(json::object& into, const json::object& from) {
  for (const auto& member : from) {
    into[member.key()] = member.value();
  }
}

json::object* find_class(json::array& classes, const json::value* name) {
  for (json::value& candidate : classes) {
    auto* object = candidate.if_object();
    const json::value* candidate_name = object == nullptr ? nullptr : object->if_contains("name");
    if (candidate_name != nullptr && name != nullptr && *candidate_name == *name) {
      return object;
    }
  }
  return nullptr;
}

// Overrides classes of the same name member by member and appends the others.
void merge_classes(json::value& into, const json::array& from) {
  if (!into.is_array()) {
    into = json::array{};
  }
  json::array& classes = into.get_array();
  for (const json::value& element : from) {
    const auto* object = element.if_object();
    json::object* existing =
        object == nullptr ? nullptr : find_class(classes, object->if_contains("name"));
    if (existing == nullptr) {
      classes.push_back(element);
    } else {
      merge_members(*existing, *object);
    }
  }
}

void merge_field(json::object& into, json::string_view key, const json::value& value) {
  if (key == "limits" && value.is_object() && into["limits"].is_object()) {
    merge_members(into["limits"].get_object(), value.get_object());
  } else if (key == "classes" && value.is_array()) {
    merge_classes(into["classes"], value.get_array());
  } else {
    into[key] = value;
  }
}

std::optional<settings_failure> check_reserved_fields(const json::object& workspace) {
  for (const char* key : {"revision", "deleted"}) {
    if (workspace.contains(key)) {
      return settings_failure{settings_fault::unknown_key, key, "", "a field that operators set"};
    }
  }
  return std::nullopt;
}

}  // namespace

json::object to_json(const workspace_parameters& parameters) {
  json::object into;
  into["workspace"] = parameters.workspace;
  into["revision"] = parameters.revision;
  into["template"] = parameters.template_name;
  into["key_hashes"] = strings_to_json(parameters.key_hashes);
  into["default_class"] = parameters.default_class;
  json::array classes;
  for (const request_class& item : parameters.classes) {
    classes.emplace_back(class_to_json(item));
  }
  into["classes"] = std::move(classes);
  into["limits"] = json::object{{"requests_per_second", parameters.limits.requests_per_second},
                                {"concurrency", parameters.limits.concurrency},
                                {"queued", parameters.limits.queued}};
  into["models"] = strings_to_json(parameters.models);
  into["retry_percent"] = parameters.retry_percent;
  into["deleted"] = parameters.deleted;
  return into;
}

result<workspace_parameters, settings_failure> parse_workspace(const json::object& object) {
  json_reader reader(object, "");
  workspace_parameters into;
  into.workspace = reader.text("workspace");
  into.revision = static_cast<std::uint64_t>(reader.integer("revision", revision_range, 0));
  into.template_name = reader.text("template", std::string());
  into.key_hashes = reader.texts("key_hashes");
  into.default_class = reader.text("default_class", std::string());
  into.classes = read_classes(reader);
  into.limits = read_limits(reader);
  into.models = reader.texts("models");
  into.retry_percent = static_cast<std::uint32_t>(
      reader.integer("retry_percent", percent_range, into.retry_percent));
  into.deleted = reader.boolean("deleted", false);
  if (auto failure = reader.finish()) {
    return failed{*failure};
  }
  if (auto failure = validate(into)) {
    return failed{*failure};
  }
  return into;
}

std::optional<settings_failure> validate(const workspace_parameters& parameters) {
  if (auto failure = validate_name("workspace", parameters.workspace)) {
    return failure;
  }
  for (const std::string& hash : parameters.key_hashes) {
    if (!is_key_hash(hash)) {
      return value_failure("key_hashes", hash, "64 lower-case hexadecimal digits");
    }
  }
  if (parameters.deleted) {
    return std::nullopt;
  }
  return validate_classes(parameters);
}

json::object to_json(const traffic_template& from) {
  return {{"template", from.name}, {"parameters", from.parameters}, {"body", from.body}};
}

result<traffic_template, settings_failure> parse_template(const json::object& object) {
  json_reader reader(object, "");
  traffic_template into;
  into.name = reader.text("template");
  if (const json::object* parameters = reader.object("parameters")) {
    into.parameters = *parameters;
  }
  if (const json::object* body = reader.object("body", true)) {
    into.body = *body;
  }
  if (auto failure = reader.finish()) {
    return failed{*failure};
  }
  if (auto failure = validate_name("template", into.name)) {
    return failed{*failure};
  }
  substitution check(into.parameters);
  check.apply_object(into.body);
  if (check.failure()) {
    return failed{*check.failure()};
  }
  return into;
}

result<workspace_parameters, settings_failure> expand(const traffic_template& from,
                                                      const json::object& workspace) {
  if (auto failure = check_reserved_fields(workspace)) {
    return failed{*failure};
  }
  const json::value* given = workspace.if_contains("parameters");
  if (given != nullptr && !given->is_object()) {
    return failed{settings_failure{settings_fault::wrong_type, "parameters", "", "an object"}};
  }
  const auto resolved = resolve_parameters(from, given == nullptr ? nullptr : &given->get_object());
  if (!resolved) {
    return failed{resolved.last_reason()};
  }
  substitution fill(*resolved);
  json::object merged = fill.apply_object(from.body);
  for (const auto& member : workspace) {
    if (member.key() != "parameters") {
      merge_field(merged, member.key(), member.value());
    }
  }
  merged["template"] = from.name;
  return parse_workspace(merged);
}

}  // namespace hawthornnotch
