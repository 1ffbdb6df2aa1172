#include "store_registration.h"

#include <chrono>
#include <string>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view entry_prefix = "hn/entry/";
/// A VM that ends without notice is still named in the store for this long.
constexpr duration lease_time{30'000};
constexpr duration renewal_period{10'000};
/// How often the store is asked for other entry VMs while none is known, and otherwise.
constexpr duration alone_period{1'000};
constexpr duration usual_period{30'000};

std::chrono::milliseconds to_chrono(duration span) { return std::chrono::milliseconds(span.ms); }

}  // namespace

store_registration::store_registration(state& shared, platform::client& store,
                                       const asio::any_io_executor& executor)
    : shared_(shared), store_(store), timer_(executor), find_timer_(executor) {}

void store_registration::start() {
  announce();
  next_in(alone_period, &store_registration::find_peers);
}

void store_registration::next_in(duration pause, void (store_registration::*step)()) {
  asio::steady_timer& timer = step == &store_registration::find_peers ? find_timer_ : timer_;
  timer.expires_after(to_chrono(pause));
  timer.async_wait([this, step](const boost::system::error_code& error) {
    if (!error) {
      (this->*step)();
    }
  });
}

void store_registration::announce() {
  store_.grant_lease(lease_time, [this](auto lease) {
    if (!lease) {
      const auto why = to_string(lease.last_reason().kind);
      next_in(store_lease_.failed_now(why, shared_.random), &store_registration::announce);
      return;
    }
    write(*lease);
  });
}

void store_registration::write(std::int64_t lease) {
  platform::transaction change;
  const std::string key = std::string(entry_prefix) + shared_.settings.vm;
  change.effects.emplace_back(platform::put{key, relay::encode_peer(shared_.peers.self()), lease});
  store_.transact(std::move(change), [this, lease](auto outcome) {
    if (!outcome) {
      const auto why = to_string(outcome.last_reason().kind);
      next_in(store_lease_.failed_now(why, shared_.random), &store_registration::announce);
      return;
    }
    store_lease_.succeeded();
    lease_ = lease;
    next_in(renewal_period, &store_registration::renew);
  });
}

void store_registration::renew() {
  store_.keep_alive(lease_, [this](auto lease) {
    if (lease) {
      store_lease_.succeeded();
      next_in(renewal_period, &store_registration::renew);
      return;
    }
    const bool gone = lease.last_reason().kind == platform::failure_kind::lease_gone;
    const auto why = to_string(lease.last_reason().kind);
    const duration pause = store_lease_.failed_now(why, shared_.random);
    next_in(pause, gone ? &store_registration::announce : &store_registration::renew);
  });
}

void store_registration::find_peers() {
  if (shared_.peers.live_count(shared_.time.now()) > 1) {
    next_in(usual_period, &store_registration::find_peers);
    return;
  }
  store_.read_prefix(std::string(entry_prefix), [this](auto answer) {
    if (answer) {
      for (const platform::key_value& each : answer->found) {
        const auto found = relay::decode_peer(each.value);
        if (found) {
          shared_.peers.heard_of(*found, shared_.time.now());
        } else {
          observe::log_event(observe::level::warning, "peer_entry_unreadable", {{"key", each.key}});
        }
      }
    }
    next_in(alone_period * 2, &store_registration::find_peers);
  });
}

}  // namespace hawthornnotch::gateway::internal
