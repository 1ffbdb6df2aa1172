#include "crashing_fleet.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::quarantine {

namespace {

constexpr duration step{10};
constexpr duration gossip_period{150};
constexpr duration message_delay{20};
constexpr duration min_news_interval{100};
constexpr std::size_t news_fanout = 6;
constexpr std::size_t suspicions_per_message = 16;
constexpr duration restart_time{3'000};
// Time from a request's arrival at a server to its first event.
constexpr duration min_prefill{150};
constexpr std::uint64_t prefill_spread_ms = 1'000;

constexpr std::uint64_t crashing = 9'000;
constexpr std::uint64_t companion = 1;
constexpr std::uint64_t middle_parts = 1'000;

}  // namespace

fingerprint part(std::uint64_t number) {
  return {suspect_kind::prompt_part, digest_of(std::to_string(number))};
}

crashing_fleet::crashing_fleet(const fleet_options& options)
    : options_(options), random_(options.seed), vms_(options.vms), servers_(options.servers) {
  for (server& each : servers_) {
    each.incarnation = ++incarnations_;
  }
}

bool crashing_fleet::reachable(std::size_t a, std::size_t b) const {
  const bool same_side = (a < cut_off_) == (b < cut_off_);
  return same_side && !vms_[a].frozen && !vms_[b].frozen;
}

void crashing_fleet::cut_off(std::size_t count) {
  for (std::size_t vm = 0; vm < std::max(count, cut_off_); ++vm) {
    vms_[vm].counts_from = count > 0 ? now_ + 3'600_s : now_ + stability;
  }
  cut_off_ = count;
}

void crashing_fleet::restart(std::size_t vm) {
  vms_[vm] = entry_vm();
  vms_[vm].counts_from = now_ + stability;
}

void crashing_fleet::wake(std::size_t vm) {
  vms_[vm].frozen = false;
  vms_[vm].counts_from = now_ + stability;
}

bool crashing_fleet::counts(std::size_t vm) const { return now_ >= vms_[vm].counts_from; }

bool crashing_fleet::after_bound(duration since_bound) const {
  return bound_ && now_ > *bound_ + since_bound;
}

double crashing_fleet::refused_sound() const { return sound_.value(); }
double crashing_fleet::refused_companions() const { return companions_.value(); }

request_parts crashing_fleet::draw_parts(bool deadly) {
  const bool has_part = deadly && options_.deadly == suspect_kind::prompt_part;
  request_parts parts;
  if (has_part && options_.position == 0) {
    parts.push_back(part(crashing));
  }
  const bool second = second_part_ && random_.unit() < 0.5;
  if (deadly) {
    parts.push_back(part(second ? companion + 1 : companion));
  } else {
    parts.push_back(part(companion + random_.below(options_.first_parts)));
  }
  if (has_part && options_.position > 0) {
    parts.push_back(part(second ? crashing + 1 : crashing));
  }
  const bool repeated = deadly && !has_part;
  parts.push_back(part(100 + (repeated ? 0 : random_.below(middle_parts))));
  const std::uint64_t number = repeated ? 0 : ++requests_;
  parts.push_back({suspect_kind::request, digest_of(std::to_string(number))});
  return parts;
}

void crashing_fleet::arrive(bool deadly) {
  const std::size_t vm = random_.below(vms_.size());
  if (vms_[vm].frozen) {
    return;
  }
  pending_request request;
  request.vm = vm;
  request.deadly = deadly;
  request.parts = draw_parts(deadly);
  const bool is_companion = !deadly && request.parts.front() == part(companion);
  const bool refused = vms_[vm].table.find_quarantined(request.parts, {}, now_).has_value();
  if (!deadly && after_bound(stability) && counts(vm)) {
    ++sound_.of;
    sound_.refused += refused ? 1 : 0;
    companions_.of += is_companion ? 1 : 0;
    companions_.refused += is_companion && refused ? 1 : 0;
  }
  if (!refused) {
    send(vm, std::move(request));
  }
}

void crashing_fleet::send(std::size_t vm, pending_request request) {
  server& at = servers_[random_.below(servers_.size())];
  if (at.back_at) {
    return;
  }
  if (request.deadly && after_bound() && counts(vm)) {
    ++arrivals_after_bound_;
  }
  request.begins_at =
      now_ + min_prefill + duration{static_cast<std::int64_t>(random_.below(prefill_spread_ms))};
  at.pending.push_back(std::move(request));
}

void crashing_fleet::run_server(server& at) {
  if (at.back_at) {
    if (now_ >= *at.back_at) {
      at.back_at.reset();
      at.incarnation = ++incarnations_;
    }
    return;
  }
  for (std::size_t index = 0; index < at.pending.size();) {
    if (at.pending[index].begins_at > now_) {
      ++index;
      continue;
    }
    if (at.pending[index].deadly) {
      ++deadly_crashes_;
      const bool is_part = options_.deadly == suspect_kind::prompt_part;
      if (deadly_crashes_ == (is_part ? crashes_before_part : crashes_before_request)) {
        bound_ = now_ + stability;
      }
      crash(at);
      return;
    }
    const pending_request begun = at.pending[index];
    at.pending.erase(at.pending.begin() + static_cast<std::ptrdiff_t>(index));
    // Of a lost answer the VM learns nothing: the server accepts connections, so it has not
    // crashed.
    const bool lost = random_.unit() < options_.lost_answers;
    if (!lost && !vms_[begun.vm].frozen) {
      vms_[begun.vm].table.record_success(begun.parts, now_);
    }
  }
}

void crashing_fleet::crash(server& at) {
  at.back_at = now_ + restart_time;
  const std::vector<pending_request> pending = std::exchange(at.pending, {});
  for (const pending_request& each : pending) {
    on_closed(at, each);
  }
}

// The VM notices a closed connection after a short time, and retries once.
void crashing_fleet::on_closed(const server& at, pending_request request) {
  const std::uint32_t incarnation = at.incarnation;
  delayed_.emplace((now_ + message_delay).ms, [this, incarnation, request = std::move(request)] {
    entry_vm& vm = vms_[request.vm];
    if (vm.frozen) {
      return;
    }
    vm.table.record_crash(incarnation, request.parts, now_);
    if (!request.retried && !vm.table.find_quarantined(request.parts, {}, now_)) {
      pending_request again = request;
      again.retried = true;
      send(request.vm, std::move(again));
    }
  });
}

void crashing_fleet::crash_servers(double fraction) {
  for (server& each : servers_) {
    if (!each.back_at && random_.unit() < fraction) {
      crash(each);
    }
  }
}

void crashing_fleet::exchange(std::size_t from, std::size_t to) {
  if (from == to || !reachable(from, to)) {
    return;
  }
  auto known = vms_[from].table.suspicions_to_gossip(suspicions_per_message);
  delayed_.emplace((now_ + message_delay).ms, [this, from, to, known = std::move(known)] {
    if (!reachable(from, to)) {
      return;
    }
    vms_[to].table.merge(known, now_);
    const auto answer = vms_[to].table.suspicions_to_gossip(suspicions_per_message);
    vms_[from].table.merge(answer, now_);
  });
}

void crashing_fleet::gossip() {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    exchange(vm, random_.below(vms_.size()));
  }
}

void crashing_fleet::spread_news() {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    entry_vm& each = vms_[vm];
    const bool due = now_ - each.news_at >= min_news_interval;
    if (each.frozen || !due || !each.table.take_news()) {
      continue;
    }
    each.news_at = now_;
    for (std::size_t count = 0; count < news_fanout; ++count) {
      ++urgent_messages_;
      exchange(vm, random_.below(vms_.size()));
    }
  }
}

void crashing_fleet::run_for(duration time) {
  const double seconds = static_cast<double>(step.ms) / 1'000.0;
  const auto draw = [&](double per_second) {
    const double expected = per_second * seconds;
    const auto whole = static_cast<std::size_t>(expected);
    return whole + (random_.unit() < expected - static_cast<double>(whole) ? 1 : 0);
  };
  for (const time_point end = now_ + time; now_ < end; now_ = now_ + step) {
    while (!delayed_.empty() && delayed_.begin()->first <= now_.ms) {
      const auto due = std::move(delayed_.begin()->second);
      delayed_.erase(delayed_.begin());
      due();
    }
    for (std::size_t count = draw(options_.sound_per_s); count > 0; --count) {
      arrive(false);
    }
    for (std::size_t count = draw(options_.deadly_per_s); count > 0; --count) {
      arrive(true);
    }
    for (server& each : servers_) {
      run_server(each);
    }
    if (now_.ms % gossip_period.ms == 0) {
      gossip();
    }
    spread_news();
  }
}

}  // namespace hawthornnotch::quarantine
