#include "budget_fleet.h"

#include <algorithm>
#include <memory>
#include <sstream>

namespace hawthornnotch::dispatch {

namespace {

constexpr duration step_length{10};
constexpr duration exchange_period{150};
// The balancer notices after this long that a VM is down; requests sent to it before are lost.
constexpr duration balancer_detection_time{2'000};
constexpr std::size_t retries_wanted_per_request = 2;
constexpr std::uint16_t first_port = 8'000;
constexpr double ms_per_second = 1'000;
constexpr std::string_view service = "forecast";

endpoint address_of(std::size_t vm) {
  return {"10.0.0.1", static_cast<std::uint16_t>(first_port + vm)};
}

}  // namespace

budget_fleet::entry_vm::entry_vm(relay::peer self, std::vector<endpoint> seeds,
                                 relay::peer_set_settings peer_settings,
                                 const retry_budget_settings& with, std::uint64_t seed,
                                 time_point started_at)
    : peers(std::move(self), std::move(seeds), std::move(peer_settings)),
      budget(with, started_at),
      random(seed) {}

budget_fleet::budget_fleet(const settings& what) : settings_(what), random_(what.seed) {
  for (std::size_t vm = 0; vm < settings_.vms; ++vm) {
    add(vm % settings_.domains);
  }
}

void budget_fleet::add(std::size_t domain) {
  place added;
  added.domain = domain;
  added.name = "entry-" + std::to_string(vms_.size());
  vms_.push_back(std::move(added));
  start(vms_.size() - 1);
}

void budget_fleet::start(std::size_t vm) {
  place& at = vms_[vm];
  relay::peer self;
  self.vm = at.name;
  self.failure_domain = "domain-" + std::to_string(at.domain);
  self.address = address_of(vm);
  self.incarnation = std::to_string(++at.starts);
  self.heartbeat = static_cast<std::uint64_t>(now_.ms);
  constexpr std::size_t seed_count = 3;
  std::vector<endpoint> seeds;
  for (std::size_t seed = 0; seed < std::min(seed_count, settings_.vms); ++seed) {
    seeds.push_back(address_of(seed));
  }
  relay::peer_set_settings peer_settings;
  for (std::size_t domain = 0; domain < settings_.domains; ++domain) {
    peer_settings.failure_domains.push_back("domain-" + std::to_string(domain));
  }
  at.process =
      std::make_unique<entry_vm>(std::move(self), std::move(seeds), std::move(peer_settings),
                                 settings_.budget, random_.below(1'000'000), now_);
  at.process->domain = at.domain;
  at.process->next_exchange = now_;
}

void budget_fleet::kill(std::size_t vm, duration down_for) {
  vms_[vm].process.reset();
  vms_[vm].down_since = now_;
  vms_[vm].back_at = now_ + down_for;
}

void budget_fleet::kill_all(duration down_for) {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (!vms_[vm].removed) {
      kill(vm, down_for);
    }
  }
}

void budget_fleet::freeze(std::size_t vm, duration frozen_for) {
  if (runs(vm)) {
    vms_[vm].frozen_until = now_ + frozen_for;
    vms_[vm].process->clock_lag = vms_[vm].process->clock_lag + frozen_for;
  }
}

void budget_fleet::remove(std::size_t vm) {
  vms_[vm].process.reset();
  vms_[vm].removed = true;
  vms_[vm].down_since = now_;
}

bool budget_fleet::runs(std::size_t vm) const {
  return vms_[vm].process && vms_[vm].frozen_until <= now_;
}

bool budget_fleet::reaches(std::size_t from, std::size_t to) const {
  const bool same_side =
      partitioned_.contains(vms_[from].domain) == partitioned_.contains(vms_[to].domain);
  return runs(to) && same_side;
}

void budget_fleet::run_for(duration span) {
  const time_point end = now_ + span;
  while (now_ < end) {
    step();
  }
}

void budget_fleet::step() {
  now_ = now_ + step_length;
  std::vector<std::size_t> receivers;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    place& at = vms_[vm];
    if (!at.process && !at.removed && at.back_at <= now_) {
      start(vm);
    }
    if (at.process) {
      receivers.push_back(vm);
    }
  }
  for (const std::size_t vm : receivers) {
    if (runs(vm) && vms_[vm].process->next_exchange <= now_) {
      vms_[vm].process->next_exchange = now_ + exchange_period;
      exchange(vm);
    }
  }
  const double per_step =
      settings_.requests_per_s_per_vm * static_cast<double>(step_length.ms) / ms_per_second;
  for (std::size_t vm = 0; vm < settings_.vms; ++vm) {
    const bool noticed = !vms_[vm].process && now_ - vms_[vm].down_since > balancer_detection_time;
    if (!noticed) {
      receive_requests(vm, per_step);
    } else if (!receivers.empty()) {
      receive_requests(receivers[random_.below(receivers.size())], per_step);
    }
  }
}

void budget_fleet::exchange(std::size_t vm) {
  entry_vm& from = *vms_[vm].process;
  const time_point from_now = now_ - from.clock_lag;
  (void)from.peers.take_changes(from_now);
  const auto next = from.peers.next_contact(from_now, from.random);
  if (!next) {
    return;
  }
  const std::size_t to_vm = next->port - first_port;
  if (to_vm == vm) {
    return;
  }
  if (!reaches(vm, to_vm)) {
    from.peers.contact_failed(*next, from_now);
    return;
  }
  entry_vm& to = *vms_[to_vm].process;
  const time_point to_now = now_ - to.clock_lag;
  relay::exchange_message request;
  request.from = from.peers.next_heartbeat({});
  request.peers = from.peers.sample_peers(from_now, from.random);
  to.peers.merge_message(request, to_now);
  relay::exchange_message answer;
  answer.from = to.peers.next_heartbeat({});
  answer.peers = to.peers.sample_peers(to_now, to.random);
  from.peers.merge_message(answer, from_now);
}

void budget_fleet::receive_requests(std::size_t vm, double count) {
  place& at = vms_[vm];
  const auto whole = static_cast<std::size_t>(count + random_.unit());
  for (std::size_t request = 0; request < whole; ++request) {
    requests_.push_back(now_);
    if (!runs(vm)) {
      continue;
    }
    entry_vm& to = *at.process;
    const time_point to_now = now_ - to.clock_lag;
    to.budget.on_request(service, to_now);
    for (std::size_t retry = 0; retries_wanted_ && retry < retries_wanted_per_request; ++retry) {
      const budget_share share{to.peers.member_count(), to.peers.disrupted_at()};
      if (to.budget.take(service, share, to_now).allowed) {
        retries_.push_back(now_);
      }
    }
  }
}

std::size_t budget_fleet::count_between(const std::vector<time_point>& times, time_point after,
                                        time_point until) {
  const auto begin = std::upper_bound(times.begin(), times.end(), after);
  const auto end = std::upper_bound(times.begin(), times.end(), until);
  return static_cast<std::size_t>(end - begin);
}

// Counts the requests in the window, in the one before it and in the one half a window before it.
double budget_fleet::allowed_at(time_point end) const {
  const duration window = settings_.budget.window;
  std::size_t most = 0;
  for (const duration back : {duration{0}, window / 2, window}) {
    most = std::max(most, count_between(requests_, end - back - window, end - back));
  }
  return settings_.budget.ratio * static_cast<double>(most) + settings_.budget.slack;
}

budget_fleet::window_count budget_fleet::worst_window() const {
  window_count worst;
  time_point last;
  for (const time_point end : retries_) {
    if (end == last) {
      continue;
    }
    last = end;
    window_count at;
    at.retries = count_between(retries_, end - settings_.budget.window, end);
    at.allowed = allowed_at(end);
    at.excess = static_cast<double>(at.retries) - at.allowed;
    at.end = end;
    worst = at.excess > worst.excess ? at : worst;
  }
  return worst;
}

double budget_fleet::used_fraction(duration span) const {
  const double windows =
      static_cast<double>(span.ms) / static_cast<double>(settings_.budget.window.ms);
  const double requests = static_cast<double>(count_between(requests_, now_ - span, now_));
  const double allowed = settings_.budget.ratio * requests + settings_.budget.slack * windows;
  return static_cast<double>(retries_within(span)) / allowed;
}

std::size_t budget_fleet::retries_within(duration span) const {
  return count_between(retries_, now_ - span, now_);
}

std::string budget_fleet::window_count::text() const {
  std::ostringstream out;
  out << retries << " retries in the window that ends at " << end.ms << " ms, allowed " << allowed;
  return out.str();
}

}  // namespace hawthornnotch::dispatch
