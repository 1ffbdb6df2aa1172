// Watches over a streamed response.
#ifndef HAWTHORNNOTCH_SRC_PLATFORM_WATCH_TASK_H_
#define HAWTHORNNOTCH_SRC_PLATFORM_WATCH_TASK_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "call_support.h"
#include "hawthornnotch/net/http_client.h"
#include "hawthornnotch/platform/http_client.h"

namespace hawthornnotch::platform::internal {

// Opens a watch and passes its events to `events` until a failure ends it or the handle is
// destroyed.
//
// Ownership: `http` and `endpoints` must outlive the watch.
std::unique_ptr<watch_handle> open_watch(const boost::asio::any_io_executor& executor,
                                         net::http_client& http, endpoint_list& endpoints,
                                         call_limits limits, net::http_request request,
                                         watch_callback events);

}  // namespace hawthornnotch::platform::internal

#endif  // HAWTHORNNOTCH_SRC_PLATFORM_WATCH_TASK_H_
