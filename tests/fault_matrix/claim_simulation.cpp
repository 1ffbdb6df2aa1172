#include "claim_simulation.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/claim/claim_service.h"

namespace hawthornnotch::test {

namespace {

using namespace claim;

constexpr duration hop_latency{2};
constexpr duration exchange_timeout{400};
constexpr duration caller_timeout{3'000};
constexpr duration repeat_delay{500};
constexpr duration restart_delay{1'000};
constexpr duration run_duration{150'000};
constexpr int max_attempts = 8;

enum class reply_kind : std::uint8_t { answer, not_run, unknown, in_progress, conflict };

struct reply {
  reply_kind kind = reply_kind::unknown;
  std::string body;
};
using reply_callback = std::function<void(reply)>;

// One router process; a restart replaces it with a new object.
struct router {
  stepped_platform::port* port = nullptr;
  std::unique_ptr<claim_service> claims;
  port_mode mode = port_mode::healthy;
  bool alive = true;
  bool paused = false;
  // The step that its platform calls belong to.
  claim_step current_step = claim_step::create;
  std::vector<std::function<void()>> deferred;
};

// One attempt of the request, handled by one router.
struct router_request {
  std::shared_ptr<router> handler;
  int attempt = 0;
  claim_token token;
  reply_callback done;
  bool open = true;
};

class simulation {
 public:
  explicit simulation(claim_plan plan)
      : plan_(std::move(plan)), store_(time_), random_(plan_.random_seed), start_(time_.now()) {
    routers_ = {make_router("a1"), make_router("b1")};
  }

  ~simulation() {
    for (const router_ptr& one : routers_) {
      destroy(one);
    }
  }
  simulation(const simulation&) = delete;
  simulation& operator=(const simulation&) = delete;

  run_result run() {
    send(0);
    if (plan_.repeats == repeat_mode::both_at_once) {
      send(1);
    }
    while (time_.now() - start_ < run_duration) {
      step();
    }
    plan_.random_seed = 0;
    last_reply_ = std::nullopt;
    final_attempt_ = true;
    send(1);
    for (int index = 0; index < 400; ++index) {
      step();
    }
    return check();
  }

 private:
  using router_ptr = std::shared_ptr<router>;
  using request_ptr = std::shared_ptr<router_request>;

  // Breaks the reference cycle between a router and the callbacks of its requests.
  static void destroy(const router_ptr& one) {
    one->claims.reset();
    one->deferred.clear();
  }

  void step() {
    time_.advance(final_attempt_ ? duration{10} : step_at(time_.now() - start_));
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

  // --- fault injection ---

  std::optional<fault> take_injection(claim_step at) {
    for (std::size_t index = 0; index < plan_.injections.size(); ++index) {
      if (plan_.injections[index].at == at) {
        const fault kind = plan_.injections[index].kind;
        plan_.injections.erase(plan_.injections.begin() + static_cast<std::ptrdiff_t>(index));
        return kind;
      }
    }
    return std::nullopt;
  }

  call_fault platform_fault(const router_ptr& self, const call_info& info) {
    if (info.kind != call_kind::transact) {
      return call_fault_in(self->mode);
    }
    if (plan_.random_seed != 0) {
      return random_call_fault(self);
    }
    if (self != routers_.front() || first_router_restarted_) {
      return call_fault_in(self->mode);
    }
    claim_step at = self->current_step;
    if (at == claim_step::create && create_calls_++ > 0) {
      at = claim_step::read_back;
    }
    const auto kind = take_injection(at);
    if (!kind) {
      return call_fault_in(self->mode);
    }
    if (const auto chosen = call_fault_of(*kind)) {
      return *chosen;
    }
    inject(self, *kind);
    return *kind == fault::crash_before ? call_fault::request_lost : call_fault_in(self->mode);
  }

  call_fault random_call_fault(const router_ptr& self) {
    constexpr int fault_kinds = 9;
    const auto roll = random_.below(100);
    if (roll < 3) {
      inject(self, roll == 0 ? fault::crash_after : fault::long_pause);
    }
    if (roll < 45) {
      return static_cast<call_fault>(random_.below(fault_kinds));
    }
    return call_fault_in(self->mode);
  }

  void inject(const router_ptr& self, fault kind) {
    if (const auto mode = port_mode_of(kind)) {
      for (const router_ptr& one : routers_) {
        if (one == self || kind == fault::platform_down || kind == fault::platform_slow) {
          set_port_mode(one, *mode);
        }
      }
    } else if (kind == fault::long_pause) {
      pause(self);
    } else if (kind == fault::crash_before || kind == fault::crash_after) {
      // With crash_after the message being sent still leaves; only its answer is lost.
      crash(self);
    }
  }

  void set_port_mode(const router_ptr& self, port_mode mode) {
    self->mode = mode;
    store_.events().after(outage_duration, [self] { self->mode = port_mode::healthy; });
  }

  void pause(const router_ptr& self) {
    self->paused = true;
    self->port->pause();
    store_.events().after(pause_duration, [self] {
      self->paused = false;
      if (!self->alive) {
        return;
      }
      self->port->resume();
      for (const auto& one : std::exchange(self->deferred, {})) {
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
    store_.events().after(restart_delay, [this, self] {
      destroy(self);
      for (router_ptr& one : routers_) {
        if (one == self) {
          first_router_restarted_ = first_router_restarted_ || self == routers_.front();
          one = make_router("c" + std::to_string(++incarnations_));
        }
      }
    });
  }

  // Runs the action in the router's process: dropped after a crash, deferred during a pause.
  void run_in_router_after(const router_ptr& self, duration wait, std::function<void()> action) {
    store_.events().after(wait, [self, action = std::move(action)] {
      if (self->alive && self->paused) {
        self->deferred.push_back(action);
      } else if (self->alive) {
        action();
      }
    });
  }

  // --- request handling in the router ---

  void handle(const router_ptr& self, int attempt, reply_callback done) {
    auto request = std::make_shared<router_request>();
    request->handler = self;
    request->attempt = attempt;
    request->done = std::move(done);
    self->current_step = claim_step::create;
    self->claims->claim({"w", "key", "same body", std::to_string(attempt)},
                        [this, request](const claim_outcome& seen) {
                          request->handler->current_step = claim_step::release;
                          std::visit(
                              overloaded{[&](const owned& mine) { start(request, mine.token); },
                                         [&](const recorded_answer& was) {
                                           request->done({reply_kind::answer, was.body});
                                         },
                                         [&](const in_progress&) {
                                           request->done({reply_kind::in_progress, {}});
                                         },
                                         [&](const outcome_unknown&) {
                                           request->done({reply_kind::unknown, {}});
                                         },
                                         [&](const key_conflict&) {
                                           request->done({reply_kind::conflict, {}});
                                         },
                                         [&](const not_run&) {
                                           request->done({reply_kind::not_run, {}});
                                         }},
                              seen);
                        });
  }

  void start(const request_ptr& request, const claim_token& token) {
    request->token = token;
    hop(
        request, claim_step::connect, true, [this, request] { dispatch(request); },
        [request] {
          request->open = false;
          request->handler->claims->release_unsent(request->token, [](bool) {});
          request->done({reply_kind::not_run, {}});
        });
  }

  void dispatch(const request_ptr& request) {
    if (!request->handler->claims->begin_dispatch(request->token)) {
      request->done({reply_kind::not_run, {}});
      return;
    }
    ++dispatch_count_;
    hop(
        request, claim_step::head, true,
        [this, request] {
          hop(
              request, claim_step::body, true, [this, request] { execute(request); },
              [this, request] { fail_exchange(request); });
        },
        [this, request] { fail_exchange(request); });
  }

  // Runs the request on the backend server.
  void execute(const request_ptr& request) {
    ++runs_[request->attempt];
    const auto fails = [this, request] { fail_exchange(request); };
    hop(
        request, claim_step::first_byte, false,
        [this, request, fails] {
          hop(
              request, claim_step::mid_stream, false,
              [this, request, fails] {
                hop(
                    request, claim_step::last_byte, false, [this, request] { complete(request); },
                    fails);
              },
              fails);
        },
        fails);
  }

  void fail_exchange(const request_ptr& request) {
    if (std::exchange(request->open, false)) {
      request->handler->claims->record_unknown(request->token);
      request->done({reply_kind::unknown, {}});
    }
  }

  static std::string body_of(int attempt) { return "whole answer of " + std::to_string(attempt); }

  void complete(const request_ptr& request) {
    if (!std::exchange(request->open, false)) {
      return;
    }
    request->handler->current_step = claim_step::record;
    request->handler->claims->record(
        request->token, {200, "text/plain", body_of(request->attempt)}, [this, request](bool) {
          request->open = true;
          hop(
              request, claim_step::answer, false,
              [request] {
                request->done({reply_kind::answer, body_of(request->attempt)});
              },
              [] {});
        });
  }

  // Sends one message between the router and the caller or the backend server.
  // \param outbound  the message is received outside the router's process
  void hop(const request_ptr& request, claim_step at, bool outbound, std::function<void()> arrives,
           std::function<void()> breaks) {
    const router_ptr self = request->handler;
    const auto kind = hop_fault(request, at);
    const auto deliver = [this, self, request, outbound, arrives](duration wait) {
      if (outbound) {
        store_.events().after(wait, arrives);
      } else {
        run_in_router_after(self, wait, [request, arrives] {
          if (request->open) {
            arrives();
          }
        });
      }
    };
    if (!kind) {
      // The router sends the next message itself, so it must be alive.
      if (outbound && at != claim_step::body) {
        run_in_router_after(self, hop_latency, arrives);
      } else {
        deliver(hop_latency);
      }
      return;
    }
    switch (*kind) {
      case fault::request_lost:
        run_in_router_after(self, exchange_timeout, breaks);
        return;
      case fault::answer_lost:
        lose_acknowledgement(request, at, arrives);
        run_in_router_after(self, exchange_timeout, breaks);
        return;
      case fault::delayed:
        if (at == claim_step::body) {
          deliver(stepped_platform::long_delay);
        }
        run_in_router_after(self, exchange_timeout, breaks);
        return;
      case fault::crash_before:
        crash(self);
        return;
      case fault::crash_after:
        // The backend server can run the request without the router only if all of it has arrived.
        if (at == claim_step::body) {
          deliver(hop_latency);
        }
        crash(self);
        return;
      default:
        inject(self, *kind);
        run_in_router_after(self, hop_latency, arrives);
        return;
    }
  }

  // Delivers a complete request whose acknowledgement is lost. Any other message has no effect
  // without the router.
  void lose_acknowledgement(const request_ptr& request, claim_step at,
                            const std::function<void()>& arrives) {
    if (at == claim_step::body) {
      store_.events().after(hop_latency, arrives);
      return;
    }
    (void)request;
  }

  std::optional<fault> hop_fault(const request_ptr& request, claim_step at) {
    if (plan_.random_seed != 0) {
      if (random_.below(100) >= 12) {
        return std::nullopt;
      }
      const auto kind = static_cast<fault>(random_.below(fault_names.size()));
      return claim_cell_excluded(at, kind) ? std::nullopt : std::optional(kind);
    }
    return request->handler == routers_.front() && !first_router_restarted_ ? take_injection(at)
                                                                            : std::nullopt;
  }

  // --- the caller ---

  void send(std::size_t where) {
    const int attempt = ++attempts_;
    auto open = std::make_shared<bool>(true);
    const auto finished = [this, open, attempt, where](const reply& seen) {
      replies_.emplace_back(attempt, seen);
      if (std::exchange(*open, false)) {
        last_reply_ = seen.kind;
        if (seen.kind != reply_kind::answer) {
          repeat(where);
        }
      }
    };
    const router_ptr to = routers_[where];
    if (to->alive && !to->paused) {
      handle(to, attempt, finished);
    } else if (to->alive) {
      to->deferred.emplace_back([this, to, attempt, finished] { handle(to, attempt, finished); });
    }
    store_.events().after(caller_timeout, [this, open, where] {
      if (std::exchange(*open, false)) {
        repeat(where);
      }
    });
  }

  void repeat(std::size_t where) {
    if (attempts_ >= max_attempts || final_attempt_) {
      return;
    }
    const std::size_t next = plan_.repeats == repeat_mode::same_router ? where : 1 - where;
    store_.events().after(repeat_delay, [this, next] {
      if (!final_attempt_) {
        send(next);
      }
    });
  }

  // --- invariants ---

  run_result check() {
    run_result found;
    found.reached = plan_.injections.empty();
    int total = 0;
    int executed_attempt = 0;
    for (const auto& [attempt, count] : runs_) {
      total += count;
      executed_attempt = attempt;
    }
    if (total > 1) {
      found.violations.push_back("ran " + std::to_string(total) + " times");
    }
    for (const auto& [attempt, seen] : replies_) {
      const bool ran = runs_.contains(attempt);
      if (seen.kind == reply_kind::not_run && ran) {
        found.violations.emplace_back("told not_run, but the attempt ran");
      }
      if (seen.kind == reply_kind::answer && total != 1) {
        found.violations.emplace_back("told an answer, but the runs are not one");
      }
      if (seen.kind == reply_kind::answer && seen.body != body_of(executed_attempt)) {
        found.violations.emplace_back("answer is not the whole answer of the run");
      }
      if (seen.kind == reply_kind::conflict) {
        found.violations.emplace_back("told a key conflict for the same body");
      }
    }
    // An unknown outcome is allowed only if a request was dispatched or a router crashed while it
    // held a claim.
    if (last_reply_ != reply_kind::answer && dispatch_count_ == 0 && !crashed_) {
      found.violations.emplace_back("the key stays blocked though nothing was ever sent");
    }
    if (!last_reply_) {
      found.violations.emplace_back("the last attempt was never answered");
    }
    found.outcome = last_reply_ == reply_kind::answer ? "answer" : "unknown";
    return found;
  }

  claim_plan plan_;
  stepped_clock time_;
  stepped_platform store_;
  random_source random_;
  time_point start_;
  std::vector<router_ptr> routers_;
  int create_calls_ = 0;
  int incarnations_ = 0;
  bool first_router_restarted_ = false;
  bool crashed_ = false;
  bool final_attempt_ = false;
  int attempts_ = 0;
  int dispatch_count_ = 0;
  std::map<int, int> runs_;
  std::vector<std::pair<int, reply>> replies_;
  std::optional<reply_kind> last_reply_;
};

bool calls_platform(claim_step at) {
  return at == claim_step::create || at == claim_step::read_back || at == claim_step::release ||
         at == claim_step::record;
}

}  // namespace

std::optional<std::string_view> claim_cell_excluded(claim_step at, fault kind) {
  if (kind == fault::cut_from_peers) {
    return "a claim exchanges nothing with peers";
  }
  if (calls_platform(at)) {
    return std::nullopt;
  }
  if (kind == fault::doubled || kind == fault::reordered) {
    return "one TCP connection delivers once and in order";
  }
  const bool inbound = at == claim_step::first_byte || at == claim_step::mid_stream ||
                       at == claim_step::last_byte || at == claim_step::answer;
  if (kind == fault::answer_lost && inbound) {
    return "the message is itself the answer: see request lost";
  }
  return std::nullopt;
}

run_result run_claim_plan(const claim_plan& plan) {
  claim_plan whole = plan;
  for (const claim_injection& one : plan.injections) {
    // These steps are reached only after an earlier fault.
    if (one.at == claim_step::read_back) {
      whole.injections.push_back({claim_step::create, fault::answer_lost});
    }
    if (one.at == claim_step::release) {
      whole.injections.push_back({claim_step::connect, fault::request_lost});
    }
  }
  return simulation(whole).run();
}

}  // namespace hawthornnotch::test
