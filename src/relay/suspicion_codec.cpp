#include "suspicion_codec.h"

#include <limits>

#include "object_reader.h"

namespace hawthornnotch::relay::internal {

namespace {

namespace json = boost::json;

constexpr integer_range any_kind{0, static_cast<std::int64_t>(quarantine::suspect_kind::request)};
constexpr integer_range any_uint32{0, std::numeric_limits<std::uint32_t>::max()};

json::object to_json(const quarantine::crash& crash) {
  return {{"server", crash.server}, {"at_ms", crash.at.ms}};
}

json::object to_json(const quarantine::suspicion& suspicion) {
  json::array crashes;
  for (const quarantine::crash& each : suspicion.crashes) {
    crashes.push_back(to_json(each));
  }
  json::object out{{"kind", static_cast<std::int64_t>(suspicion.what.kind)},
                   {"what", to_hex(suspicion.what.digest)},
                   {"position", suspicion.position},
                   {"crashes", std::move(crashes)},
                   {"seen_ms", suspicion.last_seen.ms}};
  if (suspicion.last_success) {
    out["success_ms"] = suspicion.last_success->ms;
  }
  return out;
}

quarantine::crash read_crash(const json::object& object, bool& good) {
  object_reader reader(object, good);
  quarantine::crash out;
  out.server = static_cast<std::uint32_t>(reader->integer("server", any_uint32));
  out.at = {reader->integer("at_ms", any_count)};
  return out;
}

}  // namespace

json::array encode_suspicions(std::span<const quarantine::suspicion> suspicions) {
  json::array out;
  for (const quarantine::suspicion& each : suspicions) {
    out.push_back(to_json(each));
  }
  return out;
}

quarantine::suspicion read_suspicion(const json::object& object, bool& good) {
  object_reader reader(object, good);
  quarantine::suspicion out;
  out.what.kind = static_cast<quarantine::suspect_kind>(reader->integer("kind", any_kind));
  const auto digest = digest_from_hex(reader->text("what"));
  good = digest.has_value() && good;
  out.what.digest = digest.value_or(digest128{});
  out.position = static_cast<std::uint32_t>(reader->integer("position", any_uint32));
  for (const json::object* crash : reader->objects("crashes")) {
    out.crashes.push_back(read_crash(*crash, good));
  }
  out.last_seen = {reader->integer("seen_ms", any_count)};
  if (reader->has("success_ms")) {
    out.last_success = time_point{reader->integer("success_ms", any_count)};
  }
  return out;
}

}  // namespace hawthornnotch::relay::internal
