#include "rpc/fleet_json.h"

#include <algorithm>
#include <string>
#include <utility>

#include "hawthornnotch/config/codec.h"

namespace hawthornnotch::rpc {

namespace json = boost::json;

namespace {

// Ages are capped at one day; any report this old is stale.
constexpr std::int64_t max_age_ms = 24LL * 3600 * 1000;
constexpr std::size_t report_fields = 4;
constexpr std::size_t waiting_fields = 1 + tier_count;

std::optional<std::int64_t> non_negative_at(const json::array& list, std::size_t index) {
  if (!list[index].is_int64() || list[index].get_int64() < 0) {
    return std::nullopt;
  }
  return list[index].get_int64();
}

// Returns the array if it has `size` elements and the first is a string, else null.
const json::array* array_with_name(const json::value& value, std::size_t size) {
  const auto* list = value.if_array();
  if (list == nullptr || list->size() != size || !list->front().is_string()) {
    return nullptr;
  }
  return list;
}

std::string name_of(const json::array& list) {
  const auto& name = list.front().get_string();
  return {name.data(), name.size()};
}

}  // namespace

json::array report_to_json(const load_report& report, time_point now) {
  const std::int64_t age = std::clamp<std::int64_t>((now - report.measured).ms, 0, max_age_ms);
  return {report.backend_server, report.running, report.waiting, age};
}

std::optional<load_report> report_from_json(const json::value& value, time_point now) {
  const auto* list = array_with_name(value, report_fields);
  if (list == nullptr) {
    return std::nullopt;
  }
  const auto running = non_negative_at(*list, 1);
  const auto waiting = non_negative_at(*list, 2);
  const auto age = non_negative_at(*list, 3);
  if (!running || !waiting || !age) {
    return std::nullopt;
  }
  load_report report;
  report.backend_server = name_of(*list);
  report.running = static_cast<std::uint32_t>(*running);
  report.waiting = static_cast<std::uint32_t>(*waiting);
  report.measured = now - duration{std::min(*age, max_age_ms)};
  return report;
}

json::array waiting_to_json(const peer_waiting& waiting) {
  json::array out;
  out.emplace_back(waiting.vm);
  for (const std::uint32_t count : waiting.by_tier) {
    out.emplace_back(count);
  }
  return out;
}

std::optional<peer_waiting> waiting_from_json(const json::value& value) {
  const auto* list = array_with_name(value, waiting_fields);
  if (list == nullptr) {
    return std::nullopt;
  }
  peer_waiting waiting;
  waiting.vm = name_of(*list);
  for (std::size_t index = 0; index < tier_count; ++index) {
    const auto count = non_negative_at(*list, index + 1);
    if (!count) {
      return std::nullopt;
    }
    waiting.by_tier[index] = static_cast<std::uint32_t>(*count);
  }
  return waiting;
}

std::optional<workspace_parameters> workspace_from_json(const json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  auto parsed = parse_workspace(*object);
  if (!parsed) {
    return std::nullopt;
  }
  return std::move(*parsed);
}

}  // namespace hawthornnotch::rpc
