/// \file
/// What the load tool is told: where to send, how much, which faults when.
#ifndef HAWTHORNNOTCH_LOAD_SETTINGS_H_
#define HAWTHORNNOTCH_LOAD_SETTINGS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/load/profile.h"
#include "hawthornnotch/load/schedule.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::load {

/// A stand-in engine whose counters are read and whose capacity is known.
struct engine_target {
  endpoint address;
  engine_speed speed;
};

/// One fault switched at a stand-in.
struct fault_order {
  /// Since the start of the run.
  duration at;
  endpoint target;
  /// A kind that the stand-ins know, or `clear`.
  std::string kind;
  double value = 0;
  std::uint64_t count = 0;
  std::string path;
};

struct load_settings {
  std::string label;
  profile mix;
  std::string model;
  std::uint64_t seed = 1;
  duration length{30'000};
  /// Requests per second outside the burst; 0: taken from `burst_load`.
  double base_rate = 0;
  /// Demand for tokens in the burst as a multiple of the engines' capacity; 0: taken from
  /// `base_rate`.
  double burst_load = 0;
  std::vector<endpoint> routers;
  std::vector<engine_target> engines;
  /// Stand-in services whose runs by key are compared with what callers were told.
  std::vector<endpoint> services;
  std::vector<fault_order> faults;
  std::string bearer_key;
  /// Upper bound of requests in progress; further ones are counted as not sent.
  std::size_t open_requests = 4000;
  /// How long a caller waits for its answer's head, and between two pieces of it.
  duration patience{90'000};
  std::size_t threads = 2;
};

/// Reads and checks the settings.  Base rate and burst load are both filled in where engines are
/// given.
result<load_settings, settings_failure> parse_load_settings(const boost::json::object& object);

/// \returns tokens per second that the engines can generate in second `second` of the run, with
/// the faults that are on then.
double capacity_at(const load_settings& settings, std::int64_t second);

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_LOAD_SETTINGS_H_
