// The state machine behind config_editor.
#ifndef HAWTHORNNOTCH_CONFIG_EDIT_ENGINE_H_
#define HAWTHORNNOTCH_CONFIG_EDIT_ENGINE_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornnotch/config/edit.h"

namespace hawthornnotch {

// Callbacks collected under the lock and run after it.
using deferred_calls = std::vector<std::function<void()>>;

// One call of the editor, with at most one platform call outstanding.
struct edit_operation {
  enum class step : std::uint8_t {
    read_head,
    write_version,
    move_head,
    close_edit,
    read_version,
    finished
  };

  step now = step::read_head;
  // The step that follows the first read of the head.
  step after_head = step::write_version;
  time_point deadline;
  time_point retry_at;
  bool calling = false;
  // True once a move of the head may have taken effect without our knowing.
  bool may_have_moved = false;
  bool head_malformed = false;

  config_subject subject;
  boost::json::object body;
  std::uint64_t base_revision = 0;
  std::string edit_id;

  config_head head;
  std::int64_t head_mod_revision = 0;

  config_editor::outcome_callback decided;
  config_editor::find_callback found;
  config_editor::read_callback was_read;
};

class config_editor::engine : public std::enable_shared_from_this<config_editor::engine> {
 public:
  engine(editor_settings settings, platform::client& platform, const clock& time,
         std::string incarnation);

  void start(std::shared_ptr<edit_operation> what);
  void tick();

 private:
  using operation = std::shared_ptr<edit_operation>;
  using step = edit_operation::step;

  void advance(const operation& what);
  void call_read(const operation& what, const std::string& key);
  void call_transact(const operation& what, platform::transaction change);
  void on_read(const operation& what,
               const result<platform::read_outcome, platform::platform_failure>& seen);
  void on_transacted(const operation& what,
                     const result<platform::transaction_outcome, platform::platform_failure>& seen);

  void head_was_read(const operation& what, const std::vector<platform::key_value>& found,
                     deferred_calls& calls);
  void version_was_read(const operation& what, const std::vector<platform::key_value>& found,
                        deferred_calls& calls);
  bool take_head(edit_operation& what, const std::vector<platform::key_value>& found);
  void decide_on_head(const operation& what, deferred_calls& calls);
  void decide_edit(const operation& what, deferred_calls& calls);
  void decide_find(const operation& what, deferred_calls& calls);
  platform::transaction version_write(const edit_operation& what) const;
  static platform::transaction head_change(const edit_operation& what, const config_head& next);
  static config_head moved_head(const edit_operation& what);
  static config_head closed_head(const edit_operation& what);

  static void finish(edit_operation& what, edit_outcome how, deferred_calls& calls);
  static void finish(edit_operation& what, find_outcome how, deferred_calls& calls);
  static void finish(edit_operation& what, result<stored_version, read_failure> how,
                     deferred_calls& calls);
  static void time_out(edit_operation& what, deferred_calls& calls);

  const editor_settings settings_;
  platform::client& platform_;
  const clock& time_;
  const std::string incarnation_;
  std::mutex mutex_;
  std::list<operation> operations_;
  std::uint64_t last_number_ = 0;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_EDIT_ENGINE_H_
