/// \file
/// What the stand-ins counted, and what that says about the callers' answers.
#ifndef HAWTHORNNOTCH_SRC_LOAD_COUNTERS_H_
#define HAWTHORNNOTCH_SRC_LOAD_COUNTERS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "exchange.h"

namespace hawthornnotch::load {

/// Sums over all stand-ins that answered.
struct standin_counters {
  double tokens = 0;
  std::map<std::string, std::uint64_t> tokens_by_request;
  std::map<std::string, std::uint64_t> runs_by_key;
};

boost::asio::awaitable<standin_counters> read_counters(const load_settings& settings,
                                                       net::http_client& client);

/// Counts keys that ran twice, and keys that ran although every caller was told `not_run`.
void check_orders(const std::vector<sample>& samples, const standin_counters& counted,
                  run_result& into);

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_SRC_LOAD_COUNTERS_H_
