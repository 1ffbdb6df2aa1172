#include "hawthornnotch/relay/exchange.h"

#include <boost/json.hpp>
#include <cmath>
#include <limits>

#include "object_reader.h"
#include "record_codec.h"
#include "suspicion_codec.h"

namespace hawthornnotch::relay {

namespace {

namespace json = boost::json;

using internal::any_count;
using internal::any_number;
using internal::object_reader;
using internal::read_number;

json::object to_json(const server_work& work) {
  return {{"server", work.server},
          {"running", work.running},
          {"prefill", work.prefill_tokens},
          {"sensitive", work.sensitive}};
}

json::object to_json(const peer& each);
json::object to_json(const server_pace& pace);
json::object to_json(const server_absence& absence);
json::object to_json(const servers::departure& departure);
json::object to_json(const servers::rate_limit& limit);
json::object to_json(const servers::server_entry& entry);

template <class Range>
json::array to_array(const Range& range) {
  json::array out;
  out.reserve(range.size());
  for (const auto& each : range) {
    out.push_back(to_json(each));
  }
  return out;
}

json::object to_json(const peer& each) {
  json::object out{{"vm", each.vm},
                   {"domain", each.failure_domain},
                   {"address", to_text(each.address)},
                   {"incarnation", each.incarnation},
                   {"heartbeat", each.heartbeat},
                   {"leaving", each.leaving},
                   {"work", to_array(each.work)}};
  if (each.declares_versions) {
    out["declares"] = true;
  }
  return out;
}

// Whole milliseconds are precise enough and keep messages short.
std::int64_t rounded(double ms) { return std::llround(ms); }

json::object to_json(const server_pace& pace) {
  return {{"server", pace.server},
          {"born", pace.start_time_ms},
          {"usual", rounded(pace.usual_gap_ms)},
          {"long", rounded(pace.long_gap_ms)}};
}

json::object to_json(const server_absence& absence) {
  return {{"server", absence.server}, {"remaining_ms", absence.remaining.ms}};
}

json::object to_json(const servers::departure& departure) {
  return {{"server", departure.server},
          {"born", departure.start_time_ms},
          {"remaining_ms", departure.remaining.ms}};
}

json::object to_json(const servers::rate_limit& limit) {
  json::object out{{"server", limit.server},
                   {"born", limit.start_time_ms},
                   {"observed_ms", limit.observed_at.ms}};
  if (limit.rate) {
    out["milli_per_s"] = limit.rate->milli_per_s;
  }
  return out;
}

json::object to_json(const servers::server_entry& entry) {
  json::object out{{"id", entry.id},
                   {"born", entry.start_time_ms},
                   {"service", entry.service},
                   {"address", to_text(entry.address)},
                   {"domain", entry.failure_domain},
                   {"slots", entry.slots},
                   {"leaving", entry.leaving}};
  if (!entry.software_version.empty()) {
    out["version"] = entry.software_version;
  }
  if (entry.preemptible) {
    out["preemptible"] = true;
  }
  if (entry.leaves_in) {
    out["leaves_in_ms"] = entry.leaves_in->ms;
  }
  return out;
}

server_work read_work(const json::object& object, bool& good) {
  object_reader reader(object, good);
  server_work out;
  out.server = reader->text("server");
  out.running = static_cast<std::uint32_t>(
      reader->integer("running", {0, std::numeric_limits<std::uint32_t>::max()}));
  out.prefill_tokens = static_cast<std::uint64_t>(reader->integer("prefill", any_count));
  out.sensitive = static_cast<std::uint32_t>(
      reader->integer("sensitive", {0, std::numeric_limits<std::uint32_t>::max()}));
  return out;
}

peer read_peer(const json::object& object, bool& good) {
  object_reader reader(object, good);
  peer out;
  out.vm = reader->text("vm");
  out.failure_domain = reader->text("domain");
  out.address = reader->address("address");
  out.incarnation = reader->text("incarnation");
  out.heartbeat = static_cast<std::uint64_t>(reader->integer("heartbeat", any_count));
  out.leaving = reader->boolean("leaving");
  out.declares_versions = reader->boolean("declares", false);
  for (const json::object* work : reader->objects("work", true)) {
    out.work.push_back(read_work(*work, good));
  }
  return out;
}

server_pace read_pace(const json::object& object, bool& good) {
  object_reader reader(object, good);
  server_pace out;
  out.server = reader->text("server");
  out.start_time_ms = reader->integer("born", any_number);
  out.usual_gap_ms = static_cast<double>(reader->integer("usual", any_count));
  out.long_gap_ms = static_cast<double>(reader->integer("long", any_count));
  return out;
}

server_absence read_absence(const json::object& object, bool& good) {
  object_reader reader(object, good);
  server_absence out;
  out.server = reader->text("server");
  out.remaining = {reader->integer("remaining_ms", any_count)};
  return out;
}

servers::departure read_departure(const json::object& object, bool& good) {
  object_reader reader(object, good);
  servers::departure out;
  out.server = reader->text("server");
  out.start_time_ms = reader->integer("born", any_number);
  out.remaining = {reader->integer("remaining_ms", any_count)};
  return out;
}

servers::rate_limit read_limit(const json::object& object, bool& good) {
  object_reader reader(object, good);
  servers::rate_limit out;
  out.server = reader->text("server");
  out.start_time_ms = reader->integer("born", any_number);
  out.observed_at = {reader->integer("observed_ms", any_count)};
  if (reader->has("milli_per_s")) {
    out.rate = servers::request_rate{reader->integer("milli_per_s", any_count)};
  }
  return out;
}

servers::server_entry read_entry(const json::object& object, bool& good) {
  object_reader reader(object, good);
  servers::server_entry out;
  out.id = reader->text("id");
  out.start_time_ms = reader->integer("born", any_number);
  out.service = reader->text("service");
  out.address = reader->address("address");
  out.failure_domain = reader->text("domain");
  out.slots = static_cast<std::uint32_t>(
      reader->integer("slots", {0, std::numeric_limits<std::uint32_t>::max()}));
  out.leaving = reader->boolean("leaving");
  if (reader->has("version")) {
    out.software_version = reader->text("version");
  }
  out.preemptible = reader->boolean("preemptible", false);
  if (reader->has("leaves_in_ms")) {
    out.leaves_in = duration{reader->integer("leaves_in_ms", any_count)};
  }
  return out;
}

// Reads which configuration and server list the sender has.
void read_versions(object_reader& reader, exchange_message& into, bool& good) {
  into.config_version = reader->integer("config_version", any_count);
  into.config_seen.era = reader->integer("config_era", any_count, 0);
  into.config_seen.revision = reader->integer("config_revision", any_count);
  into.config_age = {reader->integer("config_age_ms", any_count)};
  into.list_version.era = reader->integer("list_era", any_count, 0);
  into.list_version.revision = reader->integer("list_revision", any_count);
  into.list_age = {reader->integer("list_age_ms", any_count)};
  good = good && read_number(reader->text("config_id"), into.config_id);
  good = good && read_number(reader->text("list_id"), into.list_id);
  good = good && read_number(reader->text("list_digest"), into.list_digest);
}

}  // namespace

std::string encode_peer(const peer& about) { return json::serialize(to_json(about)); }

result<peer, codec_failure> decode_peer(std::string_view text) {
  const auto object = parse_object(text);
  if (!object) {
    return failed{codec_failure::malformed};
  }
  bool good = true;
  peer decoded = read_peer(*object, good);
  if (!good) {
    return failed{codec_failure::malformed};
  }
  return decoded;
}

std::string encode(const exchange_message& message) {
  json::object out{{"from", to_json(message.from)},
                   {"config_version", message.config_version},
                   {"config_id", std::to_string(message.config_id)},
                   {"config_revision", message.config_seen.revision},
                   {"config_age_ms", message.config_age.ms},
                   {"list_revision", message.list_version.revision},
                   {"list_id", std::to_string(message.list_id)},
                   {"list_age_ms", message.list_age.ms},
                   {"list_digest", std::to_string(message.list_digest)},
                   {"paces", to_array(message.paces)},
                   {"absences", to_array(message.absences)},
                   {"peers", to_array(message.peers)}};
  // Fields added later are omitted when empty: VMs of an earlier release reject unknown keys.
  if (message.config_seen.era != 0) {
    out["config_era"] = message.config_seen.era;
  }
  if (message.list_version.era != 0) {
    out["list_era"] = message.list_version.era;
  }
  if (!message.departures.empty()) {
    out["departures"] = to_array(message.departures);
  }
  if (message.fleet_time.ms != 0) {
    out["fleet_ms"] = message.fleet_time.ms;
  }
  if (!message.limits.empty()) {
    out["limits"] = to_array(message.limits);
  }
  if (!message.suspicions.empty()) {
    out["suspicions"] = internal::encode_suspicions(message.suspicions);
  }
  if (!message.records.empty()) {
    out["records"] = internal::encode_records(message.records);
  }
  if (message.records_wanted) {
    out["records_wanted"] = true;
  }
  if (message.config) {
    out["config"] = *message.config;
  }
  if (message.list) {
    out["list"] = to_array(*message.list);
  }
  return json::serialize(out);
}

result<exchange_message, codec_failure> decode(std::string_view text) {
  const auto object = parse_object(text);
  if (!object) {
    return failed{codec_failure::malformed};
  }
  bool good = true;
  exchange_message out;
  {
    object_reader reader(*object, good);
    if (const json::object* from = reader->object("from", true)) {
      out.from = read_peer(*from, good);
    }
    read_versions(reader, out, good);
    for (const json::object* pace : reader->objects("paces", true)) {
      out.paces.push_back(read_pace(*pace, good));
    }
    for (const json::object* absence : reader->objects("absences", true)) {
      out.absences.push_back(read_absence(*absence, good));
    }
    for (const json::object* departure : reader->objects("departures")) {
      out.departures.push_back(read_departure(*departure, good));
    }
    out.fleet_time = {reader->integer("fleet_ms", any_count, 0)};
    for (const json::object* limit : reader->objects("limits")) {
      out.limits.push_back(read_limit(*limit, good));
    }
    for (const json::object* suspicion : reader->objects("suspicions")) {
      out.suspicions.push_back(internal::read_suspicion(*suspicion, good));
    }
    for (const json::object* each : reader->objects("records")) {
      out.records.push_back(internal::read_record(*each, good));
    }
    out.records_wanted = reader->boolean("records_wanted", false);
    for (const json::object* each : reader->objects("peers", true)) {
      out.peers.push_back(read_peer(*each, good));
    }
    if (reader->has("config")) {
      out.config = reader->text("config");
    }
    if (reader->has("list")) {
      out.list.emplace();
      for (const json::object* entry : reader->objects("list")) {
        out.list->push_back(read_entry(*entry, good));
      }
    }
  }
  if (!good) {
    return failed{codec_failure::malformed};
  }
  return out;
}

}  // namespace hawthornnotch::relay
