// Shares the slowness of servers with the other entry VMs.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_LOAD_SHARING_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_LOAD_SHARING_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>

#include "gateway_state.h"
#include "ticker.h"

namespace hawthornnotch::gateway::internal {

// Writes records about servers that reported a slowness to this VM, and reads those of others.
// Nothing is written while all servers are at their usual speed or report none.
// Ownership: refers to the state, which outlives it.  Thread safety: none.
class load_sharing {
 public:
  load_sharing(gateway_state& shared, const boost::asio::any_io_executor& executor);
  void start() { ticker_.start(); }

 private:
  void exchange();
  void write(time_point now);
  void read(time_point now);

  gateway_state& shared_;
  ticker ticker_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_LOAD_SHARING_H_
