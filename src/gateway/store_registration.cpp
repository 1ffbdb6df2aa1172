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
/// Time over which entries are written again after a restore of the store.
constexpr duration restore_spread{2'000};
/// Pause after a failed call; entries outlive several.
constexpr duration retry_period{4'000};
/// How soon after the start, and how often, a process looks whether it has to keep an entry, and
/// whether it knows any other entry VM.
constexpr duration first_look{1'000};
constexpr duration look_period{2'000};
/// How often one VM of each failure domain reads the entries, so that groups of VMs that do not
/// know of each other meet.
constexpr duration meeting_period{30'000};

std::chrono::milliseconds to_chrono(duration span) { return std::chrono::milliseconds(span.ms); }

}  // namespace

store_registration::store_registration(state& shared, platform::key_value_store& store,
                                       const asio::any_io_executor& executor)
    : shared_(shared), store_(store), timer_(executor), find_timer_(executor) {}

void store_registration::start() {
  started_at_ = shared_.time.now();
  next_in(first_look, &store_registration::look);
  next_in(first_look, &store_registration::find_peers);
}

bool store_registration::alone() const { return shared_.peers.live_count(shared_.time.now()) <= 1; }

// Who comes first is known only when the others had time to make themselves known.
void store_registration::look() {
  forget_lost_lease();
  const time_point now = shared_.time.now();
  const bool knows_order = alone() || now - started_at_ >= look_period;
  if (!knows_order || !relay::registers_in_store(shared_.peers.rank(now))) {
    next_in(look_period, &store_registration::look);
  } else if (lease_ == 0) {
    announce();
  } else {
    renew();
  }
}

void store_registration::retry(platform::failure_kind why) {
  store_lease_.failed_now(to_string(why));
  constexpr double least_part = 0.5;
  const double spread = least_part + shared_.random.unit();
  const auto pause = static_cast<std::int64_t>(spread * static_cast<double>(retry_period.ms));
  next_in({pause}, &store_registration::look);
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

void store_registration::forget_lost_lease() {
  if (granted_in_ != shared_.era.restores()) {
    lease_ = 0;
  }
}

// Spread, since all VMs that keep an entry hear of the restore at about the same time.
void store_registration::begin_again() {
  if (lease_ == 0) {
    return;
  }
  const auto pause =
      static_cast<std::int64_t>(shared_.random.unit() * static_cast<double>(restore_spread.ms));
  next_in({pause}, &store_registration::look);
}

void store_registration::announce() {
  const std::uint64_t asked_in = shared_.era.restores();
  store_.grant_lease(lease_time, [this, asked_in](auto lease) {
    if (!lease) {
      retry(lease.last_reason().kind);
      return;
    }
    write(*lease, asked_in);
  });
}

void store_registration::write(std::int64_t lease, std::uint64_t asked_in) {
  platform::transaction change;
  const std::string key = std::string(entry_prefix) + shared_.settings.vm;
  change.effects.emplace_back(platform::put{key, relay::encode_peer(shared_.peers.self()), lease});
  store_.transact(std::move(change), [this, lease, asked_in](auto outcome) {
    if (!outcome) {
      retry(outcome.last_reason().kind);
      return;
    }
    lease_ = lease;
    granted_in_ = asked_in;
    kept();
  });
}

void store_registration::renew() {
  store_.keep_alive(lease_, [this](auto lease) {
    if (lease) {
      kept();
      return;
    }
    const platform::failure_kind why = lease.last_reason().kind;
    if (why == platform::failure_kind::lease_gone) {
      lease_ = 0;
    }
    retry(why);
  });
}

void store_registration::kept() {
  store_lease_.succeeded();
  const bool restored = granted_in_ != shared_.era.restores();
  next_in(restored ? restore_spread : renewal_period, &store_registration::look);
}

void store_registration::find_peers() {
  const time_point now = shared_.time.now();
  const bool meets = shared_.peers.rank(now).in_domain == 0 && now - met_at_ >= meeting_period;
  if (!alone() && !meets) {
    next_in(look_period, &store_registration::find_peers);
    return;
  }
  met_at_ = now;
  store_.read_prefix(std::string(entry_prefix), [this](auto answer) {
    if (answer) {
      store_entries_.succeeded();
      take_entries(answer->found);
    } else {
      store_entries_.failed_now(to_string(answer.last_reason().kind));
    }
    next_in(look_period, &store_registration::find_peers);
  });
}

void store_registration::take_entries(std::span<const platform::key_value> entries) {
  for (const platform::key_value& each : entries) {
    const auto found = relay::decode_peer(each.value);
    if (found) {
      shared_.peers.merge_store_entry(*found, shared_.time.now());
    } else {
      observe::log_event(observe::level::warning, "peer_entry_unreadable", {{"key", each.key}});
    }
  }
}

}  // namespace hawthornnotch::gateway::internal
