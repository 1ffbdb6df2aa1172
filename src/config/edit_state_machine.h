// State machine that implements config_editor.
#ifndef HAWTHORNNOTCH_CONFIG_EDIT_STATE_MACHINE_H_
#define HAWTHORNNOTCH_CONFIG_EDIT_STATE_MACHINE_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornnotch/config/edit.h"

namespace hawthornnotch {

// Callbacks collected under the lock and run after its release.
using deferred_calls = std::vector<std::function<void()>>;

// One operation of the editor; at most one platform call is in flight for it.
struct edit_operation {
  enum class step : std::uint8_t {
    read_head,
    write_version,
    update_head,
    reject_edit,
    read_version,
    finished
  };

  step current_step = step::read_head;
  // The step that follows the first read of the head.
  step step_after_head = step::write_version;
  time_point deadline;
  time_point retry_at;
  bool call_in_flight = false;
  // True once a head update may have been applied although its response was lost.
  bool head_may_have_changed = false;
  bool head_malformed = false;

  config_subject subject;
  boost::json::object body;
  std::uint64_t base_revision = 0;
  std::string edit_id;

  config_head head;
  std::int64_t head_mod_revision = 0;

  config_editor::outcome_callback submit_done;
  config_editor::find_callback find_done;
  config_editor::read_callback read_done;
};

class config_editor::state_machine
    : public std::enable_shared_from_this<config_editor::state_machine> {
 public:
  state_machine(editor_settings settings, platform::client& platform, const clock& time,
                std::string incarnation);

  void start(std::shared_ptr<edit_operation> op);
  void tick();

 private:
  using operation = std::shared_ptr<edit_operation>;
  using step = edit_operation::step;

  void advance(const operation& op);
  void call_read(const operation& op, const std::string& key);
  void call_transact(const operation& op, platform::transaction change);
  void on_read(const operation& op,
               const result<platform::read_outcome, platform::platform_failure>& response);
  void on_transacted(
      const operation& op,
      const result<platform::transaction_outcome, platform::platform_failure>& response);

  void handle_head(const operation& op, const std::vector<platform::key_value>& found,
                   deferred_calls& calls);
  void handle_version(const operation& op, const std::vector<platform::key_value>& found,
                      deferred_calls& calls);
  bool load_head(edit_operation& op, const std::vector<platform::key_value>& found);
  void continue_after_head(const operation& op, deferred_calls& calls);
  void continue_submit(const operation& op, deferred_calls& calls);
  void continue_find(const operation& op, deferred_calls& calls);
  platform::transaction version_write(const edit_operation& op) const;
  static platform::transaction head_change(const edit_operation& op, const config_head& next);
  static config_head head_with_edit(const edit_operation& op);
  static config_head head_with_rejection(const edit_operation& op);

  static void finish(edit_operation& op, edit_outcome outcome, deferred_calls& calls);
  static void finish(edit_operation& op, find_outcome outcome, deferred_calls& calls);
  static void finish(edit_operation& op, result<stored_version, read_failure> outcome,
                     deferred_calls& calls);
  static void time_out(edit_operation& op, deferred_calls& calls);

  const editor_settings settings_;
  platform::client& platform_;
  const clock& time_;
  const std::string incarnation_;
  std::mutex mutex_;
  std::list<operation> operations_;
  std::uint64_t last_edit_number_ = 0;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_EDIT_STATE_MACHINE_H_
