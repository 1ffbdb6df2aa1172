#include "hawthornnotch/lease/lease_holder.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <utility>

namespace hawthornnotch::lease {

namespace {

using platform::platform_failure;

/// Key prefixes, each followed by the failure domain.
constexpr std::string_view domain_lease_prefix = "hn/lease/";
constexpr std::string_view domain_fence_prefix = "hn/fence/";

constexpr std::int64_t renewals_per_lifetime = 3;
/// A renewal without an answer is repeated after this part of the lifetime.  Waiting for the
/// client's timeout instead would end the term with a single lost message.
constexpr std::int64_t repeats_per_lifetime = 6;
constexpr unsigned era_shift = 32;

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// State shared with callbacks; outlives the `lease_holder` only while a callback runs.
class holder_state : public std::enable_shared_from_this<holder_state> {
 public:
  holder_state(platform::key_value_store& store, const clock& time, lease_settings settings,
               const relay::store_era* era)
      : store_(store), time_(time), settings_(std::move(settings)), era_(era) {}

  void step(bool candidate) {
    std::unique_lock lock(mutex_);
    const time_point now = time_.now();
    if (released_) {
      return;
    }
    if (phase_ == lease_phase::holding) {
      if (const lease_end reason = end_reason(now); reason != lease_end::none) {
        end_term(reason, std::move(lock));
      } else if (now >= renew_at_) {
        renew(std::move(lock));
      }
      return;
    }
    if (!call_pending_ && candidate && now >= next_attempt_) {
      start_acquisition(std::move(lock));
    }
  }

  std::optional<std::uint64_t> fencing() const {
    const std::lock_guard lock(mutex_);
    if (phase_ != lease_phase::holding || end_reason(time_.now()) != lease_end::none) {
      return std::nullopt;
    }
    return fencing_;
  }

  void raise_floor(std::uint64_t number) {
    std::unique_lock lock(mutex_);
    floor_ = std::max(floor_, number);
    if (phase_ == lease_phase::holding && floor_ > fencing_) {
      end_term(lease_end::superseded, std::move(lock));
    }
  }

  void key_changed(std::uint64_t fencing) {
    std::unique_lock lock(mutex_);
    if (phase_ == lease_phase::holding && fencing_ == fencing) {
      end_term(lease_end::gone, std::move(lock));
    }
  }

  void release() {
    std::unique_lock lock(mutex_);
    released_ = true;
    const bool held = phase_ == lease_phase::holding;
    if (const lease_end reason = held ? end_reason(time_.now()) : lease_end::none;
        reason != lease_end::none) {
      end_term(reason, std::move(lock));
    } else if (held) {
      end_term(lease_end::released, std::move(lock));
    } else if (!call_pending_) {
      abandon(std::move(lock));
    }
  }

  lease_status status() const {
    const std::lock_guard lock(mutex_);
    const bool held = phase_ == lease_phase::holding;
    const lease_end end = held ? end_reason(time_.now()) : lease_end::none;
    return {phase_,
            held ? fencing_ : 0,
            valid_until_,
            last_seen_holder_,
            held ? revision_ : 0,
            end == lease_end::none ? last_end_ : end};
  }

 private:
  using lock_type = std::unique_lock<std::mutex>;

  // \returns a callback that runs `handler` with the lock held, unless the holder was destroyed.
  template <class Answer, class Handler>
  auto locked_callback(Handler handler) {
    return [weak = weak_from_this(), handler](result<Answer, platform_failure> answer) {
      if (const auto state = weak.lock()) {
        lock_type lock(state->mutex_);
        state->call_pending_ = false;
        handler(*state, std::move(lock), std::move(answer));
      }
    };
  }

  void start_acquisition(lock_type lock) {
    phase_ = lease_phase::acquiring;
    call_pending_ = true;
    next_attempt_ = time_.now() + settings_.retry_interval;
    attempt_ = {};
    attempt_.era = current_era();
    lock.unlock();
    store_.read(settings_.keys.lease,
                locked_callback<platform::read_outcome>(
                    [](holder_state& state, lock_type state_lock, auto answer) {
                      state.on_lease_read(std::move(state_lock), std::move(answer));
                    }));
  }

  void on_lease_read(lock_type lock, result<platform::read_outcome, platform_failure> answer) {
    // The first answer of all names the era, so the attempt belongs to the era of this answer.
    attempt_.era = current_era();
    if (!answer || released_) {
      phase_ = lease_phase::idle;
      return;
    }
    if (!answer->found.empty()) {
      last_seen_holder_ = answer->found.front().value;
      phase_ = lease_phase::idle;
      return;
    }
    call_pending_ = true;
    lock.unlock();
    store_.read(settings_.keys.fence,
                locked_callback<platform::read_outcome>(
                    [](holder_state& state, lock_type state_lock, auto outcome) {
                      state.on_fence_read(std::move(state_lock), std::move(outcome));
                    }));
  }

  void on_fence_read(lock_type lock, result<platform::read_outcome, platform_failure> answer) {
    const bool present = answer && !answer->found.empty();
    const auto last = present ? parse_number(answer->found.front().value) : 0;
    if (!answer || !last || released_ || attempt_.era != current_era()) {
      phase_ = lease_phase::idle;
      return;
    }
    attempt_.number = next_number(*last);
    attempt_.fence_revision = present ? answer->found.front().mod_revision : 0;
    attempt_.requested_at = time_.now();
    call_pending_ = true;
    lock.unlock();
    store_.grant_lease(
        settings_.time_to_live,
        locked_callback<std::int64_t>([](holder_state& state, lock_type state_lock, auto lease) {
          state.on_granted(std::move(state_lock), std::move(lease));
        }));
  }

  void on_granted(lock_type lock, result<std::int64_t, platform_failure> answer) {
    if (!answer) {
      phase_ = lease_phase::idle;
      return;
    }
    lease_ = *answer;
    if (released_ || attempt_.era != current_era() || attempt_.number <= floor_ ||
        time_.now() >= attempt_.requested_at + settings_.time_to_live / 2) {
      abandon(std::move(lock));
      return;
    }
    call_pending_ = true;
    platform::transaction transaction = acquire_transaction();
    lock.unlock();
    store_.transact(std::move(transaction),
                    locked_callback<platform::transaction_outcome>(
                        [](holder_state& state, lock_type state_lock, auto outcome) {
                          state.on_acquired(std::move(state_lock), std::move(outcome));
                        }));
  }

  // Takes the lease and increments the fencing number atomically, so that no two leases share one.
  platform::transaction acquire_transaction() const {
    platform::transaction transaction;
    transaction.conditions.emplace_back(platform::must_be_absent{settings_.keys.lease});
    if (attempt_.fence_revision == 0) {
      transaction.conditions.emplace_back(platform::must_be_absent{settings_.keys.fence});
    } else {
      transaction.conditions.emplace_back(
          platform::must_be_unchanged{settings_.keys.fence, attempt_.fence_revision});
    }
    transaction.effects.emplace_back(platform::put{settings_.keys.lease, settings_.holder, lease_});
    transaction.effects.emplace_back(
        platform::put{settings_.keys.fence, std::to_string(attempt_.number), 0});
    return transaction;
  }

  // Without an answer the lease may have been acquired: it is revoked and its number is never used.
  void on_acquired(lock_type lock, result<platform::transaction_outcome, platform_failure> answer) {
    const time_point until =
        attempt_.requested_at + settings_.time_to_live - settings_.safety_margin;
    const bool applied = answer && answer->applied;
    if (released_ || !applied || attempt_.era != current_era() || attempt_.number <= floor_ ||
        time_.now() >= until) {
      abandon(std::move(lock));
      return;
    }
    phase_ = lease_phase::holding;
    revision_ = answer->revision;
    fencing_ = attempt_.number;
    valid_until_ = until;
    renew_at_ = attempt_.requested_at + settings_.time_to_live / renewals_per_lifetime;
    last_seen_holder_ = settings_.holder;
  }

  void renew(lock_type lock) {
    const time_point sent = time_.now();
    const std::int64_t lease = lease_;
    renew_at_ = sent + settings_.time_to_live / repeats_per_lifetime;
    lock.unlock();
    store_.keep_alive(lease, [weak = weak_from_this(), sent, lease](auto answer) {
      if (const auto state = weak.lock()) {
        state->on_renewed(lease, sent, answer);
      }
    });
  }

  // An answer may arrive after the term that it belongs to.
  void on_renewed(std::int64_t lease, time_point sent,
                  const result<std::int64_t, platform_failure>& answer) {
    lock_type lock(mutex_);
    if (phase_ != lease_phase::holding || lease != lease_) {
      return;
    }
    if (const lease_end reason = end_reason(time_.now()); reason != lease_end::none) {
      end_term(reason, std::move(lock));
    } else if (answer) {
      const time_point until = sent + settings_.time_to_live - settings_.safety_margin;
      valid_until_ = std::max(valid_until_, until);
      renew_at_ = std::max(renew_at_, sent + settings_.time_to_live / renewals_per_lifetime);
    } else if (answer.last_reason().kind == platform::failure_kind::lease_gone) {
      end_term(lease_end::gone, std::move(lock));
    }
  }

  // \returns why this process may not act on the lease that it holds; `none` if it may.
  [[nodiscard]] lease_end end_reason(time_point now) const {
    if (attempt_.era != current_era()) {
      return lease_end::era_changed;
    }
    return now >= valid_until_ ? lease_end::ran_out : lease_end::none;
  }

  [[nodiscard]] std::int64_t current_era() const { return era_ == nullptr ? 0 : era_->current(); }

  [[nodiscard]] std::uint64_t next_number(std::uint64_t stored) const {
    const std::uint64_t era_base = static_cast<std::uint64_t>(attempt_.era) << era_shift;
    return std::max({stored, floor_, era_base}) + 1;
  }

  void end_term(lease_end reason, lock_type lock) {
    last_end_ = reason;
    revision_ = 0;
    fencing_ = 0;
    // In all other cases the id may name another holder's lease, if the store was restored since.
    give_up_lease(reason == lease_end::released, std::move(lock));
  }

  // Ends an attempt.  Without an answer to its transaction the lease may hold the key.
  void abandon(lock_type lock) {
    const bool alive = time_.now() < attempt_.requested_at + settings_.time_to_live;
    const bool same_era = attempt_.era == current_era();
    give_up_lease(alive && same_era, std::move(lock));
  }

  void give_up_lease(bool revokes, lock_type lock) {
    const std::int64_t lease = std::exchange(lease_, 0);
    phase_ = lease_phase::idle;
    lock.unlock();
    if (lease != 0 && revokes) {
      // Best effort: if this fails, the lease expires by itself.
      store_.revoke(lease, [](result<std::int64_t, platform_failure> /*answer*/) {});
    }
  }

  struct attempt {
    std::int64_t era = 0;
    std::uint64_t number = 0;
    std::int64_t fence_revision = 0;
    time_point requested_at;
  };

  platform::key_value_store& store_;
  const clock& time_;
  const lease_settings settings_;
  const relay::store_era* era_;
  mutable std::mutex mutex_;
  lease_phase phase_ = lease_phase::idle;
  bool call_pending_ = false;
  bool released_ = false;
  // The attempt under way, or the one that acquired the lease that is held.
  attempt attempt_;
  std::int64_t lease_ = 0;
  std::int64_t revision_ = 0;
  std::uint64_t fencing_ = 0;
  std::uint64_t floor_ = 0;
  lease_end last_end_ = lease_end::none;
  time_point valid_until_;
  time_point renew_at_;
  time_point next_attempt_;
  std::string last_seen_holder_;
};

class shared_lease_holder final : public lease_holder {
 public:
  explicit shared_lease_holder(std::shared_ptr<holder_state> state) : state_(std::move(state)) {}
  void step(bool candidate) override { state_->step(candidate); }
  std::optional<std::uint64_t> fencing() const override { return state_->fencing(); }
  void raise_floor(std::uint64_t number) override { state_->raise_floor(number); }
  void key_changed(std::uint64_t fencing) override { state_->key_changed(fencing); }
  void release() override { state_->release(); }
  lease_status status() const override { return state_->status(); }

 private:
  std::shared_ptr<holder_state> state_;
};

}  // namespace

std::string_view to_string(lease_phase phase) {
  switch (phase) {
    case lease_phase::idle:
      return "idle";
    case lease_phase::acquiring:
      return "acquiring";
    case lease_phase::holding:
      return "holding";
  }
  return "unknown";
}

std::string_view to_string(lease_end reason) {
  switch (reason) {
    case lease_end::none:
      return "none";
    case lease_end::ran_out:
      return "ran_out";
    case lease_end::gone:
      return "gone";
    case lease_end::era_changed:
      return "era_changed";
    case lease_end::superseded:
      return "superseded";
    case lease_end::released:
      return "released";
  }
  return "unknown";
}

lease_keys keys_of_domain(std::string_view failure_domain) {
  return {std::string(domain_lease_prefix) + std::string(failure_domain),
          std::string(domain_fence_prefix) + std::string(failure_domain)};
}

std::unique_ptr<lease_holder> lease_holder::create(platform::key_value_store& store,
                                                   const clock& time, lease_settings settings,
                                                   const relay::store_era* era) {
  auto state = std::make_shared<holder_state>(store, time, std::move(settings), era);
  return std::make_unique<shared_lease_holder>(std::move(state));
}

}  // namespace hawthornnotch::lease
