/// \file
/// The head key, which names the current version of each subject.
#ifndef HAWTHORNNOTCH_CONFIG_HEAD_H_
#define HAWTHORNNOTCH_CONFIG_HEAD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch {

/// A versioned object: a workspace or a template.
struct config_subject {
  enum class kind : std::uint8_t { workspace, traffic_template };

  kind what = kind::workspace;
  std::string name;
  auto operator<=>(const config_subject&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Reference to the current version of a subject.
struct config_pointer {
  std::uint64_t revision = 0;
  /// Key of the version in the store.
  std::string key;
  auto operator<=>(const config_pointer&) const = default;
};

/// Outcome of an edit, kept for clients that lost the response.
struct edit_record {
  std::string id;
  /// False: rejected by `config_editor::find`; the edit can no longer be accepted.
  bool accepted = false;
  std::uint64_t revision = 0;
};

/// Content of the head key.
struct config_head {
  std::map<config_subject, config_pointer> subjects;
  /// Number of edits accepted or rejected so far.
  std::uint64_t edit_count = 0;
  /// The newest `max_recent_edits` outcomes, oldest first.
  std::deque<edit_record> recent;

  static constexpr std::size_t max_recent_edits = 256;

  /// Appends an outcome and drops the oldest beyond `max_recent_edits`.
  void record_edit(edit_record edit);
  /// \returns the recorded outcome, or null if the edit is not among the recent ones.
  [[nodiscard]] const edit_record* find(std::string_view edit_id) const;
  /// \returns the reference to the current version; its revision is 0 for an unknown subject.
  [[nodiscard]] config_pointer pointer(const config_subject& subject) const;
};

inline constexpr std::string_view config_head_key = "hn/config/head";

std::string to_text(const config_head& head);
/// \returns nothing if the text is not a valid head.
std::optional<config_head> parse_head(std::string_view text);
/// \returns the store key of one version.
std::string version_key(const config_subject& subject, std::uint64_t revision,
                        std::string_view edit_id);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_HEAD_H_
