#include "edit_state_machine.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <utility>

namespace hawthornnotch {

namespace {

// An edit id starts with the head's edit count at the time the id was created.
std::uint64_t edit_count_in_id(std::string_view edit_id) {
  std::uint64_t count = 0;
  std::from_chars(edit_id.data(), edit_id.data() + edit_id.size(), count);
  return count;
}

// True if the edit's outcome may have been dropped from the head's recent edits.
bool is_too_old(const config_head& head, std::string_view edit_id) {
  return head.edit_count - edit_count_in_id(edit_id) > config_head::max_recent_edits;
}

void run(const deferred_calls& calls) {
  for (const auto& call : calls) {
    call();
  }
}

}  // namespace

config_editor::state_machine::state_machine(editor_settings settings, platform::client& platform,
                                            const clock& time, std::string incarnation)
    : settings_(settings), platform_(platform), time_(time), incarnation_(std::move(incarnation)) {}

void config_editor::state_machine::start(std::shared_ptr<edit_operation> op) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    op->deadline = time_.now() + settings_.timeout;
    operations_.push_back(op);
    advance(op);
  }
  run(calls);
}

void config_editor::state_machine::tick() {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    for (const operation& op : operations_) {
      if (op->current_step == step::finished) {
        continue;
      }
      if (time_.now() >= op->deadline) {
        time_out(*op, calls);
      } else if (!op->call_in_flight && time_.now() >= op->retry_at) {
        advance(op);
      }
    }
    operations_.remove_if([](const operation& op) { return op->current_step == step::finished; });
  }
  run(calls);
}

void config_editor::state_machine::advance(const operation& op) {
  switch (op->current_step) {
    case step::read_head:
      call_read(op, std::string(config_head_key));
      break;
    case step::read_version:
      call_read(op, op->head.pointer(op->subject).key);
      break;
    case step::write_version:
      call_transact(op, version_write(*op));
      break;
    case step::update_head:
      call_transact(op, head_change(*op, head_with_edit(*op)));
      break;
    case step::reject_edit:
      call_transact(op, head_change(*op, head_with_rejection(*op)));
      break;
    case step::finished:
      break;
  }
}

void config_editor::state_machine::call_read(const operation& op, const std::string& key) {
  op->call_in_flight = true;
  platform_.read(key, [weak_self = weak_from_this(), op](const auto& response) {
    if (const auto self = weak_self.lock()) {
      self->on_read(op, response);
    }
  });
}

void config_editor::state_machine::call_transact(const operation& op,
                                                 platform::transaction change) {
  op->call_in_flight = true;
  platform_.transact(std::move(change), [weak_self = weak_from_this(), op](const auto& response) {
    if (const auto self = weak_self.lock()) {
      self->on_transacted(op, response);
    }
  });
}

void config_editor::state_machine::on_read(
    const operation& op,
    const result<platform::read_outcome, platform::platform_failure>& response) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    op->call_in_flight = false;
    if (op->current_step == step::finished) {
      return;
    }
    if (!response) {
      op->retry_at = time_.now() + settings_.retry_pause;
    } else if (op->current_step == step::read_version) {
      handle_version(op, response->found, calls);
    } else {
      handle_head(op, response->found, calls);
    }
  }
  run(calls);
}

void config_editor::state_machine::on_transacted(
    const operation& op,
    const result<platform::transaction_outcome, platform::platform_failure>& response) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    op->call_in_flight = false;
    if (op->current_step == step::finished) {
      return;
    }
    const bool writes_version = op->current_step == step::write_version;
    if (!response) {
      op->retry_at = time_.now() + settings_.retry_pause;
      op->head_may_have_changed = op->head_may_have_changed ||
                                  (!writes_version && response.last_reason().may_have_taken_effect);
    } else if (writes_version) {
      // The key contains this edit's id, so a failed condition means that an earlier attempt of
      // this write was applied.
      op->current_step = step::update_head;
      advance(op);
    } else if (!response->applied) {
      handle_head(op, response->current, calls);
    } else if (op->current_step == step::reject_edit) {
      finish(*op, find_outcome{edit_not_accepted{}}, calls);
    } else {
      finish(*op, edit_outcome{edit_accepted{op->base_revision + 1, op->edit_id}}, calls);
    }
  }
  run(calls);
}

void config_editor::state_machine::handle_head(const operation& op,
                                               const std::vector<platform::key_value>& found,
                                               deferred_calls& calls) {
  if (!load_head(*op, found)) {
    op->head_malformed = true;
    op->retry_at = time_.now() + settings_.retry_pause;
    return;
  }
  continue_after_head(op, calls);
}

bool config_editor::state_machine::load_head(edit_operation& op,
                                             const std::vector<platform::key_value>& found) {
  if (found.empty()) {
    op.head = {};
    op.head_mod_revision = 0;
    return true;
  }
  auto head = parse_head(found.front().value);
  if (!head) {
    return false;
  }
  op.head = std::move(*head);
  op.head_mod_revision = found.front().mod_revision;
  return true;
}

void config_editor::state_machine::continue_after_head(const operation& op, deferred_calls& calls) {
  switch (op->step_after_head) {
    case step::write_version:
      continue_submit(op, calls);
      break;
    case step::reject_edit:
      continue_find(op, calls);
      break;
    case step::read_version:
      if (op->head.pointer(op->subject).revision == 0) {
        finish(*op, result<stored_version, read_failure>(failed{read_failure::absent}), calls);
      } else {
        op->current_step = step::read_version;
        advance(op);
      }
      break;
    case step::read_head:
    case step::update_head:
    case step::finished:
      break;
  }
}

void config_editor::state_machine::continue_submit(const operation& op, deferred_calls& calls) {
  const edit_record* record = op->edit_id.empty() ? nullptr : op->head.find(op->edit_id);
  const std::uint64_t current = op->head.pointer(op->subject).revision;
  if (record != nullptr && record->accepted) {
    finish(*op, edit_outcome{edit_accepted{record->revision, op->edit_id}}, calls);
  } else if (record == nullptr && op->head_may_have_changed && is_too_old(op->head, op->edit_id)) {
    finish(*op, edit_outcome{edit_unknown{op->edit_id}}, calls);
  } else if (record != nullptr || current != op->base_revision) {
    finish(*op, edit_outcome{edit_conflict{current}}, calls);
  } else {
    if (op->edit_id.empty()) {
      op->edit_id = std::to_string(op->head.edit_count) + "-" + incarnation_ + "-" +
                    std::to_string(++last_edit_number_);
      op->current_step = step::write_version;
    }
    advance(op);
  }
}

void config_editor::state_machine::continue_find(const operation& op, deferred_calls& calls) {
  const edit_record* record = op->head.find(op->edit_id);
  if (record != nullptr && record->accepted) {
    finish(*op, find_outcome{edit_accepted{record->revision, op->edit_id}}, calls);
  } else if (record != nullptr) {
    finish(*op, find_outcome{edit_not_accepted{}}, calls);
  } else if (is_too_old(op->head, op->edit_id)) {
    finish(*op, find_outcome{edit_too_old{}}, calls);
  } else {
    op->current_step = step::reject_edit;
    advance(op);
  }
}

void config_editor::state_machine::handle_version(const operation& op,
                                                  const std::vector<platform::key_value>& found,
                                                  deferred_calls& calls) {
  using read_result = result<stored_version, read_failure>;
  boost::system::error_code failure;
  const auto value =
      found.empty() ? boost::json::value{} : boost::json::parse(found.front().value, failure);
  if (failure || !value.is_object()) {
    finish(*op, read_result(failed{read_failure::malformed}), calls);
    return;
  }
  const std::uint64_t revision = op->head.pointer(op->subject).revision;
  finish(*op, read_result(stored_version{revision, value.get_object()}), calls);
}

platform::transaction config_editor::state_machine::version_write(const edit_operation& op) const {
  const std::string key = version_key(op.subject, op.base_revision + 1, op.edit_id);
  platform::transaction change;
  change.conditions.emplace_back(platform::must_be_absent{key});
  change.effects.emplace_back(platform::put{key, boost::json::serialize(op.body), 0});
  return change;
}

platform::transaction config_editor::state_machine::head_change(const edit_operation& op,
                                                                const config_head& next) {
  const std::string key(config_head_key);
  platform::transaction change;
  if (op.head_mod_revision == 0) {
    change.conditions.emplace_back(platform::must_be_absent{key});
  } else {
    change.conditions.emplace_back(platform::must_be_unchanged{key, op.head_mod_revision});
  }
  change.effects.emplace_back(platform::put{key, to_text(next), 0});
  change.read_on_conflict.push_back(key);
  return change;
}

config_head config_editor::state_machine::head_with_edit(const edit_operation& op) {
  const std::uint64_t revision = op.base_revision + 1;
  config_head next = op.head;
  next.subjects[op.subject] = {revision, version_key(op.subject, revision, op.edit_id)};
  next.record_edit({op.edit_id, true, revision});
  return next;
}

// Changes the head, so that the compare-and-swap of an update still in flight fails.
config_head config_editor::state_machine::head_with_rejection(const edit_operation& op) {
  config_head next = op.head;
  next.record_edit({op.edit_id, false, 0});
  return next;
}

void config_editor::state_machine::finish(edit_operation& op, edit_outcome outcome,
                                          deferred_calls& calls) {
  op.current_step = step::finished;
  calls.emplace_back(
      [done = std::move(op.submit_done), outcome = std::move(outcome)] { done(outcome); });
}

void config_editor::state_machine::finish(edit_operation& op, find_outcome outcome,
                                          deferred_calls& calls) {
  op.current_step = step::finished;
  calls.emplace_back(
      [done = std::move(op.find_done), outcome = std::move(outcome)] { done(outcome); });
}

void config_editor::state_machine::finish(edit_operation& op,
                                          result<stored_version, read_failure> outcome,
                                          deferred_calls& calls) {
  op.current_step = step::finished;
  calls.emplace_back(
      [done = std::move(op.read_done), outcome = std::move(outcome)] { done(outcome); });
}

void config_editor::state_machine::time_out(edit_operation& op, deferred_calls& calls) {
  // A head update in flight may still be applied.
  const bool updating_head = op.call_in_flight && op.current_step == step::update_head;
  if (op.find_done) {
    finish(op, find_outcome{edit_unreachable{}}, calls);
  } else if (op.read_done) {
    const auto reason = op.head_malformed ? read_failure::malformed : read_failure::unreachable;
    finish(op, result<stored_version, read_failure>(failed{reason}), calls);
  } else if (updating_head || op.head_may_have_changed) {
    finish(op, edit_outcome{edit_unknown{op.edit_id}}, calls);
  } else {
    finish(op, edit_outcome{edit_unreachable{}}, calls);
  }
}

}  // namespace hawthornnotch
