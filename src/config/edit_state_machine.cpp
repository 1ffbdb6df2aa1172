#include "edit_engine.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <utility>

namespace hawthornnotch {

namespace {

// An edit id starts with the head's count of edits at the time it was made.
std::uint64_t count_in(std::string_view edit_id) {
  std::uint64_t count = 0;
  std::from_chars(edit_id.data(), edit_id.data() + edit_id.size(), count);
  return count;
}

// True if the head may have forgotten how the edit ended.
bool is_too_old(const config_head& head, std::string_view edit_id) {
  return head.edit_count - count_in(edit_id) > config_head::decided_edits_kept;
}

void run(const deferred_calls& calls) {
  for (const auto& call : calls) {
    call();
  }
}

}  // namespace

config_editor::engine::engine(editor_settings settings, platform::client& platform,
                              const clock& time, std::string incarnation)
    : settings_(settings), platform_(platform), time_(time), incarnation_(std::move(incarnation)) {}

void config_editor::engine::start(std::shared_ptr<edit_operation> what) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    what->deadline = time_.now() + settings_.timeout;
    operations_.push_back(what);
    advance(what);
  }
  run(calls);
}

void config_editor::engine::tick() {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    for (const operation& what : operations_) {
      if (what->now == step::finished) {
        continue;
      }
      if (time_.now() >= what->deadline) {
        time_out(*what, calls);
      } else if (!what->calling && time_.now() >= what->retry_at) {
        advance(what);
      }
    }
    operations_.remove_if([](const operation& what) { return what->now == step::finished; });
  }
  run(calls);
}

void config_editor::engine::advance(const operation& what) {
  switch (what->now) {
    case step::read_head:
      call_read(what, std::string(config_head_key));
      break;
    case step::read_version:
      call_read(what, what->head.pointer(what->subject).key);
      break;
    case step::write_version:
      call_transact(what, version_write(*what));
      break;
    case step::move_head:
      call_transact(what, head_change(*what, moved_head(*what)));
      break;
    case step::close_edit:
      call_transact(what, head_change(*what, closed_head(*what)));
      break;
    case step::finished:
      break;
  }
}

void config_editor::engine::call_read(const operation& what, const std::string& key) {
  what->calling = true;
  platform_.read(key, [held = weak_from_this(), what](const auto& seen) {
    if (const auto self = held.lock()) {
      self->on_read(what, seen);
    }
  });
}

void config_editor::engine::call_transact(const operation& what, platform::transaction change) {
  what->calling = true;
  platform_.transact(std::move(change), [held = weak_from_this(), what](const auto& seen) {
    if (const auto self = held.lock()) {
      self->on_transacted(what, seen);
    }
  });
}

void config_editor::engine::on_read(
    const operation& what, const result<platform::read_outcome, platform::platform_failure>& seen) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    what->calling = false;
    if (what->now == step::finished) {
      return;
    }
    if (!seen) {
      what->retry_at = time_.now() + settings_.retry_pause;
    } else if (what->now == step::read_version) {
      version_was_read(what, seen->found, calls);
    } else {
      head_was_read(what, seen->found, calls);
    }
  }
  run(calls);
}

void config_editor::engine::on_transacted(
    const operation& what,
    const result<platform::transaction_outcome, platform::platform_failure>& seen) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    what->calling = false;
    if (what->now == step::finished) {
      return;
    }
    const bool writes_version = what->now == step::write_version;
    if (!seen) {
      what->retry_at = time_.now() + settings_.retry_pause;
      what->may_have_moved =
          what->may_have_moved || (!writes_version && seen.last_reason().may_have_taken_effect);
    } else if (writes_version) {
      // Not applied: the key holds our edit id, so an earlier try of this write took effect.
      what->now = step::move_head;
      advance(what);
    } else if (!seen->applied) {
      head_was_read(what, seen->current, calls);
    } else if (what->now == step::close_edit) {
      finish(*what, find_outcome{edit_not_accepted{}}, calls);
    } else {
      finish(*what, edit_outcome{edit_accepted{what->base_revision + 1, what->edit_id}}, calls);
    }
  }
  run(calls);
}

void config_editor::engine::head_was_read(const operation& what,
                                          const std::vector<platform::key_value>& found,
                                          deferred_calls& calls) {
  if (!take_head(*what, found)) {
    what->head_malformed = true;
    what->retry_at = time_.now() + settings_.retry_pause;
    return;
  }
  decide_on_head(what, calls);
}

bool config_editor::engine::take_head(edit_operation& what,
                                      const std::vector<platform::key_value>& found) {
  if (found.empty()) {
    what.head = {};
    what.head_mod_revision = 0;
    return true;
  }
  auto head = parse_head(found.front().value);
  if (!head) {
    return false;
  }
  what.head = std::move(*head);
  what.head_mod_revision = found.front().mod_revision;
  return true;
}

void config_editor::engine::decide_on_head(const operation& what, deferred_calls& calls) {
  switch (what->after_head) {
    case step::write_version:
      decide_edit(what, calls);
      break;
    case step::close_edit:
      decide_find(what, calls);
      break;
    case step::read_version:
      if (what->head.pointer(what->subject).revision == 0) {
        finish(*what, result<stored_version, read_failure>(failed{read_failure::absent}), calls);
      } else {
        what->now = step::read_version;
        advance(what);
      }
      break;
    case step::read_head:
    case step::move_head:
    case step::finished:
      break;
  }
}

void config_editor::engine::decide_edit(const operation& what, deferred_calls& calls) {
  const decided_edit* decided = what->edit_id.empty() ? nullptr : what->head.find(what->edit_id);
  const std::uint64_t current = what->head.pointer(what->subject).revision;
  if (decided != nullptr && decided->accepted) {
    finish(*what, edit_outcome{edit_accepted{decided->revision, what->edit_id}}, calls);
  } else if (decided == nullptr && what->may_have_moved && is_too_old(what->head, what->edit_id)) {
    finish(*what, edit_outcome{edit_unknown{what->edit_id}}, calls);
  } else if (decided != nullptr || current != what->base_revision) {
    finish(*what, edit_outcome{edit_conflict{current}}, calls);
  } else {
    if (what->edit_id.empty()) {
      what->edit_id = std::to_string(what->head.edit_count) + "-" + incarnation_ + "-" +
                      std::to_string(++last_number_);
      what->now = step::write_version;
    }
    advance(what);
  }
}

void config_editor::engine::decide_find(const operation& what, deferred_calls& calls) {
  const decided_edit* decided = what->head.find(what->edit_id);
  if (decided != nullptr && decided->accepted) {
    finish(*what, find_outcome{edit_accepted{decided->revision, what->edit_id}}, calls);
  } else if (decided != nullptr) {
    finish(*what, find_outcome{edit_not_accepted{}}, calls);
  } else if (is_too_old(what->head, what->edit_id)) {
    finish(*what, find_outcome{edit_too_old{}}, calls);
  } else {
    what->now = step::close_edit;
    advance(what);
  }
}

void config_editor::engine::version_was_read(const operation& what,
                                             const std::vector<platform::key_value>& found,
                                             deferred_calls& calls) {
  using outcome = result<stored_version, read_failure>;
  boost::system::error_code failure;
  const auto value =
      found.empty() ? boost::json::value{} : boost::json::parse(found.front().value, failure);
  if (failure || !value.is_object()) {
    finish(*what, outcome(failed{read_failure::malformed}), calls);
    return;
  }
  const std::uint64_t revision = what->head.pointer(what->subject).revision;
  finish(*what, outcome(stored_version{revision, value.get_object()}), calls);
}

platform::transaction config_editor::engine::version_write(const edit_operation& what) const {
  const std::string key = version_key(what.subject, what.base_revision + 1, what.edit_id);
  platform::transaction change;
  change.conditions.emplace_back(platform::must_be_absent{key});
  change.effects.emplace_back(platform::put{key, boost::json::serialize(what.body), 0});
  return change;
}

platform::transaction config_editor::engine::head_change(const edit_operation& what,
                                                         const config_head& next) {
  const std::string key(config_head_key);
  platform::transaction change;
  if (what.head_mod_revision == 0) {
    change.conditions.emplace_back(platform::must_be_absent{key});
  } else {
    change.conditions.emplace_back(platform::must_be_unchanged{key, what.head_mod_revision});
  }
  change.effects.emplace_back(platform::put{key, to_text(next), 0});
  change.read_on_conflict.push_back(key);
  return change;
}

config_head config_editor::engine::moved_head(const edit_operation& what) {
  const std::uint64_t revision = what.base_revision + 1;
  config_head next = what.head;
  next.subjects[what.subject] = {revision, version_key(what.subject, revision, what.edit_id)};
  next.decide({what.edit_id, true, revision});
  return next;
}

// The head moves, so that no earlier move that is still under way can apply any more.
config_head config_editor::engine::closed_head(const edit_operation& what) {
  config_head next = what.head;
  next.decide({what.edit_id, false, 0});
  return next;
}

void config_editor::engine::finish(edit_operation& what, edit_outcome how, deferred_calls& calls) {
  what.now = step::finished;
  calls.emplace_back([done = std::move(what.decided), how = std::move(how)] { done(how); });
}

void config_editor::engine::finish(edit_operation& what, find_outcome how, deferred_calls& calls) {
  what.now = step::finished;
  calls.emplace_back([done = std::move(what.found), how = std::move(how)] { done(how); });
}

void config_editor::engine::finish(edit_operation& what, result<stored_version, read_failure> how,
                                   deferred_calls& calls) {
  what.now = step::finished;
  calls.emplace_back([done = std::move(what.was_read), how = std::move(how)] { done(how); });
}

void config_editor::engine::time_out(edit_operation& what, deferred_calls& calls) {
  // An outstanding move may still take effect.
  const bool moving = what.calling && what.now == step::move_head;
  if (what.found) {
    finish(what, find_outcome{edit_unreachable{}}, calls);
  } else if (what.was_read) {
    const auto reason = what.head_malformed ? read_failure::malformed : read_failure::unreachable;
    finish(what, result<stored_version, read_failure>(failed{reason}), calls);
  } else if (moving || what.may_have_moved) {
    finish(what, edit_outcome{edit_unknown{what.edit_id}}, calls);
  } else {
    finish(what, edit_outcome{edit_unreachable{}}, calls);
  }
}

}  // namespace hawthornnotch
