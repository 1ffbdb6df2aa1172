#include "hawthornnotch/usage/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "hawthornnotch/usage/window_clock.h"

namespace hawthornnotch::usage {

namespace {

/// By then the counts of all VMs have arrived: exchanges take 150 ms to 1 s for each hop.
constexpr duration settling_time{4'000};
/// Time to fix and send a report before it is due.
constexpr duration sending_reserve{2'000};
/// A report that is later than this after it was due is of no use.
constexpr duration give_up_time{30'000};
/// Counts expire 40 s after they were written; later sums would be too low.
constexpr duration counts_kept{36'000};
constexpr duration max_pause{2'000};

}  // namespace

time_point usage_reporter::end_of(std::int64_t window) const {
  return {(window + 1) * settings_.window.ms};
}

time_point usage_reporter::gives_up_at(std::int64_t window) const {
  return end_of(window) + settings_.delay + give_up_time;
}

bool usage_reporter::is_countable(std::int64_t window, time_point now) const {
  const time_point true_now = view_.true_time(now);
  return true_now < end_of(window) + counts_kept && true_now < gives_up_at(window);
}

bool usage_reporter::is_ready(std::int64_t window, time_point now) const {
  const time_point true_now = view_.true_time(now);
  const duration latest = std::max(settings_.delay - sending_reserve, duration{0});
  const duration usual = std::min(settling_time, latest);
  return true_now >= end_of(window) + (view_.is_complete(now) ? usual : latest);
}

void usage_reporter::backoff::on_failure(time_point now) {
  until_ = now + next_;
  next_ = std::min(next_ * 2, max_pause);
}

void usage_reporter::mark_sent(std::int64_t window) {
  if (fixed_report* known = log_.find(window)) {
    known->sent = true;
  }
  done_.insert(window);
  while (done_.size() > report_log::max_reports) {
    done_.erase(done_.begin());
  }
}

// Windows that ended before the restore was noticed may have been sent: a window is fixed only
// after its end.
std::int64_t usage_reporter::first_window_after_restore(std::int64_t era, time_point now) {
  if (!restore_ || restore_->era != era) {
    restore_ = restore{era, window_at(view_.true_time(now), settings_.window)};
  }
  return restore_->first_window;
}

// What is remembered was fixed under a lease, so it may be sent in any era.
void usage_reporter::merge_remembered(report_log& log, bool restored, time_point now) {
  for (auto& [window, content] : memory_.recall(now)) {
    fixed_report* known = log.find(window);
    if (known != nullptr && content != known->report) {
      withheld_ += known->sent ? 0 : 1;
      known->sent = true;
    } else if (known == nullptr && restored && content) {
      log.insert({std::move(*content), view_.true_time(now) >= gives_up_at(window)});
    } else if (known == nullptr && restored) {
      log.first_window = std::max(log.first_window, window + 1);
    }
  }
  log.trim();
}

void usage_reporter::begin_term(std::string_view stored_log, std::int64_t era, time_point now) {
  const auto decoded = decode_report_log(stored_log);
  report_log log = decoded ? *decoded : report_log{};
  if (log.era > era) {
    // This VM does not know the newest era yet.
    phase_ = phase::no_log;
    store_pause_.on_failure(now);
    return;
  }
  if (!decoded && !stored_log.empty()) {
    // Windows up to now may have been reported, in this era too.
    log.first_window = window_at(view_.true_time(now), settings_.window);
  }
  const bool same_era = decoded && log.era == era;
  if (!same_era) {
    log.first_window = std::max(log.first_window, first_window_after_restore(era, now));
    log.era = era;
  }
  merge_remembered(log, !same_era, now);
  log_ = std::move(log);
  must_write_ = !same_era;
  if (same_era) {
    memory_.remember(log_, now);
  }
  for (fixed_report& each : log_.reports) {
    each.sent = each.sent || done_.contains(each.report.window);
  }
  phase_ = phase::ready;
}

void usage_reporter::end_term() { phase_ = phase::no_log; }

void usage_reporter::on_store_restored(std::int64_t era, time_point now) {
  restore_ = restore{era, window_at(view_.true_time(now), settings_.window)};
  end_term();
}

fixed_report* usage_reporter::oldest_unsent(time_point now) {
  for (fixed_report& each : log_.reports) {
    if (each.sent) {
      continue;
    }
    if (view_.true_time(now) < gives_up_at(each.report.window)) {
      return &each;
    }
    each.sent = true;
    ++withheld_;
  }
  return nullptr;
}

std::optional<report_step> usage_reporter::next_fix(time_point now) {
  const std::int64_t current = window_at(view_.true_time(now), settings_.window);
  const duration oldest = give_up_time + settings_.delay + settings_.window;
  std::int64_t window = std::max(log_.next_window(), current - oldest.ms / settings_.window.ms - 1);
  bool changed = must_write_ && oldest_unsent(now) != nullptr;
  proposed_ = log_;
  for (; window < current && is_ready(window, now); ++window) {
    if (!is_countable(window, now)) {
      continue;
    }
    fixed_report added;
    added.report = {window, view_.totals(window, now)};
    const time_point begin = end_of(window) - settings_.window;
    if (added.report.counts.empty() && begin < view_.running_since(now)) {
      continue;
    }
    proposed_.insert(std::move(added));
    changed = true;
  }
  if (!changed) {
    return std::nullopt;
  }
  proposed_.trim();
  phase_ = phase::fixing;
  return fix_log{++step_, encode(proposed_)};
}

report_step usage_reporter::next(time_point now) {
  if (phase_ == phase::no_log) {
    return store_pause_.is_over(now) ? report_step{read_log{}} : report_step{idle{}};
  }
  if (phase_ != phase::ready) {
    return idle{};
  }
  fixed_report* unsent = must_write_ ? nullptr : oldest_unsent(now);
  if (unsent != nullptr && send_pause_.is_over(now)) {
    phase_ = phase::sending;
    sending_window_ = unsent->report.window;
    return send_report{++step_, unsent->report};
  }
  if (auto fix = next_fix(now)) {
    return std::move(*fix);
  }
  return idle{};
}

void usage_reporter::on_fixed(std::uint64_t step, bool applied, time_point now) {
  if (phase_ != phase::fixing || step != step_) {
    return;
  }
  if (!applied) {
    // The write may still take effect; only the store knows.
    phase_ = phase::no_log;
    store_pause_.on_failure(now);
    return;
  }
  store_pause_.on_success();
  log_ = std::move(proposed_);
  must_write_ = false;
  phase_ = phase::ready;
  memory_.remember(log_, now);
}

void usage_reporter::on_sent(std::uint64_t step, duties::call_outcome outcome, time_point now) {
  if (phase_ != phase::sending || step != step_) {
    return;
  }
  phase_ = phase::ready;
  const bool accepted = outcome == duties::call_outcome::accepted;
  if (!accepted && outcome != duties::call_outcome::rejected) {
    send_pause_.on_failure(now);
    return;
  }
  send_pause_.on_success();
  mark_sent(sending_window_);
  if (accepted) {
    last_sent_ = std::max(last_sent_, sending_window_);
  } else {
    ++withheld_;
  }
}

}  // namespace hawthornnotch::usage
