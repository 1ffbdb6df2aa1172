/// \file
/// Edits of workspaces and templates by operators.  See docs/design/0003-configuration.md.
#ifndef HAWTHORNNOTCH_CONFIG_EDIT_H_
#define HAWTHORNNOTCH_CONFIG_EDIT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/config/codec.h"
#include "hawthornnotch/config/head.h"
#include "hawthornnotch/config/model.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch {

/// The head names the new version, which takes effect on every VM.
struct edit_accepted {
  std::uint64_t revision = 0;
  std::string edit_id;
};
/// Another edit of the same subject was accepted first; this one never takes effect.
struct edit_conflict {
  std::uint64_t current_revision = 0;
};
/// Validation failed; nothing was written.
struct edit_invalid {
  settings_failure reason;
};
/// The head may have been updated: a response was lost.  Call `config_editor::find` with this id to
/// learn the outcome.
struct edit_unknown {
  std::string edit_id;
};
/// The platform did not respond in time.  A submitted edit did not take effect; a call of `find`
/// can be repeated.
struct edit_unreachable {};

using edit_outcome =
    std::variant<edit_accepted, edit_conflict, edit_invalid, edit_unknown, edit_unreachable>;

/// The edit was not accepted and can no longer be.
struct edit_not_accepted {};
/// More than `config_head::max_recent_edits` edits were decided since, so the outcome is not
/// recorded any more.
struct edit_too_old {};
using find_outcome = std::variant<edit_accepted, edit_not_accepted, edit_too_old, edit_unreachable>;

/// The current version of one subject, as stored.
struct stored_version {
  std::uint64_t revision = 0;
  boost::json::object body;
};
enum class read_failure : std::uint8_t { absent, unreachable, malformed };

struct editor_settings {
  /// Deadline of each operation, counted from its start.
  duration timeout{10'000};
  /// Delay between attempts after a failed platform call.
  duration retry_pause{200};
};

/// Edits the configuration in the store with optimistic concurrency control.
///
/// An edit writes its version under a new key, then updates the head by compare-and-swap.  Failed
/// platform calls are retried until the deadline.  An edit whose base revision is not the current
/// one ends as `edit_conflict`; one whose head update may have been applied without a response ends
/// as `edit_unknown`.
///
/// Example:
///     auto editor = config_editor::create({}, platform, time, make_incarnation());
///     editor->submit(parameters, revision, [](edit_outcome seen) { std::visit(..., seen); });
/// Ownership: refers to client and clock, which outlive it; destroying the editor abandons
/// outstanding operations, whose callbacks then do not run.  Thread safety: all members are
/// thread safe; callbacks run without a lock held.
class config_editor {
 public:
  using outcome_callback = std::function<void(edit_outcome)>;
  using find_callback = std::function<void(find_outcome)>;
  using read_callback = std::function<void(result<stored_version, read_failure>)>;

  /// \param incarnation makes edit ids unique among all editors.
  static std::unique_ptr<config_editor> create(editor_settings settings, platform::client& platform,
                                               const clock& time, std::string incarnation);
  ~config_editor();
  config_editor(const config_editor&) = delete;
  config_editor& operator=(const config_editor&) = delete;

  /// Validates and stores a new version.
  /// \param base_revision the revision that the edit is based on; 0 for a new subject.
  /// \param done runs once, also before the call returns if validation fails.
  void submit(workspace_parameters next, std::uint64_t base_revision, outcome_callback done);
  void submit(const traffic_template& next, std::uint64_t base_revision, outcome_callback done);
  /// Determines the outcome of an edit whose response was lost.  An edit that the head does not
  /// record is recorded as rejected, so that it cannot be accepted later.
  void find(std::string edit_id, find_callback done);
  /// Reads the current version.
  void read(config_subject subject, read_callback done);
  /// Runs timeouts and retries; call it about every 50 ms.
  void tick();

 private:
  class state_machine;
  explicit config_editor(std::shared_ptr<state_machine> implementation);
  std::shared_ptr<state_machine> state_machine_;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_EDIT_H_
