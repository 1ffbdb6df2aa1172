// Announces this entry VM in the platform's store and finds the others there.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_

#include <boost/asio/steady_timer.hpp>

#include "hawthornnotch/platform/client.h"
#include "state.h"
#include "store_follower.h"

namespace hawthornnotch::gateway::internal {

// Keeps a leased key while the process lives.  Seeds may be out of date; the store then is the only
// way to the first peer, all others are known through exchanges.
class store_registration {
 public:
  store_registration(state& shared, platform::client& store,
                     const boost::asio::any_io_executor& executor);
  void start();

 private:
  void announce();
  void write(std::int64_t lease);
  void renew();
  void find_peers();
  void next_in(duration pause, void (store_registration::*step)());

  state& shared_;
  platform::client& store_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer find_timer_;
  std::int64_t lease_ = 0;
  dependency store_lease_{"store_lease"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_
