// An in-memory fake of the platform's key-value store, driven by a stepped clock, with a fault
// chosen per call.
#ifndef HAWTHORNNOTCH_TESTS_SUPPORT_STEPPED_PLATFORM_H_
#define HAWTHORNNOTCH_TESTS_SUPPORT_STEPPED_PLATFORM_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::test {

enum class call_fault : std::uint8_t {
  none,
  // The request is dropped; the client times out.
  request_lost,
  // The request takes effect, but its response is dropped; the client times out.
  answer_lost,
  // The request takes effect, then the connection is reset; the client reports unreachable.
  reset_after_effect,
  // The client times out; the request takes effect after `long_delay`.
  delayed,
  // The request takes effect at once and again after `long_delay`.
  doubled,
  // Later requests take effect first; the response still arrives before the timeout.
  reordered,
  // The response arrives just before the client's timeout.
  slow,
  // The connection is refused; the request has no effect.
  refused,
};

enum class call_kind : std::uint8_t { transact, read, watch, lease };

struct call_info {
  call_kind kind = call_kind::read;
  // First key or prefix of the call; empty for leases.
  std::string key;
};

// Runs events in time order on a stepped clock.
class event_queue {
 public:
  explicit event_queue(const stepped_clock& time) : time_(time) {}
  void after(duration wait, std::function<void()> what) {
    events_.emplace((time_.now() + wait).ms, std::move(what));
  }
  void run_due() {
    while (!events_.empty() && events_.begin()->first <= time_.now().ms) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
  }

 private:
  const stepped_clock& time_;
  std::multimap<std::int64_t, std::function<void()>> events_;
};

// Its processes connect through ports; calls complete only in `run_due`. Leases never expire by
// themselves: a test ends them by `end_lease`.
class stepped_platform {
 public:
  static constexpr duration one_way_latency{5};
  static constexpr duration client_timeout{300};
  static constexpr duration long_delay{4'000};

  explicit stepped_platform(const stepped_clock& time) : events_(time) {}

  // One process's connection to the store.
  class port final : public platform::client {
   public:
    explicit port(stepped_platform& store) : store_(store) {}

    // Chooses the fault of each call and watch event; if empty, none fails.
    std::function<call_fault(const call_info&)> fault;
    // Simulates a crash: no further callback runs, but requests already sent still take effect.
    void kill() { *alive_ = false; }
    // Simulates a stopped process: callbacks are queued until `resume`.
    void pause() { held_->paused = true; }
    void resume() {
      held_->paused = false;
      for (const auto& one : std::exchange(held_->callbacks, {})) {
        one();
      }
    }
    // Ends all watches of this port with a failure.
    void break_watches() {
      auto broken = std::exchange(watchers_, {});
      for (const auto& one : broken) {
        deliver(duration{0}, [one] {
          if (one->active) {
            one->active = false;
            one->events(failed{platform::platform_failure{}});
          }
        });
      }
    }

    void transact(platform::transaction what, platform::transaction_callback done) override {
      const std::string key = what.effects.empty() ? "" : key_of(what.effects.front());
      call<platform::transaction_outcome>(
          {call_kind::transact, key}, [this, what] { return store_.apply(what); }, std::move(done));
    }
    void read(std::string key, platform::read_callback done) override {
      call<platform::read_outcome>(
          {call_kind::read, key}, [this, key] { return store_.find(key); }, std::move(done));
    }
    void read_prefix(std::string prefix, platform::read_callback done) override {
      call<platform::read_outcome>(
          {call_kind::read, prefix}, [this, prefix] { return store_.find_prefix(prefix); },
          std::move(done));
    }
    void grant_lease(duration /*time_to_live*/, platform::lease_callback done) override {
      call<std::int64_t>(
          {call_kind::lease, ""}, [this] { return ++store_.last_lease_; }, std::move(done));
    }
    void keep_alive(std::int64_t lease, platform::lease_callback done) override {
      call<std::int64_t>(
          {call_kind::lease, ""}, [lease] { return lease; }, std::move(done));
    }
    void revoke(std::int64_t lease, platform::lease_callback done) override {
      call<std::int64_t>(
          {call_kind::lease, ""}, [lease] { return lease; }, std::move(done));
    }
    std::unique_ptr<platform::watch_handle> watch(std::string prefix, std::int64_t revision,
                                                  platform::watch_callback events) override {
      auto added = std::make_shared<watcher>();
      added->prefix = std::move(prefix);
      added->events = std::move(events);
      const call_fault chosen = choose_fault({call_kind::watch, added->prefix});
      if (chosen != call_fault::none && chosen != call_fault::slow) {
        // A lost watch request gets no events; any other fault ends the watches of the port.
        if (chosen != call_fault::request_lost) {
          watchers_.push_back(added);
          break_watches();
        }
        return std::make_unique<handle>(added);
      }
      watchers_.push_back(added);
      for (const auto& old : store_.log_) {
        if (old.now.mod_revision > revision) {
          notify(old);
        }
      }
      return std::make_unique<handle>(added);
    }

   private:
    friend class stepped_platform;
    struct watcher {
      std::string prefix;
      platform::watch_callback events;
      bool active = true;
    };
    class handle final : public platform::watch_handle {
     public:
      explicit handle(std::shared_ptr<watcher> held) : held_(std::move(held)) {}
      ~handle() override { held_->active = false; }
      handle(const handle&) = delete;
      handle& operator=(const handle&) = delete;

     private:
      std::shared_ptr<watcher> held_;
    };

    static std::string key_of(const platform::effect& what) {
      return std::visit([](const auto& one) { return one.key; }, what);
    }
    call_fault choose_fault(const call_info& info) {
      return fault ? fault(info) : call_fault::none;
    }
    void deliver(duration wait, std::function<void()> what) {
      store_.events_.after(wait, [alive = alive_, held = held_, what = std::move(what)] {
        if (*alive && held->paused) {
          held->callbacks.push_back(what);
        } else if (*alive) {
          what();
        }
      });
    }
    void notify(const platform::watch_event& event) {
      const call_fault chosen = choose_fault({call_kind::watch, event.now.key});
      if (chosen == call_fault::request_lost || chosen == call_fault::answer_lost ||
          chosen == call_fault::refused) {
        return;
      }
      const duration wait = chosen == call_fault::delayed || chosen == call_fault::reordered
                                ? long_delay
                                : one_way_latency;
      for (const auto& one : watchers_) {
        if (event.now.key.starts_with(one->prefix)) {
          send_event(wait, one, event);
          if (chosen == call_fault::doubled) {
            send_event(long_delay, one, event);
          }
        }
      }
    }
    void send_event(duration wait, const std::shared_ptr<watcher>& to,
                    const platform::watch_event& event) {
      deliver(wait, [to, event] {
        if (to->active) {
          to->events(std::vector<platform::watch_event>{event});
        }
      });
    }

    template <class Value>
    void call(const call_info& info, std::function<Value()> effect,
              std::function<void(result<Value, platform::platform_failure>)> done) {
      using answer = result<Value, platform::platform_failure>;
      using platform::failure_kind;
      if (!*alive_) {
        return;
      }
      const auto fail = [&](duration wait, failure_kind kind, bool may_have_run) {
        deliver(wait, [done, kind, may_have_run] {
          done(answer(failed{platform::platform_failure{kind, may_have_run}}));
        });
      };
      const auto apply_after = [&](duration wait) {
        store_.events_.after(wait, [effect] { (void)effect(); });
      };
      const auto respond_after = [&](duration request, duration reply) {
        store_.events_.after(request, [this, alive = alive_, effect, done, reply] {
          deliver(reply, [done, value = effect()] { done(answer(value)); });
        });
      };
      switch (choose_fault(info)) {
        case call_fault::none:
          respond_after(one_way_latency, one_way_latency);
          break;
        case call_fault::request_lost:
          fail(client_timeout, failure_kind::timed_out, true);
          break;
        case call_fault::answer_lost:
          apply_after(one_way_latency);
          fail(client_timeout, failure_kind::timed_out, true);
          break;
        case call_fault::reset_after_effect:
          apply_after(one_way_latency);
          fail(one_way_latency * 2, failure_kind::unreachable, true);
          break;
        case call_fault::delayed:
          apply_after(long_delay);
          fail(client_timeout, failure_kind::timed_out, true);
          break;
        case call_fault::doubled:
          respond_after(one_way_latency, one_way_latency);
          apply_after(long_delay);
          break;
        case call_fault::reordered:
          respond_after(client_timeout / 2, one_way_latency);
          break;
        case call_fault::slow:
          respond_after(one_way_latency, client_timeout - one_way_latency * 2);
          break;
        case call_fault::refused:
          fail(one_way_latency, failure_kind::unreachable, false);
          break;
      }
    }

    stepped_platform& store_;
    struct pause_state {
      bool paused = false;
      std::vector<std::function<void()>> callbacks;
    };
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::shared_ptr<pause_state> held_ = std::make_shared<pause_state>();
    std::vector<std::shared_ptr<watcher>> watchers_;
  };

  port& connect() {
    ports_.push_back(std::make_unique<port>(*this));
    return *ports_.back();
  }
  // Runs all events that are due.
  void run_due() { events_.run_due(); }
  [[nodiscard]] std::uint64_t transactions() const { return transactions_; }
  [[nodiscard]] std::uint64_t reads() const { return reads_; }
  [[nodiscard]] const std::map<std::string, platform::key_value>& content() const {
    return values_;
  }
  // Deletes the keys of a lease without watch events.
  void end_lease(std::int64_t lease) {
    std::erase_if(values_, [&](const auto& one) { return one.second.lease == lease; });
  }
  event_queue& events() { return events_; }

 private:
  platform::transaction_outcome apply(const platform::transaction& what) {
    ++transactions_;
    for (const platform::condition& one : what.conditions) {
      if (!holds(one)) {
        return {false, revision_, current(what.read_on_conflict)};
      }
    }
    if (!what.effects.empty()) {
      ++revision_;
    }
    for (const platform::effect& one : what.effects) {
      std::visit(overloaded{[&](const platform::put& to) { change(to); },
                            [&](const platform::erase& gone) { remove(gone.key); }},
                 one);
    }
    return {true, revision_, {}};
  }
  bool holds(const platform::condition& one) const {
    return std::visit(
        overloaded{
            [&](const platform::must_be_absent& absent) { return !values_.contains(absent.key); },
            [&](const platform::must_be_unchanged& same) {
              const auto at = values_.find(same.key);
              return at != values_.end() && at->second.mod_revision == same.mod_revision;
            }},
        one);
  }
  void change(const platform::put& to) {
    values_[to.key] = {to.key, to.value, revision_, to.lease};
    announce({values_[to.key], false});
  }
  void remove(const std::string& key) {
    values_.erase(key);
    announce({{key, "", revision_, 0}, true});
  }
  void announce(const platform::watch_event& event) {
    log_.push_back(event);
    for (const auto& one : ports_) {
      one->notify(event);
    }
  }
  std::vector<platform::key_value> current(const std::vector<std::string>& keys) const {
    std::vector<platform::key_value> found;
    for (const std::string& key : keys) {
      if (const auto at = values_.find(key); at != values_.end()) {
        found.push_back(at->second);
      }
    }
    return found;
  }
  platform::read_outcome find(const std::string& key) {
    ++reads_;
    return {revision_, current({key})};
  }
  platform::read_outcome find_prefix(const std::string& prefix) {
    ++reads_;
    platform::read_outcome seen{revision_, {}};
    for (const auto& [key, value] : values_) {
      if (key.starts_with(prefix)) {
        seen.found.push_back(value);
      }
    }
    return seen;
  }

  event_queue events_;
  std::map<std::string, platform::key_value> values_;
  std::vector<platform::watch_event> log_;
  std::vector<std::unique_ptr<port>> ports_;
  std::int64_t revision_ = 0;
  std::int64_t last_lease_ = 0;
  std::uint64_t transactions_ = 0;
  std::uint64_t reads_ = 0;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_SUPPORT_STEPPED_PLATFORM_H_
