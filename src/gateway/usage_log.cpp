#include "usage_log.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornnotch::gateway::internal {

namespace {

/// Pause after a failed call.
constexpr duration retry_pause{500};

const platform::key_value* find_key(const std::vector<platform::key_value>& items,
                                    std::string_view key) {
  const auto found =
      std::find_if(items.begin(), items.end(), [key](const auto& each) { return each.key == key; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

std::optional<duties::usage_report> usage_log::next(const duties::duty_term& term, time_point now) {
  if (term.fencing != fencing_) {
    fencing_ = term.fencing;
    progress_ = progress::unread;
  }
  if (progress_ == progress::unread && now >= next_read_at_) {
    read(now);
  }
  if (progress_ != progress::known) {
    return std::nullopt;
  }
  duties::usage_step step = source_.next(now);
  if (auto* fixing = std::get_if<duties::fix_log>(&step)) {
    write(term, std::move(fixing->text));
  }
  auto* sending = std::get_if<duties::send_report>(&step);
  return sending == nullptr ? std::nullopt : std::optional(std::move(sending->report));
}

void usage_log::read(time_point now) {
  progress_ = progress::calling;
  next_read_at_ = now + retry_pause;
  store_.read(std::string(duties::usage_log_key), [this, fencing = fencing_](const auto& answer) {
    if (fencing == fencing_) {
      on_read(answer);
    }
  });
}

void usage_log::on_read(const result<platform::read_outcome, platform::platform_failure>& answer) {
  if (!answer) {
    read_again(answer.last_reason().kind);
    return;
  }
  const auto& found = answer.value()->found;
  store_log_.on_success();
  progress_ = progress::known;
  revision_ = found.empty() ? 0 : found.front().mod_revision;
  source_.log_read(found.empty() ? std::nullopt : std::optional(found.front().value),
                   shared_.time.now());
}

void usage_log::write(const duties::duty_term& term, std::string text) {
  progress_ = progress::calling;
  const std::string lease(duties::lease_key);
  const std::string log(duties::usage_log_key);
  platform::transaction tx;
  tx.conditions.emplace_back(platform::must_be_unchanged{lease, term.lease_revision});
  if (revision_ == 0) {
    tx.conditions.emplace_back(platform::must_be_absent{log});
  } else {
    tx.conditions.emplace_back(platform::must_be_unchanged{log, revision_});
  }
  tx.effects.emplace_back(platform::put{log, std::move(text), 0});
  tx.read_on_conflict = {lease, log};
  store_.transact(std::move(tx), [this, term](const auto& answer) {
    if (term.fencing == fencing_) {
      on_written(term, answer);
    }
  });
}

void usage_log::on_written(
    const duties::duty_term& term,
    const result<platform::transaction_outcome, platform::platform_failure>& answer) {
  if (!answer) {
    read_again(answer.last_reason().kind);
    return;
  }
  const platform::transaction_outcome& outcome = *answer.value();
  store_log_.on_success();
  if (outcome.applied) {
    progress_ = progress::known;
    revision_ = outcome.revision;
    source_.log_written(shared_.time.now());
    return;
  }
  progress_ = progress::unread;
  const platform::key_value* lease = find_key(outcome.current, duties::lease_key);
  if (lease == nullptr || lease->mod_revision != term.lease_revision) {
    holder_.lease_key_changed(term.fencing);
  }
}

void usage_log::read_again(platform::failure_kind reason) {
  store_log_.on_failure(to_string(reason));
  progress_ = progress::unread;
  next_read_at_ = shared_.time.now() + retry_pause;
}

}  // namespace hawthornnotch::gateway::internal
