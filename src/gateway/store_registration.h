// Announces this entry VM in the platform's store and finds the others there.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_

#include <boost/asio/steady_timer.hpp>
#include <span>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/reading_schedule.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// Keeps a leased key while the process is one of those that do.  Seeds may be out of date; the
// store then is the only way to the first peer, all others are known through exchanges.
class store_registration {
 public:
  store_registration(gateway_state& shared, platform::key_value_store& store,
                     const boost::asio::any_io_executor& executor);
  void start();
  // The store was restored: the entry may be gone from it.
  void on_store_restored();

 private:
  // Takes up or gives up the entry as the order of the entry VMs demands.
  void check();
  void register_vm();
  // \param restores_at_call `store_era::restores` when the lease was asked for.
  void write_entry(std::int64_t lease, std::uint64_t restores_at_call);
  void renew();
  void on_lease_renewed();
  void retry(platform::failure_kind why);
  void discover_peers();
  void add_peers(std::span<const platform::key_value> entries);
  // Gives up a lease that a restore of the store may have ended or given to another VM.
  void drop_lease_after_restore();
  // \returns whether no other live entry VM is known.
  [[nodiscard]] bool knows_no_peers() const;
  void schedule(duration pause, void (store_registration::*step)());

  gateway_state& shared_;
  platform::key_value_store& store_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer discovery_timer_;
  time_point started_at_;
  // When the entries of the others were last read.
  time_point last_discovery_at_;
  // 0 while the process has none.
  std::int64_t lease_ = 0;
  // `store_era::restores` when it was granted: after a restore it may be another VM's.
  std::uint64_t restores_at_grant_ = 0;
  dependency_monitor store_lease_{"store_lease"};
  dependency_monitor store_entries_{"store_entries"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_
