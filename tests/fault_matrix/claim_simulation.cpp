#include "claim_world.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/claim/claim_service.h"

namespace hawthornnotch::test {

namespace {

using namespace claim;

constexpr duration hop_time{2};
constexpr duration exchange_timeout{400};
constexpr duration caller_timeout{3'000};
constexpr duration repeat_pause{500};
constexpr duration restart_time{1'000};
constexpr duration run_length{150'000};
constexpr int most_attempts = 8;

enum class told : std::uint8_t { answer, not_run, unknown, in_progress, conflict };

struct reply {
  told what = told::unknown;
  std::string body;
};
using reply_callback = std::function<void(reply)>;

// One router process; a restart makes a new one.
struct router {
  stepped_platform::port* port = nullptr;
  std::unique_ptr<claim_service> claims;
  port_mode mode = port_mode::healthy;
  bool alive = true;
  bool paused = false;
  // What its platform calls are for.
  claim_step calling = claim_step::create;
  std::vector<std::function<void()>> held;
};

// One request at one router.
struct exchange {
  std::shared_ptr<router> at;
  int attempt = 0;
  claim_token token;
  reply_callback done;
  bool open = true;
};

class world {
 public:
  explicit world(claim_plan plan)
      : plan_(std::move(plan)), store_(time_), random_(plan_.random_seed), start_(time_.now()) {
    routers_ = {make_router("a1"), make_router("b1")};
  }

  ~world() {
    for (const router_ptr& one : routers_) {
      end(one);
    }
  }
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  findings run() {
    send(0);
    if (plan_.repeats == repeat_mode::both_at_once) {
      send(1);
    }
    while (time_.now() - start_ < run_length) {
      step();
    }
    plan_.random_seed = 0;
    last_ = std::nullopt;
    final_ = true;
    send(1);
    for (int index = 0; index < 400; ++index) {
      step();
    }
    return check();
  }

 private:
  using router_ptr = std::shared_ptr<router>;
  using exchange_ptr = std::shared_ptr<exchange>;

  // Drops what a process holds; its requests refer to it.
  static void end(const router_ptr& one) {
    one->claims.reset();
    one->held.clear();
  }

  void step() {
    time_.advance(final_ ? duration{10} : step_at(time_.now() - start_));
    store_.run_due();
    for (const router_ptr& one : std::vector(routers_)) {
      if (one->alive && !one->paused) {
        one->claims->tick();
      }
    }
  }

  router_ptr make_router(const std::string& incarnation) {
    auto made = std::make_shared<router>();
    made->port = &store_.connect();
    made->port->fault = [this, weak = std::weak_ptr(made)](const call_info& info) {
      const auto self = weak.lock();
      return self ? platform_fault(self, info) : call_fault::none;
    };
    made->claims = std::move(*claim_service::create({}, *made->port, time_, incarnation));
    return made;
  }

  // --- faults ---

  std::optional<fault> take(claim_step at) {
    for (std::size_t index = 0; index < plan_.injections.size(); ++index) {
      if (plan_.injections[index].at == at) {
        const fault what = plan_.injections[index].what;
        plan_.injections.erase(plan_.injections.begin() + static_cast<std::ptrdiff_t>(index));
        return what;
      }
    }
    return std::nullopt;
  }

  call_fault platform_fault(const router_ptr& self, const call_info& info) {
    if (info.kind != call_kind::transact) {
      return fault_in(self->mode);
    }
    if (plan_.random_seed != 0) {
      return random_call_fault(self);
    }
    if (self != routers_.front() || restarted_) {
      return fault_in(self->mode);
    }
    claim_step at = self->calling;
    if (at == claim_step::create && creates_++ > 0) {
      at = claim_step::read_back;
    }
    const auto what = take(at);
    if (!what) {
      return fault_in(self->mode);
    }
    if (const auto chosen = call_fault_of(*what)) {
      return *chosen;
    }
    strike(self, *what);
    return *what == fault::crash_before ? call_fault::request_lost : fault_in(self->mode);
  }

  call_fault random_call_fault(const router_ptr& self) {
    constexpr int fault_kinds = 9;
    const auto dice = random_.below(100);
    if (dice < 3) {
      strike(self, dice == 0 ? fault::crash_after : fault::long_pause);
    }
    if (dice < 45) {
      return static_cast<call_fault>(random_.below(fault_kinds));
    }
    return fault_in(self->mode);
  }

  void strike(const router_ptr& self, fault what) {
    if (const auto mode = mode_of(what)) {
      for (const router_ptr& one : routers_) {
        if (one == self || what == fault::platform_down || what == fault::platform_slow) {
          disturb(one, *mode);
        }
      }
    } else if (what == fault::long_pause) {
      pause(self);
    } else if (what == fault::crash_before || what == fault::crash_after) {
      // After the current event, so that what is being sent is sent.
      crash(self);
    }
  }

  void disturb(const router_ptr& self, port_mode mode) {
    self->mode = mode;
    store_.events().after(outage_length, [self] { self->mode = port_mode::healthy; });
  }

  void pause(const router_ptr& self) {
    self->paused = true;
    self->port->pause();
    store_.events().after(pause_length, [self] {
      self->paused = false;
      if (!self->alive) {
        return;
      }
      self->port->resume();
      for (const auto& one : std::exchange(self->held, {})) {
        one();
      }
    });
  }

  void crash(const router_ptr& self) {
    if (!self->alive) {
      return;
    }
    self->alive = false;
    crashed_ = true;
    self->port->kill();
    store_.events().after(restart_time, [this, self] {
      end(self);
      for (router_ptr& one : routers_) {
        if (one == self) {
          restarted_ = restarted_ || self == routers_.front();
          one = make_router("c" + std::to_string(++incarnations_));
        }
      }
    });
  }

  // Runs in the router's process: not once it crashed, later while it is paused.
  void later(const router_ptr& self, duration wait, std::function<void()> what) {
    store_.events().after(wait, [self, what = std::move(what)] {
      if (self->alive && self->paused) {
        self->held.push_back(what);
      } else if (self->alive) {
        what();
      }
    });
  }

  // --- the router's use of its claims ---

  void handle(const router_ptr& self, int attempt, reply_callback done) {
    auto x = std::make_shared<exchange>();
    x->at = self;
    x->attempt = attempt;
    x->done = std::move(done);
    self->calling = claim_step::create;
    self->claims->claim({"w", "key", "same body", std::to_string(attempt)},
                        [this, x](const claim_outcome& seen) {
                          x->at->calling = claim_step::release;
                          std::visit(overloaded{[&](const owned& mine) { start(x, mine.token); },
                                                [&](const recorded_answer& was) {
                                                  x->done({told::answer, was.body});
                                                },
                                                [&](const in_progress&) {
                                                  x->done({told::in_progress, {}});
                                                },
                                                [&](const outcome_unknown&) {
                                                  x->done({told::unknown, {}});
                                                },
                                                [&](const key_conflict&) {
                                                  x->done({told::conflict, {}});
                                                },
                                                [&](const not_run&) {
                                                  x->done({told::not_run, {}});
                                                }},
                                     seen);
                        });
  }

  void start(const exchange_ptr& x, const claim_token& token) {
    x->token = token;
    hop(
        x, claim_step::connect, true, [this, x] { dispatch(x); },
        [x] {
          x->open = false;
          x->at->claims->release_unsent(x->token, [](bool) {});
          x->done({told::not_run, {}});
        });
  }

  void dispatch(const exchange_ptr& x) {
    if (!x->at->claims->begin_dispatch(x->token)) {
      x->done({told::not_run, {}});
      return;
    }
    ++dispatched_;
    hop(
        x, claim_step::head, true,
        [this, x] {
          hop(
              x, claim_step::body, true, [this, x] { execute(x); }, [this, x] { broken(x); });
        },
        [this, x] { broken(x); });
  }

  // At the backend server.
  void execute(const exchange_ptr& x) {
    ++runs_[x->attempt];
    const auto fails = [this, x] { broken(x); };
    hop(
        x, claim_step::first_byte, false,
        [this, x, fails] {
          hop(
              x, claim_step::mid_stream, false,
              [this, x, fails] {
                hop(
                    x, claim_step::last_byte, false, [this, x] { complete(x); }, fails);
              },
              fails);
        },
        fails);
  }

  void broken(const exchange_ptr& x) {
    if (std::exchange(x->open, false)) {
      x->at->claims->record_unknown(x->token);
      x->done({told::unknown, {}});
    }
  }

  static std::string body_of(int attempt) { return "whole answer of " + std::to_string(attempt); }

  void complete(const exchange_ptr& x) {
    if (!std::exchange(x->open, false)) {
      return;
    }
    x->at->calling = claim_step::record;
    x->at->claims->record(x->token, {200, "text/plain", body_of(x->attempt)}, [this, x](bool) {
      x->open = true;
      hop(
          x, claim_step::answer, false,
          [x] {
            x->done({told::answer, body_of(x->attempt)});
          },
          [] {});
    });
  }

  // One message between the router and a neighbour.
  // `outbound`: what arrives does so outside the router's process.
  void hop(const exchange_ptr& x, claim_step at, bool outbound, std::function<void()> arrives,
           std::function<void()> breaks) {
    const router_ptr self = x->at;
    const auto what = hop_fault(x, at);
    const auto deliver = [this, self, x, outbound, arrives](duration wait) {
      if (outbound) {
        store_.events().after(wait, arrives);
      } else {
        later(self, wait, [x, arrives] {
          if (x->open) {
            arrives();
          }
        });
      }
    };
    if (!what) {
      // The router goes on with the next message itself, so it must be alive.
      if (outbound && at != claim_step::body) {
        later(self, hop_time, arrives);
      } else {
        deliver(hop_time);
      }
      return;
    }
    switch (*what) {
      case fault::request_lost:
        later(self, exchange_timeout, breaks);
        return;
      case fault::answer_lost:
        lose_acknowledgement(x, at, arrives);
        later(self, exchange_timeout, breaks);
        return;
      case fault::delayed:
        if (at == claim_step::body) {
          deliver(stepped_platform::long_delay);
        }
        later(self, exchange_timeout, breaks);
        return;
      case fault::crash_before:
        crash(self);
        return;
      case fault::crash_after:
        // Only a complete request is of use to the neighbour without the router.
        if (at == claim_step::body) {
          deliver(hop_time);
        }
        crash(self);
        return;
      default:
        strike(self, *what);
        later(self, hop_time, arrives);
        return;
    }
  }

  // The neighbour has the message and the router doesn't learn it.
  void lose_acknowledgement(const exchange_ptr& x, claim_step at,
                            const std::function<void()>& arrives) {
    if (at == claim_step::body) {
      store_.events().after(hop_time, arrives);
      return;
    }
    (void)x;
  }

  std::optional<fault> hop_fault(const exchange_ptr& x, claim_step at) {
    if (plan_.random_seed != 0) {
      if (random_.below(100) >= 12) {
        return std::nullopt;
      }
      const auto what = static_cast<fault>(random_.below(fault_names.size()));
      return claim_cell_excluded(at, what) ? std::nullopt : std::optional(what);
    }
    return x->at == routers_.front() && !restarted_ ? take(at) : std::nullopt;
  }

  // --- the caller ---

  void send(std::size_t where) {
    const int attempt = ++attempts_;
    auto open = std::make_shared<bool>(true);
    const auto finished = [this, open, attempt, where](const reply& seen) {
      replies_.emplace_back(attempt, seen);
      if (std::exchange(*open, false)) {
        last_ = seen.what;
        if (seen.what != told::answer) {
          repeat(where);
        }
      }
    };
    const router_ptr to = routers_[where];
    if (to->alive && !to->paused) {
      handle(to, attempt, finished);
    } else if (to->alive) {
      to->held.emplace_back([this, to, attempt, finished] { handle(to, attempt, finished); });
    }
    store_.events().after(caller_timeout, [this, open, where] {
      if (std::exchange(*open, false)) {
        repeat(where);
      }
    });
  }

  void repeat(std::size_t where) {
    if (attempts_ >= most_attempts || final_) {
      return;
    }
    const std::size_t next = plan_.repeats == repeat_mode::same_router ? where : 1 - where;
    store_.events().after(repeat_pause, [this, next] {
      if (!final_) {
        send(next);
      }
    });
  }

  // --- the invariants ---

  findings check() {
    findings found;
    found.reached = plan_.injections.empty();
    int total = 0;
    int runner = 0;
    for (const auto& [attempt, count] : runs_) {
      total += count;
      runner = attempt;
    }
    if (total > 1) {
      found.violations.push_back("ran " + std::to_string(total) + " times");
    }
    for (const auto& [attempt, seen] : replies_) {
      const bool ran = runs_.contains(attempt);
      if (seen.what == told::not_run && ran) {
        found.violations.emplace_back("told not_run, but the attempt ran");
      }
      if (seen.what == told::answer && total != 1) {
        found.violations.emplace_back("told an answer, but the runs are not one");
      }
      if (seen.what == told::answer && seen.body != body_of(runner)) {
        found.violations.emplace_back("answer is not the whole answer of the run");
      }
      if (seen.what == told::conflict) {
        found.violations.emplace_back("told a key conflict for the same body");
      }
    }
    // Uncertainty needs a cause: bytes that left, or a process that died with a claim.
    if (last_ != told::answer && dispatched_ == 0 && !crashed_) {
      found.violations.emplace_back("the key stays blocked though nothing was ever sent");
    }
    if (!last_) {
      found.violations.emplace_back("the last attempt was never answered");
    }
    found.outcome = last_ == told::answer ? "answer" : "unknown";
    return found;
  }

  claim_plan plan_;
  stepped_clock time_;
  stepped_platform store_;
  random_source random_;
  time_point start_;
  std::vector<router_ptr> routers_;
  int creates_ = 0;
  int incarnations_ = 0;
  bool restarted_ = false;
  bool crashed_ = false;
  bool final_ = false;
  int attempts_ = 0;
  int dispatched_ = 0;
  std::map<int, int> runs_;
  std::vector<std::pair<int, reply>> replies_;
  std::optional<told> last_;
};

bool calls_platform(claim_step at) {
  return at == claim_step::create || at == claim_step::read_back || at == claim_step::release ||
         at == claim_step::record;
}

}  // namespace

std::optional<std::string_view> claim_cell_excluded(claim_step at, fault what) {
  if (what == fault::cut_from_peers) {
    return "a claim exchanges nothing with peers";
  }
  if (calls_platform(at)) {
    return std::nullopt;
  }
  if (what == fault::doubled || what == fault::reordered) {
    return "one TCP connection delivers once and in order";
  }
  const bool inbound = at == claim_step::first_byte || at == claim_step::mid_stream ||
                       at == claim_step::last_byte || at == claim_step::answer;
  if (what == fault::answer_lost && inbound) {
    return "the message is itself the answer: see request lost";
  }
  return std::nullopt;
}

findings run_claim_plan(const claim_plan& plan) {
  claim_plan whole = plan;
  for (const claim_injection& one : plan.injections) {
    // These steps are reached only after a fault before them.
    if (one.at == claim_step::read_back) {
      whole.injections.push_back({claim_step::create, fault::answer_lost});
    }
    if (one.at == claim_step::release) {
      whole.injections.push_back({claim_step::connect, fault::request_lost});
    }
  }
  return world(whole).run();
}

}  // namespace hawthornnotch::test
