// Registers this entry VM in the platform's store and discovers the others there.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_

#include <boost/asio/steady_timer.hpp>
#include <span>

#include "gateway_state.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/relay/reading_schedule.h"
#include "store_sync.h"

namespace hawthornnotch::gateway::internal {

// Keeps a leased key in the store while this VM is one of those that register, and reads the keys
// of the others.  Seeds may be out of date; the store is then the only way to find a first peer.
// All other peers are learned through exchanges.
//
// A failed call is retried after a jittered pause; the entry outlives several failures.  A lease
// that expired, or that a restore of the store may have invalidated, is replaced by a new one.
//
// Ownership: refers to the state and the store, which outlive it.  Thread safety: none.
class store_registration {
 public:
  store_registration(gateway_state& shared, platform::key_value_store& store,
                     const boost::asio::any_io_executor& executor);
  void start();
  // Call after a restore of the store: the entry may be missing from it.
  void on_store_restored();

 private:
  // Registers, renews the lease, or lets it expire, depending on this VM's rank among the live
  // ones.
  void check();
  void register_vm();
  // \param restores_at_call `store_era::restores` when the lease was requested.
  void write_entry(std::int64_t lease, std::uint64_t restores_at_call);
  void renew();
  void on_lease_renewed();
  void retry(platform::failure_kind reason);
  void discover_peers();
  void add_peers(std::span<const platform::key_value> entries);
  // Drops a lease that a restore of the store may have ended or reassigned to another VM.
  void drop_lease_after_restore();
  // \returns whether no other live entry VM is known.
  [[nodiscard]] bool knows_no_peers() const;
  void schedule(duration pause, void (store_registration::*step)());

  gateway_state& shared_;
  platform::key_value_store& store_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer discovery_timer_;
  time_point started_at_;
  // When the entries of the other VMs were last read.
  time_point last_discovery_at_;
  // 0 if there is none.
  std::int64_t lease_ = 0;
  // `store_era::restores` when `lease_` was requested.  After a restore the lease may belong to
  // another VM.
  std::uint64_t restores_at_grant_ = 0;
  dependency_monitor store_lease_{"store_lease"};
  dependency_monitor store_entries_{"store_entries"};
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_STORE_REGISTRATION_H_
