/// \file
/// Which backend servers this entry VM reaches by itself.
#ifndef HAWTHORNNOTCH_PATHS_SERVER_PATHS_H_
#define HAWTHORNNOTCH_PATHS_SERVER_PATHS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::paths {

/// A server as the paths to it are tracked: one incarnation of a service's server.
struct server_key {
  std::string_view service;
  std::string_view server;
  /// Unix time in milliseconds.
  std::int64_t start_time_ms = 0;
};

/// What changed with a piece of evidence, for logs.
enum class path_change : std::uint8_t {
  none,
  /// The direct path to the server is broken.
  broken,
  /// It works again.
  mended,
};

/// Tracks the direct paths from this VM to the servers, by evidence of its own.
///
/// A path is broken from its first failure on until a connection opens or an answer arrives.  A
/// service is cut off once the paths to a few of its servers, or to all, have broken and none has
/// worked since; then no path to it is used, those that were not tried included, since their kept
/// connections may be dead.
///
/// Example:
///     paths.record_failure(server, now);
///     if (!paths.is_usable(server)) { forward(); }
///     for (const auto& id : paths.take_due_checks(service, listed, now)) { check(id); }
/// Ownership: a value.  Thread safety: none.
class server_paths {
 public:
  /// Records that a connection to the server could not be opened, or that it never acknowledged
  /// sent bytes.
  path_change record_failure(const server_key& server, time_point now);
  /// Records that the server answered or that a connection to it opened.
  path_change record_success(const server_key& server, time_point now);
  /// \returns whether requests may be sent to the server directly.
  [[nodiscard]] bool is_usable(const server_key& server) const;
  /// \returns whether no server of the service is reached directly.
  [[nodiscard]] bool is_cut_off(std::string_view service) const;
  /// \returns the services of which a path broke lately or is broken.
  [[nodiscard]] std::vector<std::string> tracked_services() const;
  /// \param listed the servers of the service in the server list, sorted by id.  Paths to others
  /// are forgotten.
  /// \returns the servers to which a connection is to be opened now; a few at a time, in turn.
  [[nodiscard]] std::vector<std::string> take_due_checks(std::string_view service,
                                                         std::span<const server_key> listed,
                                                         time_point now);
  [[nodiscard]] std::size_t broken_count() const;

 private:
  struct path {
    std::int64_t start_time_ms = 0;
    /// Since when it is broken; none if it works.
    std::optional<time_point> broken_since;
    std::optional<time_point> checked_at;
  };
  struct service_paths {
    std::map<std::string, path, std::less<>> by_server;
    std::optional<time_point> last_success;
    /// When a path last broke that worked before, and how many paths that are not broken may still
    /// be checked for it.
    std::optional<time_point> last_breakage;
    std::size_t suspicion_checks = 0;
    std::size_t listed_count = 0;
    /// The last server that `take_due_checks` returned.
    std::string last_checked;
  };

  path& path_of(service_paths& service, const server_key& server);
  [[nodiscard]] static std::size_t broken_without_success(const service_paths& service);
  static void drop_unlisted(service_paths& service, std::span<const server_key> listed);
  [[nodiscard]] static bool has_broken(const service_paths& service);
  [[nodiscard]] static bool is_suspected(const service_paths& service, time_point now);
  [[nodiscard]] static bool is_due(const service_paths& service, const path* known, time_point now);

  std::map<std::string, service_paths, std::less<>> services_;
};

}  // namespace hawthornnotch::paths

#endif  // HAWTHORNNOTCH_PATHS_SERVER_PATHS_H_
