/// \file
/// The one key that says which version of each subject is in force.
#ifndef HAWTHORNNOTCH_CONFIG_HEAD_H_
#define HAWTHORNNOTCH_CONFIG_HEAD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornnotch {

/// A workspace or a template: what is versioned.
struct config_subject {
  enum class kind : std::uint8_t { workspace, traffic_template };

  kind what = kind::workspace;
  std::string name;
  auto operator<=>(const config_subject&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// The version of a subject that is in force.
struct config_pointer {
  std::uint64_t revision = 0;
  /// The platform's key of the version.
  std::string key;
  auto operator<=>(const config_pointer&) const = default;
};

/// How an edit ended, kept for a while for those whose answer was lost.
struct decided_edit {
  std::string id;
  /// False: closed by a search for it; it can't be accepted any more.
  bool accepted = false;
  std::uint64_t revision = 0;
};

/// Content of the head key.
struct config_head {
  std::map<config_subject, config_pointer> subjects;
  /// Number of edits ever decided.
  std::uint64_t edit_count = 0;
  /// The newest `decided_edits_kept` of them, oldest first.
  std::deque<decided_edit> recent;

  static constexpr std::size_t decided_edits_kept = 256;

  /// Adds a decided edit and forgets the oldest beyond the bound.
  void decide(decided_edit edit);
  [[nodiscard]] const decided_edit* find(std::string_view edit_id) const;
  /// \returns the pointer, or one with revision 0.
  [[nodiscard]] config_pointer pointer(const config_subject& subject) const;
};

inline constexpr std::string_view config_head_key = "hn/config/head";

std::string to_text(const config_head& head);
/// \returns nothing for text that is not a head.
std::optional<config_head> parse_head(std::string_view text);
/// \returns the platform's key of one version.
std::string version_key(const config_subject& subject, std::uint64_t revision,
                        std::string_view edit_id);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_CONFIG_HEAD_H_
