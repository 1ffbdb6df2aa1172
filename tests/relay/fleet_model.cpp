#include "fleet_model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hawthornnotch::relay {

namespace {

constexpr duration step_time{50};
constexpr std::int64_t exchange_steps = 3;
constexpr std::int64_t tick_steps = 2;
constexpr std::int64_t look_steps = 20;
constexpr duration call_time{4};

}  // namespace

fleet_model::fleet_model(settings what) : what_(what) {
  for (std::size_t vm = 0; vm < what_.vms; ++vm) {
    start(vm);
  }
}

void fleet_model::start(std::size_t vm) {
  peer self;
  self.failure_domain = "domain-" + std::to_string(domain_of(vm));
  // As operators name them: VMs of one failure domain stand together in the order of names.
  self.vm = self.failure_domain + "-entry-" + std::to_string(vm);
  self.address = {"10.0.0.1", static_cast<std::uint16_t>(vm)};
  self.incarnation = std::to_string(++incarnations_);
  self.heartbeat = static_cast<std::uint64_t>(now_.ms);
  reading_settings reading;
  reading.kind = what_.kind;
  reading.max_staleness = what_.max_staleness;
  reading.jitter = random_.unit();
  reading.peers_ask_at_startup = vm == 0;
  const endpoint seed{"10.0.0.1", 0};
  model_vm started(std::move(self), seed, reading, incarnations_, now_);
  if (vm < vms_.size()) {
    vms_[vm] = std::move(started);
  } else {
    vms_.push_back(std::move(started));
  }
}

void fleet_model::restart_all() {
  for (std::size_t vm = 0; vm < what_.vms; ++vm) {
    start(vm);
  }
}

void fleet_model::run_for(duration span) {
  const time_point end = now_ + span;
  while (now_ < end) {
    step();
  }
}

void fleet_model::step() {
  now_ = now_ + step_time;
  ++revision_;
  const std::int64_t steps = now_.ms / step_time.ms;
  // Those that heard in the step before tell now.
  for (std::size_t left = telling_.size(); left > 0; --left) {
    const std::size_t vm = telling_.front();
    telling_.pop_front();
    tell(vm);
  }
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    const auto own_steps = steps + static_cast<std::int64_t>(vm);
    if (!vms_[vm].up) {
      continue;
    }
    if (own_steps % exchange_steps == 0) {
      exchange(vm);
    }
    if (own_steps % look_steps == 0) {
      count_deaths(vm);
    }
    end_call(vm);
    if (uses_store_ && own_steps % tick_steps == 0) {
      call_if_due(vm);
    }
  }
}

bool fleet_model::reaches(std::size_t a, std::size_t b) const {
  const bool cut = cut_domain_ && (domain_of(a) == *cut_domain_) != (domain_of(b) == *cut_domain_);
  return vms_[b].up && !cut;
}

void fleet_model::exchange(std::size_t vm) {
  model_vm& from = vms_[vm];
  const auto to = from.peers.next_contact(now_, from.random);
  if (!to || to->port == vm) {
    return;
  }
  if (!reaches(vm, to->port)) {
    from.peers.contact_failed(*to, now_);
    return;
  }
  model_vm& other = vms_[to->port];
  take(other, message_of(from));
  take(from, message_of(other));
}

void fleet_model::count_deaths(std::size_t vm) {
  for (const std::string& name : vms_[vm].peers.take_changes(now_).lost) {
    const std::size_t other = std::stoul(name.substr(name.rfind('-') + 1));
    false_deaths_ += reaches(vm, other) ? 1 : 0;
  }
}

void fleet_model::change_at(std::size_t vm) {
  vms_[vm].change = ++newest_change_;
  telling_.push_back(vm);
}

void fleet_model::tell(std::size_t vm) {
  model_vm& from = vms_[vm];
  for (const endpoint& to : from.peers.peers_to_notify(now_, from.random)) {
    told_far_ += domain_of(vm) == domain_of(to.port) ? 0 : 1;
    if (reaches(vm, to.port)) {
      take(vms_[to.port], message_of(from));
    }
  }
}

std::size_t fleet_model::informed() const {
  return static_cast<std::size_t>(
      std::count_if(vms_.begin(), vms_.end(),
                    [&](const model_vm& each) { return each.change == newest_change_; }));
}

std::uint64_t fleet_model::take_false_deaths() { return std::exchange(false_deaths_, 0); }

exchange_message fleet_model::message_of(model_vm& from) {
  exchange_message message;
  message.from = from.peers.next_heartbeat({{"s1", 1, 100, 0}});
  message.config_version = from.change;
  message.config_id = from.seen.id;
  message.config_seen = from.seen.version;
  message.config_age = now_ - from.seen.at;
  message.peers = from.peers.sample_peers(now_, from.random);
  return message;
}

void fleet_model::take(model_vm& to, const exchange_message& message) {
  to.peers.heard(message, now_);
  if (message.config_version > to.change) {
    to.change = message.config_version;
    telling_.push_back(static_cast<std::size_t>(to.peers.self().address.port));
  }
  merge_confirmation(to.seen, {message.config_id, message.config_seen, now_ - message.config_age});
}

bool fleet_model::answers(std::size_t vm) const { return !away_ && !(refused_ && refused_(vm)); }

void fleet_model::call_if_due(std::size_t vm) {
  model_vm& caller = vms_[vm];
  const bool known = caller.seen.version.revision != 0;
  const auto age = known ? std::optional(now_ - caller.seen.at) : std::nullopt;
  if (!caller.schedule.due(age, caller.seen.id, caller.peers.rank(now_), now_)) {
    return;
  }
  ++calls_;
  if (!answers(vm)) {
    caller.schedule.failed_now(caller.peers.rank(now_), caller.random.unit(), now_);
    return;
  }
  const bool waits = known && what_.kind == reading_kind::watched;
  caller.schedule.began(caller.seen.id);
  const duration longest = caller.schedule.watch_time(caller.seen.id);
  caller.answered_at = now_ + (waits ? longest : call_time);
}

void fleet_model::end_call(std::size_t vm) {
  model_vm& caller = vms_[vm];
  if (!caller.answered_at || now_ < *caller.answered_at) {
    return;
  }
  caller.answered_at.reset();
  if (!answers(vm)) {
    caller.schedule.failed_now(caller.peers.rank(now_), caller.random.unit(), now_);
    return;
  }
  const confirmation seen{caller.random.engine()(), {1, revision_}, now_};
  caller.schedule.succeeded(caller.seen.id, seen.id, false);
  merge_confirmation(caller.seen, seen);
}

std::optional<duration> fleet_model::greatest_age() const {
  duration greatest;
  for (const model_vm& vm : vms_) {
    if (vm.up && vm.seen.version.revision == 0) {
      return std::nullopt;
    }
    greatest = vm.up ? std::max(greatest, now_ - vm.seen.at) : greatest;
  }
  return greatest;
}

std::size_t fleet_model::first() const {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (vms_[vm].up && vms_[vm].peers.rank(now_).in_fleet == 0) {
      return vm;
    }
  }
  return 0;
}

}  // namespace hawthornnotch::relay
