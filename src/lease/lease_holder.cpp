#include "hawthornnotch/lease/lease_holder.h"

#include <charconv>
#include <mutex>
#include <utility>

namespace hawthornnotch::lease {

namespace {

using platform::platform_failure;

// Renewals are due at this fraction of the lease's life.
constexpr std::int64_t renewals_per_life = 3;

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// The state that callbacks share; outlives the handle while a call waits.
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
    if (closed_ || waiting_) {
      return;
    }
    if (phase_ == lease_phase::holding) {
      if (now >= act_until_) {
        give_up(std::move(lock));
      } else if (now >= renew_at_) {
        renew(std::move(lock));
      }
      return;
    }
    if (candidate && now >= next_attempt_) {
      begin(std::move(lock));
    }
  }

  std::optional<std::uint64_t> fencing() const {
    const std::lock_guard lock(mutex_);
    if (phase_ != lease_phase::holding || time_.now() >= act_until_) {
      return std::nullopt;
    }
    return fencing_;
  }

  void release() {
    std::unique_lock lock(mutex_);
    closed_ = true;
    give_up(std::move(lock));
  }

  lease_status status() const {
    const std::lock_guard lock(mutex_);
    return {phase_, phase_ == lease_phase::holding ? fencing_ : 0, act_until_, seen_holder_};
  }

 private:
  using lock_type = std::unique_lock<std::mutex>;

  // Runs `then` under the lock with a call's answer, unless the handle is gone.
  template <class Answer, class Then>
  auto guarded(Then then) {
    return [weak = weak_from_this(), then](result<Answer, platform_failure> answer) {
      if (const auto state = weak.lock()) {
        lock_type lock(state->mutex_);
        state->waiting_ = false;
        then(*state, std::move(lock), std::move(answer));
      }
    };
  }

  void begin(lock_type lock) {
    phase_ = lease_phase::acquiring;
    waiting_ = true;
    next_attempt_ = time_.now() + settings_.retry;
    lock.unlock();
    client_.read(lease_key_, guarded<platform::read_outcome>(
                                 [](holder_state& state, lock_type held, auto answer) {
                                   state.lease_read(std::move(held), std::move(answer));
                                 }));
  }

  void lease_read(lock_type lock, result<platform::read_outcome, platform_failure> answer) {
    if (!answer) {
      phase_ = lease_phase::idle;
      return;
    }
    if (!answer->found.empty()) {
      seen_holder_ = answer->found.front().value;
      phase_ = lease_phase::idle;
      return;
    }
    waiting_ = true;
    lock.unlock();
    client_.read(fence_key_, guarded<platform::read_outcome>(
                                 [](holder_state& state, lock_type held, auto outcome) {
                                   state.fence_read(std::move(held), std::move(outcome));
                                 }));
  }

  void fence_read(lock_type lock, result<platform::read_outcome, platform_failure> answer) {
    const bool present = answer && !answer->found.empty();
    const auto last = present ? parse_number(answer->found.front().value) : 0;
    if (!answer || !last) {
      phase_ = lease_phase::idle;
      return;
    }
    attempt_ = {*last + 1, present ? answer->found.front().mod_revision : 0, time_.now()};
    waiting_ = true;
    lock.unlock();
    client_.grant_lease(settings_.time_to_live,
                        guarded<std::int64_t>([](holder_state& state, lock_type held, auto lease) {
                          state.granted(std::move(held), std::move(lease));
                        }));
  }

  void granted(lock_type lock, result<std::int64_t, platform_failure> answer) {
    if (!answer) {
      phase_ = lease_phase::idle;
      return;
    }
    lease_ = *answer;
    if (closed_ || time_.now() >= attempt_.granted_from + settings_.time_to_live / 2) {
      give_up(std::move(lock));
      return;
    }
    waiting_ = true;
    platform::transaction claim = claim_transaction();
    lock.unlock();
    client_.transact(std::move(claim), guarded<platform::transaction_outcome>(
                                           [](holder_state& state, lock_type held, auto outcome) {
                                             state.claimed(std::move(held), std::move(outcome));
                                           }));
  }

  // The number is raised together with taking the lease: no two leases share one.
  platform::transaction claim_transaction() const {
    platform::transaction claim;
    claim.conditions.emplace_back(platform::must_be_absent{lease_key_});
    if (attempt_.fence_revision == 0) {
      claim.conditions.emplace_back(platform::must_be_absent{fence_key_});
    } else {
      claim.conditions.emplace_back(
          platform::must_be_unchanged{fence_key_, attempt_.fence_revision});
    }
    claim.effects.emplace_back(platform::put{lease_key_, settings_.holder, lease_});
    claim.effects.emplace_back(platform::put{fence_key_, std::to_string(attempt_.number), 0});
    return claim;
  }

  // Without an answer the lease may be ours: it is given back, and the number is never used.
  void claimed(lock_type lock, result<platform::transaction_outcome, platform_failure> answer) {
    const time_point until =
        attempt_.granted_from + settings_.time_to_live - settings_.safety_margin;
    if (closed_ || !answer || !answer->applied || time_.now() >= until) {
      give_up(std::move(lock));
      return;
    }
    phase_ = lease_phase::holding;
    fencing_ = attempt_.number;
    act_until_ = until;
    renew_at_ = attempt_.granted_from + settings_.time_to_live / renewals_per_life;
    seen_holder_ = settings_.holder;
  }

  void renew(lock_type lock) {
    waiting_ = true;
    const time_point sent = time_.now();
    const std::int64_t lease = lease_;
    lock.unlock();
    client_.keep_alive(
        lease, guarded<std::int64_t>([sent](holder_state& state, lock_type held, auto answer) {
          state.renewed(std::move(held), sent, std::move(answer));
        }));
  }

  void renewed(lock_type lock, time_point sent, result<std::int64_t, platform_failure> answer) {
    if (phase_ != lease_phase::holding) {
      return;
    }
    if (answer) {
      act_until_ = sent + settings_.time_to_live - settings_.safety_margin;
      renew_at_ = sent + settings_.time_to_live / renewals_per_life;
    } else if (answer.last_reason().kind == platform::failure_kind::lease_gone) {
      give_up(std::move(lock));
    }
  }

  void give_up(lock_type lock) {
    const std::int64_t lease = std::exchange(lease_, 0);
    phase_ = lease_phase::idle;
    fencing_ = 0;
    lock.unlock();
    if (lease != 0) {
      // Only hastens the lease's end; without it the lease lapses by itself.
      client_.revoke(lease, [](result<std::int64_t, platform_failure> /*answer*/) {});
    }
  }

  struct attempt {
    std::uint64_t number = 0;
    std::int64_t fence_revision = 0;
    time_point granted_from;
  };

  platform::client& client_;
  const clock& time_;
  const lease_settings settings_;
  const std::string lease_key_;
  const std::string fence_key_;
  mutable std::mutex mutex_;
  lease_phase phase_ = lease_phase::idle;
  bool waiting_ = false;
  bool closed_ = false;
  attempt attempt_;
  std::int64_t lease_ = 0;
  std::uint64_t fencing_ = 0;
  time_point act_until_;
  time_point renew_at_;
  time_point next_attempt_;
  std::string seen_holder_;
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
