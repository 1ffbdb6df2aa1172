/// \file
/// The two users' traffic: classes, their parts of the work, and the burst.
#ifndef HAWTHORNNOTCH_BENCH_POLICY_LAB_LOAD_SHAPE_H_
#define HAWTHORNNOTCH_BENCH_POLICY_LAB_LOAD_SHAPE_H_

#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/config/model.h"

namespace hawthornnotch::lab {

/// One class with its part of the offered work.
struct class_shape {
  request_class traffic_class;
  double mean_tokens = 100;
  std::uint32_t prompt_tokens = 200;
  /// Leading part of the prompt that all requests of the class share.
  std::uint32_t shared_tokens = 0;
  /// Offered work over the capacity, outside and inside the burst.
  double base = 0;
  double burst = 0;
};

/// One user's traffic.
struct load_shape {
  std::string name;
  std::vector<class_shape> classes;
};

/// Pre-dawn burst of bulletins and duty answers over station summaries.
load_shape poledica();
/// Counter queue of lookups and bookings over contracts, renewal summaries and pitch letters.
load_shape roundabout();

}  // namespace hawthornnotch::lab

#endif  // HAWTHORNNOTCH_BENCH_POLICY_LAB_LOAD_SHAPE_H_
