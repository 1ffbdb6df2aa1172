/// \file
/// Which software versions of each service have served lately.
#ifndef HAWTHORNNOTCH_STREAMS_VERSION_HISTORY_H_
#define HAWTHORNNOTCH_STREAMS_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/servers/server_entry.h"

namespace hawthornnotch::streams {

/// Versions by service.
using version_sets = std::map<std::string, std::set<std::string>, std::less<>>;

/// \returns the versions of the listed servers by service.
[[nodiscard]] version_sets versions_of(std::span<const servers::server_entry> listed);

/// Remembers each version until `max_stream_age` after its last server was listed: until then
/// streams that it began may be resumed.
///
/// A process knows what was listed before its start only from records (`inherit`, `complete`).
///
/// The base version of a service is the one that served alone before versions were mixed: streams
/// that began before are of this version, whoever began them.
///
/// Example:
///     history.observe(entries, now);
///     if (history.is_mixed("forecast", now)) { ... }
/// Ownership: a value.  Thread safety: none.
class version_history {
 public:
  /// Takes the server list as it is now.
  /// \returns the services in which a second version appeared.
  std::vector<std::string> observe(std::span<const servers::server_entry> listed, time_point now);
  /// Adds versions that had served by another process's record, as if removed now.
  void inherit(const version_sets& recorded, time_point now);
  /// Records that all versions are known that have served before the process started.  Does nothing
  /// the second time.
  /// \param recorded the base versions of services by records; of those that have several, none is
  /// known.
  void complete(const version_sets& recorded, time_point now);
  [[nodiscard]] bool is_complete() const { return complete_; }
  /// \returns the version that serves alone, or did before versions were mixed; none if it is
  /// unknown, as after a gap in the observations in which another one may have served alone.
  [[nodiscard]] std::optional<std::string> base(std::string_view service) const;
  /// \returns the versions whose streams may still be resumed.
  [[nodiscard]] std::set<std::string> recent(std::string_view service, time_point now) const;
  [[nodiscard]] bool is_mixed(std::string_view service, time_point now) const {
    return recent(service, now).size() > 1;
  }
  /// \returns the recent versions of each service of which more than one is recent.
  [[nodiscard]] version_sets mixed_services(time_point now) const;

 private:
  struct seen_version {
    /// None while a server of the version is listed.
    std::optional<time_point> removed_at;
  };
  using seen_versions = std::map<std::string, seen_version, std::less<>>;
  [[nodiscard]] static std::set<std::string> recent_of(const seen_versions& versions,
                                                       time_point now);

  /// Takes the version of each service that has a single one for its base.
  void update_bases(time_point now);

  std::map<std::string, seen_versions, std::less<>> services_;
  std::map<std::string, std::string, std::less<>> bases_;
  bool complete_ = false;
  std::optional<time_point> observed_at_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_VERSION_HISTORY_H_
