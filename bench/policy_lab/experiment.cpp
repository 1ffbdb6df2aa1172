#include "experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <unordered_map>

#include "fake_engine.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/policy/scheduler.h"

namespace hawthornnotch::lab {

namespace {

using namespace literals;
using policy::attempt_end;
using policy::ticket;

constexpr duration step = 5_ms;
constexpr duration burst_from = 20_s;
constexpr duration burst_to = 80_s;
constexpr duration arrivals_to = 120_s;
constexpr duration run_to = 260_s;
constexpr duration snapshot_every = 1_s;
constexpr duration usual_lag = 1_s;
constexpr duration fault_lag = 4_s;
constexpr duration patience_over_limit = 1_s;
// When faults come and go.
constexpr duration slow_from = 30_s;
constexpr duration slow_to = 55_s;
constexpr duration crash_at = 45_s;
constexpr duration recover_at = 60_s;
constexpr duration profile_part = 10_s;
constexpr double slow_factor = 5.0;
constexpr std::uint32_t slots = 8;
constexpr double fastest_ms = 9.0;
constexpr double speed_spread = 4.0;
constexpr double length_sigma = 0.6;

struct caller_request {
  std::size_t shape = 0;
  int router = 0;
  ticket request = 0;
  std::uint32_t attempt = 0;
  int engine = -1;
  std::uint32_t answer_tokens = 0;
  std::uint32_t sent = 0;
  // Work done in the burst, which counts once the answer is complete.
  double burst_work = 0;
  std::uint64_t engine_key = 0;
  time_point arrived;
  time_point dispatched;
  time_point first_token;
  time_point last_token;
  double wasted_prefill = 0;
  bool done = false;
};

class experiment {
 public:
  explicit experiment(const experiment_plan& plan);
  experiment_result run();

 private:
  void arrive();
  void submit(std::size_t shape);
  void carry_out(int router);
  void send(const policy::assigned& sent, int router);
  void refuse(const policy::refused& refused, int router);
  void preempt(const policy::preempted& stopped, int router);
  void advance_engines();
  void on_event(const engine_event& event);
  void on_failed(caller_request& each, attempt_end end, double prefill);
  void finish(caller_request& each);
  void count_top(const caller_request& each, bool in_target);
  void lose_patience();
  void change_faults();
  void publish();
  void measure();
  [[nodiscard]] caller_request& by_ticket(ticket request, int router) {
    return requests_[tickets_.at(static_cast<std::size_t>(router)).at(request)];
  }
  [[nodiscard]] duration elapsed() const { return time_.now() - start_; }
  [[nodiscard]] bool in_burst() const { return elapsed() >= burst_from && elapsed() < burst_to; }
  policy::scheduler& router(int index) { return *routers_[static_cast<std::size_t>(index)]; }
  class_result& result_of(const caller_request& each) { return result_.classes[each.shape]; }
  const class_shape& shape_of(const caller_request& each) const {
    return plan_.shape.classes[each.shape];
  }

  experiment_plan plan_;
  stepped_clock time_;
  time_point start_;
  random_source random_;
  std::vector<fake_engine> engines_;
  std::vector<std::unique_ptr<policy::scheduler>> routers_;
  std::deque<caller_request> requests_;
  std::vector<std::unordered_map<ticket, std::size_t>> tickets_;
  std::unordered_map<std::uint64_t, std::size_t> engine_keys_;
  std::deque<std::pair<time_point, std::size_t>> impatient_;
  std::deque<std::vector<load_report>> past_reports_;
  std::uint64_t next_key_ = 1;
  double full_capacity_ = 0;
  double burst_capacity_ = 0;
  double burst_useful_ = 0;
  double burst_in_target_ = 0;
  int burst_answers_ = 0;
  int burst_answers_in_target_ = 0;
  double useful_ = 0;
  double wasted_ = 0;
  double useful_tokens_ = 0;
  double slots_up_ = 0;
  double slots_taken_ = 0;
  double waiting_ = 0;
  double engine_steps_ = 0;
  experiment_result result_;
};

std::string engine_name(int index) { return "engine-" + std::to_string(index); }
std::string router_name(int index) { return "vm-" + std::to_string(index); }

experiment::experiment(const experiment_plan& plan)
    : plan_(plan), start_(time_.now()), random_(plan.seed) {
  for (int index = 0; index < plan.engines; ++index) {
    const double place = plan.engines > 1 ? static_cast<double>(index) / (plan.engines - 1) : 0.0;
    engines_.emplace_back(slots, fastest_ms * std::pow(speed_spread, place));
    full_capacity_ += engines_.back().capacity();
  }
  for (int index = 0; index < plan.routers; ++index) {
    const std::uint64_t seed = plan.seed * 100 + static_cast<std::uint64_t>(index);
    routers_.push_back(std::move(*policy::scheduler::create(plan.settings, time_, seed)));
  }
  tickets_.resize(routers_.size());
  for (const class_shape& shape : plan.shape.classes) {
    class_result each;
    each.name = shape.traffic_class.name;
    each.tier = shape.traffic_class.service_tier;
    result_.classes.push_back(each);
  }
}

experiment_result experiment::run() {
  while (elapsed() < run_to) {
    if (elapsed().ms % snapshot_every.ms == 0) {
      publish();
    }
    change_faults();
    arrive();
    lose_patience();
    for (int index = 0; index < plan_.routers; ++index) {
      carry_out(index);
    }
    advance_engines();
    measure();
  }
  for (const auto& each : routers_) {
    result_.preempted += each->view().totals.preempted;
    result_.retried += each->view().totals.retried;
  }
  constexpr double ms_per_s = 1000.0;
  result_.useful_tokens_per_s = useful_tokens_ / static_cast<double>(arrivals_to.ms) * ms_per_s;
  result_.goodput_part = burst_useful_ / burst_capacity_;
  result_.goodput_in_target_part = burst_in_target_ / burst_capacity_;
  const double burst_s = static_cast<double>((burst_to - burst_from).ms) / ms_per_s;
  result_.answers_per_s = burst_answers_ / burst_s;
  result_.answers_in_target_per_s = burst_answers_in_target_ / burst_s;
  result_.busy_part = slots_taken_ / slots_up_;
  result_.waiting_at_engines = waiting_ / engine_steps_;
  result_.wasted_part = wasted_ / std::max(1.0, useful_ + wasted_);
  return result_;
}

void experiment::arrive() {
  if (elapsed() >= arrivals_to) {
    return;
  }
  for (std::size_t index = 0; index < plan_.shape.classes.size(); ++index) {
    const class_shape& shape = plan_.shape.classes[index];
    const double part = (in_burst() ? shape.burst : shape.base) * plan_.load;
    const double work =
        fake_engine::work(shape.prompt_tokens, shape.shared_tokens, shape.mean_tokens);
    const double expected = part * full_capacity_ * static_cast<double>(step.ms) / work;
    std::poisson_distribution<int> draw(expected);
    for (int count = draw(random_.engine()); count > 0; --count) {
      submit(index);
    }
  }
}

void experiment::submit(std::size_t shape_index) {
  const class_shape& shape = plan_.shape.classes[shape_index];
  caller_request made;
  made.shape = shape_index;
  const auto routers = static_cast<std::uint64_t>(plan_.routers);
  made.router = static_cast<int>(random_.below(routers));
  if (plan_.skewed) {
    const bool top = shape.traffic_class.service_tier == 0;
    made.router = top ? 0 : static_cast<int>(1 + random_.below(routers - 1));
  }
  const double mu = std::log(shape.mean_tokens) - length_sigma * length_sigma / 2;
  std::lognormal_distribution<double> draw(mu, length_sigma);
  made.answer_tokens = std::max(1U, static_cast<std::uint32_t>(draw(random_.engine())));
  made.arrived = time_.now();
  policy::request_profile profile;
  profile.workspace = plan_.shape.name;
  profile.traffic_class = shape.traffic_class;
  profile.serves = "model";
  profile.prompt_bytes = shape.prompt_tokens * 4;
  profile.prefix_hash = shape.shared_tokens > 0 ? shape_index + 1 : 0;
  made.request = router(made.router).submit(profile);
  tickets_[static_cast<std::size_t>(made.router)][made.request] = requests_.size();
  ++result_of(made).sent;
  impatient_.emplace_back(time_.now() + shape.traffic_class.queue_limit + patience_over_limit,
                          requests_.size());
  requests_.push_back(made);
}

void experiment::carry_out(int index) {
  for (const policy::decision& next : router(index).take_decisions()) {
    std::visit(overloaded{
                   [&](const policy::assigned& each) { send(each, index); },
                   [&](const policy::refused& each) { refuse(each, index); },
                   [&](const policy::preempted& each) { preempt(each, index); },
               },
               next);
  }
}

void experiment::send(const policy::assigned& sent, int router_index) {
  caller_request& each = by_ticket(sent.request, router_index);
  const class_shape& shape = shape_of(each);
  each.attempt = sent.attempt;
  if (each.sent == 0) {
    each.dispatched = time_.now();
  }
  each.engine = std::stoi(sent.backend_server.substr(engine_name(0).size() - 1));
  each.engine_key = next_key_++;
  engine_request request;
  request.key = each.engine_key;
  request.priority = sent.engine_priority;
  request.prompt_tokens = shape.prompt_tokens + each.sent;
  request.prefix = shape.shared_tokens > 0 ? each.shape + 1 : 0;
  request.prefix_tokens = shape.shared_tokens;
  request.answer_tokens = each.answer_tokens - each.sent;
  if (!engines_[static_cast<std::size_t>(each.engine)].submit(request)) {
    on_failed(each, attempt_end::connect_failed, 0);
    return;
  }
  engine_keys_[request.key] = tickets_[static_cast<std::size_t>(router_index)].at(sent.request);
}

void experiment::on_failed(caller_request& each, attempt_end end, double prefill) {
  each.wasted_prefill += prefill;
  each.engine = -1;
  if (!router(each.router).retry(each.request, each.attempt, end)) {
    each.done = true;
    ++result_of(each).failed;
    wasted_ += each.wasted_prefill + each.sent;
  }
}

void experiment::refuse(const policy::refused& refused, int router_index) {
  caller_request& each = by_ticket(refused.request, router_index);
  each.done = true;
  ++result_of(each).shed;
  wasted_ += each.wasted_prefill + each.sent;
}

void experiment::preempt(const policy::preempted& stopped, int router_index) {
  caller_request& each = by_ticket(stopped.request, router_index);
  if (each.done || each.engine < 0) {
    return;
  }
  each.wasted_prefill += engines_[static_cast<std::size_t>(each.engine)].cancel(each.engine_key);
  engine_keys_.erase(each.engine_key);
  each.engine = -1;
  router(router_index).on_finished(each.request, each.attempt, attempt_end::preempted);
}

void experiment::advance_engines() {
  std::vector<engine_event> events;
  for (fake_engine& engine : engines_) {
    engine.advance(step, events);
  }
  time_.advance(step);
  for (const engine_event& event : events) {
    on_event(event);
  }
}

void experiment::on_event(const engine_event& event) {
  const auto found = engine_keys_.find(event.key);
  if (found == engine_keys_.end()) {
    return;
  }
  caller_request& each = requests_[found->second];
  if (event.finished || event.failed) {
    engine_keys_.erase(found);
  }
  if (event.failed) {
    on_failed(each, attempt_end::stream_failed, event.prefill);
    return;
  }
  if (each.sent == 0) {
    each.first_token = time_.now();
  }
  policy::scheduler& decides = router(each.router);
  if (each.sent == 0 || each.last_token < each.first_token) {
    decides.on_first_token(each.request, each.attempt);
  }
  decides.on_tokens(each.request, each.attempt, event.tokens);
  if (in_burst()) {
    const class_shape& shape = shape_of(each);
    const bool is_first = each.sent == 0;
    each.burst_work +=
        is_first ? fake_engine::work(shape.prompt_tokens, shape.shared_tokens, event.tokens)
                 : event.tokens;
  }
  each.sent += event.tokens;
  each.last_token = time_.now();
  if (event.finished) {
    useful_ += event.prefill;
    finish(each);
  }
}

void experiment::finish(caller_request& each) {
  each.done = true;
  router(each.router).on_finished(each.request, each.attempt, attempt_end::completed);
  const class_shape& shape = shape_of(each);
  const latency_target& target = shape.traffic_class.target;
  class_result& result = result_of(each);
  const duration first = each.first_token - each.arrived;
  const duration stream = each.last_token - each.first_token;
  const double gap = each.sent > 1 ? static_cast<double>(stream.ms) / (each.sent - 1) : 0.0;
  const bool late_first = target.first_token && first > *target.first_token;
  const bool late_between =
      target.between_tokens && gap > static_cast<double>(target.between_tokens->ms);
  const bool late_end = target.completion && each.last_token - each.arrived > *target.completion;
  result.late_first += late_first ? 1 : 0;
  result.late_between += late_between ? 1 : 0;
  count_top(each, !late_first && !late_between && !late_end);
  ++(late_first || late_between || late_end ? result.late : result.in_target);
  result.longest_wait_ms = std::max(result.longest_wait_ms, first.ms);
  useful_ += each.sent;
  wasted_ += each.wasted_prefill;
  useful_tokens_ += each.sent;
  const bool in_target = !late_first && !late_between && !late_end;
  burst_useful_ += each.burst_work;
  burst_in_target_ += in_target ? each.burst_work : 0.0;
  if (in_burst()) {
    ++burst_answers_;
    burst_answers_in_target_ += in_target ? 1 : 0;
  }
}

void experiment::count_top(const caller_request& each, bool in_target) {
  if (shape_of(each).traffic_class.service_tier != 0) {
    return;
  }
  const auto part = static_cast<std::size_t>((each.arrived - start_).ms / profile_part.ms);
  result_.top_sent.resize(std::max(result_.top_sent.size(), part + 1));
  result_.top_in_target.resize(result_.top_sent.size());
  ++result_.top_sent[part];
  if (!in_target) {
    result_.late_router_ms += static_cast<double>((each.dispatched - each.arrived).ms);
    result_.late_engine_ms += static_cast<double>((each.first_token - each.dispatched).ms);
    result_.late_top += 1;
  }
  result_.top_in_target[part] += in_target ? 1 : 0;
}

void experiment::lose_patience() {
  while (!impatient_.empty() && impatient_.front().first <= time_.now()) {
    const std::size_t index = impatient_.front().second;
    impatient_.pop_front();
    caller_request& each = requests_[index];
    if (each.done || each.sent > 0) {
      continue;
    }
    each.done = true;
    ++result_of(each).gone;
    if (each.engine >= 0) {
      each.wasted_prefill +=
          engines_[static_cast<std::size_t>(each.engine)].cancel(each.engine_key);
      engine_keys_.erase(each.engine_key);
    }
    wasted_ += each.wasted_prefill;
    router(each.router).on_caller_gone(each.request);
  }
}

void experiment::change_faults() {
  const std::size_t slow_engine = engines_.size() / 2;
  const std::size_t crashed_engine = engines_.size() / 4;
  if (plan_.faults.slow && elapsed() == slow_from) {
    engines_[slow_engine].slow_down(slow_factor);
  } else if (plan_.faults.slow && elapsed() == slow_to) {
    engines_[slow_engine].slow_down(1.0);
  } else if (plan_.faults.crash && elapsed() == crash_at) {
    std::vector<engine_event> events;
    engines_[crashed_engine].crash(events);
    for (const engine_event& event : events) {
      on_event(event);
    }
  } else if (plan_.faults.crash && elapsed() == recover_at) {
    engines_[crashed_engine].recover();
  }
}

void experiment::publish() {
  std::vector<load_report> reports;
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    const fake_engine& engine = engines_[index];
    reports.push_back(
        {engine_name(static_cast<int>(index)), engine.running(), engine.waiting(), time_.now()});
  }
  past_reports_.push_back(std::move(reports));
  const duration lag = plan_.faults.lag && in_burst() ? fault_lag : usual_lag;
  const auto back = static_cast<std::size_t>(lag.ms / snapshot_every.ms);
  auto fleet = std::make_shared<fleet_snapshot>();
  for (int index = 0; index < plan_.engines; ++index) {
    backend_server server;
    server.id = engine_name(index);
    server.incarnation = "first";
    server.serves = {"model"};
    server.slots = slots;
    fleet->backend_servers.push_back(server);
  }
  for (int index = 0; index < plan_.routers; ++index) {
    entry_vm vm;
    vm.id = router_name(index);
    fleet->entry_vms.push_back(vm);
    peer_waiting waiting;
    waiting.vm = vm.id;
    const auto own = router(index).view().waiting;
    std::copy(own.begin(), own.end(), std::begin(waiting.by_tier));
    fleet->waiting.push_back(waiting);
  }
  if (past_reports_.size() > back) {
    fleet->reports = past_reports_[past_reports_.size() - 1 - back];
  }
  for (int index = 0; index < plan_.routers; ++index) {
    router(index).apply(fleet, router_name(index));
  }
}

void experiment::measure() {
  if (!in_burst()) {
    return;
  }
  for (const fake_engine& engine : engines_) {
    burst_capacity_ += engine.capacity() * static_cast<double>(step.ms);
    slots_up_ += engine.capacity() > 0 ? engine.slots() : 0;
    slots_taken_ += engine.running();
    waiting_ += engine.waiting();
    engine_steps_ += 1.0;
  }
}

}  // namespace

experiment_result run_experiment(const experiment_plan& plan) { return experiment(plan).run(); }

}  // namespace hawthornnotch::lab
