/// \file
/// Operators' changes to workspaces and templates.  See docs/design/0003-configuration.md.
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

/// The head moved: the version will be in force everywhere.
struct edit_accepted {
  std::uint64_t revision = 0;
  std::string edit_id;
};
/// Another edit of the same subject came first; this one is never in force.
struct edit_conflict {
  std::uint64_t current_revision = 0;
};
/// The parameters are refused; nothing was written.
struct edit_invalid {
  settings_failure reason;
};
/// The head may have moved.  `config_editor::find` with this id tells later.
struct edit_unknown {
  std::string edit_id;
};
/// The platform can't be reached, and the head was never asked to move.
struct edit_unreachable {};

using edit_outcome =
    std::variant<edit_accepted, edit_conflict, edit_invalid, edit_unknown, edit_unreachable>;

/// Not accepted, and it can't be any more.
struct edit_not_accepted {};
/// So many edits came later that this one can't be told any more.
struct edit_too_old {};
using find_outcome = std::variant<edit_accepted, edit_not_accepted, edit_too_old, edit_unreachable>;

/// What stands in the store for one subject.
struct stored_version {
  std::uint64_t revision = 0;
  boost::json::object body;
};
enum class read_failure : std::uint8_t { absent, unreachable, malformed };

struct editor_settings {
  /// An operation is answered within this time.
  duration timeout{10'000};
  /// Pause between two tries.
  duration retry_pause{200};
};

/// Writes versions and moves the head, by compare-and-swap only.
///
/// Example:
///     auto editor = config_editor::create({}, platform, time, make_incarnation());
///     editor->submit(parameters, revision_seen, [](edit_outcome how) { std::visit(..., how); });
/// Ownership: refers to client and clock, which outlive it; outstanding operations keep what they
/// need and end when the editor is destroyed, without an answer.  Thread safety: all members are
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

  /// \param base_revision the revision that the operator has seen; 0 for a new workspace.
  /// \param done runs once.
  void submit(workspace_parameters next, std::uint64_t base_revision, outcome_callback done);
  void submit(const traffic_template& next, std::uint64_t base_revision, outcome_callback done);
  /// Settles an edit whose answer was lost: one that the head doesn't hold is closed for good.
  void find(std::string edit_id, find_callback done);
  /// Reads the version in force.
  void read(config_subject subject, read_callback done);
  /// Runs timeouts and repeats; to be called about every 50 ms.
  void tick();

 private:
  class engine;
  explicit config_editor(std::shared_ptr<engine> held);
  std::shared_ptr<engine> engine_;
};

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_EDIT_H_
