#include "hawthornnotch/lease/lease_holder.h"

#include <charconv>
#include <mutex>
#include <utility>

namespace hawthornnotch::lease {

namespace {

using platform::platform_failure;

constexpr std::int64_t renewals_per_lifetime = 3;

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
  holder_state(platform::client& client, const clock& time, lease_settings settings)
      : client_(client),
        time_(time),
        settings_(std::move(settings)),
        lease_key_(std::string(lease_prefix) + settings_.failure_domain),
        fence_key_(std::string(fence_prefix) + settings_.failure_domain) {}

  void step(bool candidate) {
    std::unique_lock lock(mutex_);
    const time_point now = time_.now();
    if (released_ || call_pending_) {
      return;
    }
    if (phase_ == lease_phase::holding) {
      if (now >= valid_until_) {
        relinquish(std::move(lock));
      } else if (now >= renew_at_) {
        renew(std::move(lock));
      }
      return;
    }
    if (candidate && now >= next_attempt_) {
      start_acquisition(std::move(lock));
    }
  }

  std::optional<std::uint64_t> fencing() const {
    const std::lock_guard lock(mutex_);
    if (phase_ != lease_phase::holding || time_.now() >= valid_until_) {
      return std::nullopt;
    }
    return fencing_;
  }

  void release() {
    std::unique_lock lock(mutex_);
    released_ = true;
    relinquish(std::move(lock));
  }

  lease_status status() const {
    const std::lock_guard lock(mutex_);
    return {phase_, phase_ == lease_phase::holding ? fencing_ : 0, valid_until_, last_seen_holder_};
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
    lock.unlock();
    client_.read(lease_key_, locked_callback<platform::read_outcome>(
                                 [](holder_state& state, lock_type state_lock, auto answer) {
                                   state.on_lease_read(std::move(state_lock), std::move(answer));
                                 }));
  }

  void on_lease_read(lock_type lock, result<platform::read_outcome, platform_failure> answer) {
    if (!answer) {
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
    client_.read(fence_key_, locked_callback<platform::read_outcome>(
                                 [](holder_state& state, lock_type state_lock, auto outcome) {
                                   state.on_fence_read(std::move(state_lock), std::move(outcome));
                                 }));
  }

  void on_fence_read(lock_type lock, result<platform::read_outcome, platform_failure> answer) {
    const bool present = answer && !answer->found.empty();
    const auto last = present ? parse_number(answer->found.front().value) : 0;
    if (!answer || !last) {
      phase_ = lease_phase::idle;
      return;
    }
    attempt_ = {*last + 1, present ? answer->found.front().mod_revision : 0, time_.now()};
    call_pending_ = true;
    lock.unlock();
    client_.grant_lease(
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
    if (released_ || time_.now() >= attempt_.requested_at + settings_.time_to_live / 2) {
      relinquish(std::move(lock));
      return;
    }
    call_pending_ = true;
    platform::transaction transaction = acquire_transaction();
    lock.unlock();
    client_.transact(std::move(transaction),
                     locked_callback<platform::transaction_outcome>(
                         [](holder_state& state, lock_type state_lock, auto outcome) {
                           state.on_acquired(std::move(state_lock), std::move(outcome));
                         }));
  }

  // Takes the lease and increments the fencing number atomically, so that no two leases share one.
  platform::transaction acquire_transaction() const {
    platform::transaction transaction;
    transaction.conditions.emplace_back(platform::must_be_absent{lease_key_});
    if (attempt_.fence_revision == 0) {
      transaction.conditions.emplace_back(platform::must_be_absent{fence_key_});
    } else {
      transaction.conditions.emplace_back(
          platform::must_be_unchanged{fence_key_, attempt_.fence_revision});
    }
    transaction.effects.emplace_back(platform::put{lease_key_, settings_.holder, lease_});
    transaction.effects.emplace_back(platform::put{fence_key_, std::to_string(attempt_.number), 0});
    return transaction;
  }

  // Without an answer the lease may have been acquired: it is revoked and its number is never used.
  void on_acquired(lock_type lock, result<platform::transaction_outcome, platform_failure> answer) {
    const time_point until =
        attempt_.requested_at + settings_.time_to_live - settings_.safety_margin;
    if (released_ || !answer || !answer->applied || time_.now() >= until) {
      relinquish(std::move(lock));
      return;
    }
    phase_ = lease_phase::holding;
    fencing_ = attempt_.number;
    valid_until_ = until;
    renew_at_ = attempt_.requested_at + settings_.time_to_live / renewals_per_lifetime;
    last_seen_holder_ = settings_.holder;
  }

  void renew(lock_type lock) {
    call_pending_ = true;
    const time_point sent = time_.now();
    const std::int64_t lease = lease_;
    lock.unlock();
    client_.keep_alive(lease, locked_callback<std::int64_t>(
                                  [sent](holder_state& state, lock_type state_lock, auto answer) {
                                    state.on_renewed(std::move(state_lock), sent,
                                                     std::move(answer));
                                  }));
  }

  void on_renewed(lock_type lock, time_point sent, result<std::int64_t, platform_failure> answer) {
    if (phase_ != lease_phase::holding) {
      return;
    }
    if (answer) {
      valid_until_ = sent + settings_.time_to_live - settings_.safety_margin;
      renew_at_ = sent + settings_.time_to_live / renewals_per_lifetime;
    } else if (answer.last_reason().kind == platform::failure_kind::lease_gone) {
      relinquish(std::move(lock));
    }
  }

  void relinquish(lock_type lock) {
    const std::int64_t lease = std::exchange(lease_, 0);
    phase_ = lease_phase::idle;
    fencing_ = 0;
    lock.unlock();
    if (lease != 0) {
      // Best effort: if this fails, the lease expires by itself.
      client_.revoke(lease, [](result<std::int64_t, platform_failure> /*answer*/) {});
    }
  }

  struct attempt {
    std::uint64_t number = 0;
    std::int64_t fence_revision = 0;
    time_point requested_at;
  };

  platform::client& client_;
  const clock& time_;
  const lease_settings settings_;
  const std::string lease_key_;
  const std::string fence_key_;
  mutable std::mutex mutex_;
  lease_phase phase_ = lease_phase::idle;
  bool call_pending_ = false;
  bool released_ = false;
  attempt attempt_;
  std::int64_t lease_ = 0;
  std::uint64_t fencing_ = 0;
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

std::unique_ptr<lease_holder> lease_holder::create(platform::client& client, const clock& time,
                                                   lease_settings settings) {
  auto state = std::make_shared<holder_state>(client, time, std::move(settings));
  return std::make_unique<shared_lease_holder>(std::move(state));
}

}  // namespace hawthornnotch::lease
