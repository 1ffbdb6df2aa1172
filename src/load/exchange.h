/// \file
/// The life of one request as its caller sees it.
#ifndef HAWTHORNNOTCH_SRC_LOAD_EXCHANGE_H_
#define HAWTHORNNOTCH_SRC_LOAD_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/load/results.h"
#include "hawthornnotch/load/settings.h"
#include "hawthornnotch/net/http_client.h"

namespace hawthornnotch::load {

/// What all exchanges of a run share; outlives them.
struct run_context {
  const load_settings& settings;
  net::http_client& client;
  const clock& time;
  time_point started;
  /// Unlike for each run, so that keys of one run mean nothing to another.
  std::string run_id;
};

/// Sends one request and follows its answer to the end.
boost::asio::awaitable<void> exchange(const run_context& context, planned_request planned,
                                      sample& into);

}  // namespace hawthornnotch::load

#endif  // HAWTHORNNOTCH_SRC_LOAD_EXCHANGE_H_
