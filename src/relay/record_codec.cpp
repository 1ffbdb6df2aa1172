#include "record_codec.h"

#include "object_reader.h"

namespace hawthornnotch::relay::internal {

namespace {

namespace json = boost::json;

constexpr integer_range any_topic{0, static_cast<std::int64_t>(replication::topic_count) - 1};

// Short keys, since a message may hold dozens of records.
json::object to_json(const replication::record& what) {
  json::object values;
  for (const auto& [name, value] : what.values) {
    values[name] = value;
  }
  return {{"vm", what.key.vm},
          {"run", what.key.incarnation},
          {"topic", static_cast<std::int64_t>(what.key.about)},
          {"of", what.key.subject},
          {"version", what.version},
          {"age_ms", what.age.ms},
          {"values", std::move(values)}};
}

}  // namespace

json::array encode_records(std::span<const replication::record> records) {
  json::array out;
  out.reserve(records.size());
  for (const replication::record& each : records) {
    out.push_back(to_json(each));
  }
  return out;
}

replication::record read_record(const json::object& object, bool& good) {
  object_reader reader(object, good);
  replication::record out;
  out.key.vm = reader->text("vm");
  out.key.incarnation = reader->text("run");
  out.key.about = static_cast<replication::topic>(reader->integer("topic", any_topic));
  out.key.subject = reader->text("of");
  out.version = static_cast<std::uint64_t>(reader->integer("version", any_count));
  out.age = {reader->integer("age_ms", any_count)};
  const json::object* values = reader->object("values", true);
  if (values == nullptr) {
    return out;
  }
  for (const auto& [name, value] : *values) {
    if (!value.is_int64()) {
      good = false;
      return out;
    }
    out.values.emplace(std::string(name), value.as_int64());
  }
  return out;
}

}  // namespace hawthornnotch::relay::internal
