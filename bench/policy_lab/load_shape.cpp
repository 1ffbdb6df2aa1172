#include "load_shape.h"

namespace hawthornnotch::lab {

namespace {

using namespace literals;

request_class make_class(std::string_view name, tier service_tier, latency_target target,
                         duration queue_limit) {
  request_class made;
  made.name = name;
  made.service_tier = service_tier;
  made.target = target;
  made.queue_limit = queue_limit;
  return made;
}

latency_target interactive() { return {1300_ms, 36_ms, std::nullopt}; }
latency_target whole_within(duration completion) {
  return {std::nullopt, std::nullopt, completion};
}

class_shape non_idempotent(class_shape shape) {
  shape.traffic_class.idempotent = false;
  return shape;
}

}  // namespace

load_shape poledica() {
  return {
      "poledica",
      {
          {make_class("bulletin", 0, interactive(), 30_s), 180, 600, 400, 0.08, 0.55},
          {make_class("duty_answer", 0, interactive(), 30_s), 40, 150, 0, 0.05, 0.15},
          non_idempotent(
              {make_class("gritting_order", 0, interactive(), 30_s), 20, 100, 0, 0.02, 0.05}),
          {make_class("route_note", 1, {3000_ms, 60_ms, std::nullopt}, 30_s), 120, 300, 0, 0.10,
           0.35},
          {make_class("station_fetch", 2, whole_within(15_s), 30_s), 60, 100, 0, 0.15, 0.40},
          {make_class("station_summary", 3, whole_within(90_s), 120_s), 300, 800, 300, 0.30, 0.50},
      }};
}

load_shape roundabout() {
  return {
      "roundabout",
      {
          {make_class("lookup", 0, interactive(), 30_s), 30, 120, 0, 0.10, 0.40},
          non_idempotent({make_class("booking", 0, interactive(), 30_s), 15, 120, 0, 0.05, 0.20}),
          {make_class("contract", 1, {4000_ms, 60_ms, std::nullopt}, 60_s), 800, 4000, 3600, 0.25,
           0.60},
          {make_class("renewal_summary", 2, whole_within(60_s), 90_s), 250, 1500, 200, 0.15, 0.40},
          {make_class("pitch_letter", 3, whole_within(90_s), 120_s), 120, 300, 200, 0.15, 0.40},
      }};
}

}  // namespace hawthornnotch::lab
