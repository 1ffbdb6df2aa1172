#include "hawthornnotch/streams/origin_message.h"

#include <boost/json.hpp>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::streams {

namespace {

namespace json = boost::json;

constexpr integer_range age_range_ms{0, max_stream_age.ms};

json::object to_json(const stream_key& key) {
  return {{"workspace", key.workspace}, {"service", key.service}, {"attempt", key.attempt}};
}

json::object to_json(const stream_origin& origin) {
  json::object out = to_json(origin.key);
  out["version"] = origin.software_version;
  out["age_ms"] = origin.age.ms;
  return out;
}

stream_key read_key(json_reader& reader) {
  stream_key key;
  key.workspace = reader.text("workspace");
  key.service = reader.text("service");
  key.attempt = reader.text("attempt");
  return key;
}

}  // namespace

std::string encode(const origin_message& message) {
  json::array origins;
  for (const stream_origin& each : message.origins) {
    origins.push_back(to_json(each));
  }
  json::array questions;
  for (const stream_key& each : message.questions) {
    questions.push_back(to_json(each));
  }
  return json::serialize(
      json::object{{"origins", std::move(origins)}, {"questions", std::move(questions)}});
}

result<origin_message, origin_codec_failure> decode_origin_message(std::string_view text) {
  const auto object = parse_object(text);
  if (!object) {
    return failed{origin_codec_failure::malformed};
  }
  origin_message out;
  bool good = true;
  json_reader reader(*object, "");
  for (const json::object* each : reader.objects("origins", true)) {
    json_reader origin(*each, "");
    stream_origin& added = out.origins.emplace_back();
    added.key = read_key(origin);
    added.software_version = origin.text("version");
    added.age = {origin.integer("age_ms", age_range_ms)};
    good = !origin.finish() && good;
  }
  for (const json::object* each : reader.objects("questions", true)) {
    json_reader question(*each, "");
    out.questions.push_back(read_key(question));
    good = !question.finish() && good;
  }
  if (reader.finish() || !good) {
    return failed{origin_codec_failure::malformed};
  }
  return out;
}

}  // namespace hawthornnotch::streams
