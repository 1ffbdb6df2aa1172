#include "store_registration.h"

#include <chrono>
#include <string>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view entry_key_prefix = "hn/entry/";
/// The entry of a VM that crashes stays in the store for this long.
constexpr duration lease_ttl{30'000};
constexpr duration renewal_period{10'000};
/// Entries are rewritten within this time after a restore of the store.
constexpr duration max_restore_jitter{2'000};
/// Mean pause after a failed call; the lease outlives several.
constexpr duration retry_period{4'000};
/// Delay after startup, and period, of checking whether this VM has to register and whether it
/// knows any peer.
constexpr duration initial_delay{1'000};
constexpr duration check_period{2'000};
/// Period at which one VM of each failure domain reads the entries, so that groups of VMs that do
/// not know each other merge.
constexpr duration discovery_period{30'000};

std::chrono::milliseconds to_chrono(duration span) { return std::chrono::milliseconds(span.ms); }

}  // namespace

store_registration::store_registration(gateway_state& shared, platform::key_value_store& store,
                                       const asio::any_io_executor& executor)
    : shared_(shared), store_(store), timer_(executor), discovery_timer_(executor) {}

void store_registration::start() {
  started_at_ = shared_.time.now();
  schedule(initial_delay, &store_registration::check);
  schedule(initial_delay, &store_registration::discover_peers);
}

bool store_registration::knows_no_peers() const {
  return shared_.peers.live_count(shared_.time.now()) <= 1;
}

// The rank of this VM is known only after the others have had time to contact it.
void store_registration::check() {
  drop_lease_after_restore();
  const time_point now = shared_.time.now();
  const bool rank_known = knows_no_peers() || now - started_at_ >= check_period;
  if (!rank_known || !relay::registers_in_store(shared_.peers.rank(now))) {
    schedule(check_period, &store_registration::check);
  } else if (lease_ == 0) {
    register_vm();
  } else {
    renew();
  }
}

void store_registration::retry(platform::failure_kind reason) {
  store_lease_.on_failure(to_string(reason));
  constexpr double min_jitter = 0.5;
  const double jitter = min_jitter + shared_.random.unit();
  const auto pause = static_cast<std::int64_t>(jitter * static_cast<double>(retry_period.ms));
  schedule({pause}, &store_registration::check);
}

void store_registration::schedule(duration pause, void (store_registration::*step)()) {
  asio::steady_timer& timer =
      step == &store_registration::discover_peers ? discovery_timer_ : timer_;
  timer.expires_after(to_chrono(pause));
  timer.async_wait([this, step](const boost::system::error_code& error) {
    if (!error) {
      (this->*step)();
    }
  });
}

void store_registration::drop_lease_after_restore() {
  if (restores_at_grant_ != shared_.era.restores()) {
    lease_ = 0;
  }
}

// Jittered, since all registered VMs learn of the restore at about the same time.
void store_registration::on_store_restored() {
  if (lease_ == 0) {
    return;
  }
  const auto pause =
      static_cast<std::int64_t>(shared_.random.unit() * static_cast<double>(max_restore_jitter.ms));
  schedule({pause}, &store_registration::check);
}

void store_registration::register_vm() {
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.grant_lease(lease_ttl, [this, restores_at_call](auto lease) {
    if (!lease) {
      retry(lease.last_reason().kind);
      return;
    }
    write_entry(*lease, restores_at_call);
  });
}

void store_registration::write_entry(std::int64_t lease, std::uint64_t restores_at_call) {
  platform::transaction change;
  const std::string key = std::string(entry_key_prefix) + shared_.settings.vm;
  // VMs of an earlier build refuse an entry with a field that they do not know.
  relay::peer self = shared_.peers.self();
  self.declares_versions = false;
  change.effects.emplace_back(platform::put{key, relay::encode_peer(self), lease});
  store_.transact(std::move(change), [this, lease, restores_at_call](auto outcome) {
    if (!outcome) {
      retry(outcome.last_reason().kind);
      return;
    }
    lease_ = lease;
    restores_at_grant_ = restores_at_call;
    on_lease_renewed();
  });
}

void store_registration::renew() {
  store_.keep_alive(lease_, [this](auto lease) {
    if (lease) {
      on_lease_renewed();
      return;
    }
    const platform::failure_kind reason = lease.last_reason().kind;
    if (reason == platform::failure_kind::lease_gone) {
      lease_ = 0;
    }
    retry(reason);
  });
}

void store_registration::on_lease_renewed() {
  store_lease_.on_success();
  const bool restored = restores_at_grant_ != shared_.era.restores();
  schedule(restored ? max_restore_jitter : renewal_period, &store_registration::check);
}

void store_registration::discover_peers() {
  const time_point now = shared_.time.now();
  const bool discovery_due =
      shared_.peers.rank(now).in_domain == 0 && now - last_discovery_at_ >= discovery_period;
  if (!knows_no_peers() && !discovery_due) {
    schedule(check_period, &store_registration::discover_peers);
    return;
  }
  last_discovery_at_ = now;
  store_.read_prefix(std::string(entry_key_prefix), [this](auto answer) {
    if (answer) {
      store_entries_.on_success();
      add_peers(answer->found);
    } else {
      store_entries_.on_failure(to_string(answer.last_reason().kind));
    }
    schedule(check_period, &store_registration::discover_peers);
  });
}

void store_registration::add_peers(std::span<const platform::key_value> entries) {
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
