#include "load_sharing.h"

#include <string>

#include "hawthornnotch/dispatch/speed_record.h"

namespace hawthornnotch::gateway::internal {

namespace {

/// A report is used for 500 ms, so most reach others with a part of that left.
constexpr duration share_period{250};
constexpr std::size_t max_servers_per_record = 64;

}  // namespace

load_sharing::load_sharing(gateway_state& shared, const boost::asio::any_io_executor& executor)
    : shared_(shared), ticker_(executor, share_period, [this] { exchange(); }) {}

void load_sharing::exchange() {
  const time_point now = shared_.time.now();
  write(now);
  read(now);
}

void load_sharing::write(time_point now) {
  const auto speeds = shared_.dispatcher.speeds_to_share(now);
  std::size_t part = 0;
  for (auto& values : dispatch::to_record_values(speeds, max_servers_per_record)) {
    shared_.records.write(replication::topic::load, std::to_string(part), std::move(values), now);
    ++part;
  }
}

void load_sharing::read(time_point now) {
  for (const replication::record* each : shared_.records.of(replication::topic::load, now)) {
    const bool own = each->key.vm == shared_.records.vm() &&
                     each->key.incarnation == shared_.records.incarnation();
    if (!own && each->age < dispatch::reported_speed::shared_lifetime) {
      shared_.dispatcher.apply_peer_speeds(dispatch::from_record_values(each->values, each->age),
                                           now);
    }
  }
}

}  // namespace hawthornnotch::gateway::internal
