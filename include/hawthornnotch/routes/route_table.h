/// \file
/// Finds the route and the workspace of a request in one version of the configuration.
#ifndef HAWTHORNNOTCH_ROUTES_ROUTE_TABLE_H_
#define HAWTHORNNOTCH_ROUTES_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "hawthornnotch/routes/routing_config.h"

namespace hawthornnotch::routes {

/// What selects a route.  Views into the caller's request.
struct route_query {
  std::string_view host;
  /// Path without the query part.
  std::string_view path;
  /// Empty where the caller sent none.
  std::string_view api_key;
};

/// The route of a request; the pointers live as long as the table.
struct matched {
  const route* found = nullptr;
  /// Null on anonymous routes and where the configuration has no workspaces.
  const workspace_access* workspace = nullptr;
};
struct no_such_route {};
struct unknown_api_key {};

using route_match = std::variant<matched, no_such_route, unknown_api_key>;

/// An index over one `routing_config`.
///
/// Example:
///     auto table = route_table::create(std::move(config));
///     route_match match = table->find({"ice.example", "/bulletin/zg", key});
/// Ownership: owns the configuration.  Thread safety: immutable.
class route_table {
 public:
  [[nodiscard]] static std::shared_ptr<const route_table> create(routing_config config);

  /// The longest prefix of the host's routes that begins the path wins.
  [[nodiscard]] route_match find(const route_query& query) const;
  /// \returns the service that serves a request, drawn by weight.
  /// \param draw uniform in [0, 1); the same draw gives the same service.
  [[nodiscard]] static const std::string& pick_service(const route& from, double draw);
  [[nodiscard]] const service_definition* service(std::string_view name) const;
  /// Orders requests by the priority of their workspace, and by that of their route within one
  /// priority of workspaces.
  /// \param workspace null for a request without one, which ranks with the most urgent.
  /// \returns 0 for the most urgent; all levels up to the highest one are in use.
  [[nodiscard]] std::uint32_t urgency(const route& of, const workspace_access* workspace) const;
  /// Streams with the shortest pauses of their service, where others bear much longer ones: prompts
  /// that are read beside them make them late.
  /// \returns whether the route's streams are such.
  [[nodiscard]] bool is_gap_sensitive(const route& which) const;
  [[nodiscard]] const routing_config& config() const { return config_; }
  [[nodiscard]] std::int64_t version() const { return config_.version; }

 private:
  explicit route_table(routing_config config);

  routing_config config_;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string_view, const workspace_access*> by_key_;
  std::unordered_map<std::string_view, const service_definition*> by_service_;
  /// The priorities that occur, in order.
  std::set<std::uint32_t> workspace_priorities_;
  std::set<std::uint32_t> route_priorities_;
  /// Pauses that callers of a service's streams expect, in ms, of the routes that state one.
  std::map<std::string, std::set<std::int64_t>, std::less<>> target_gaps_ms_;
};

/// Keeps the newest version: an older one is never taken again.
///
/// Example: `if (held.offer(table)) { log(...); }`
/// Ownership: shares the table.  Thread safety: none.
class config_holder {
 public:
  /// \returns whether the table is newer than the one held and was taken.
  bool offer(std::shared_ptr<const route_table> newer);
  /// \returns null before the first configuration.
  [[nodiscard]] const std::shared_ptr<const route_table>& current() const { return current_; }
  /// \returns 0 before the first configuration.
  [[nodiscard]] std::int64_t version() const { return current_ ? current_->version() : 0; }

 private:
  std::shared_ptr<const route_table> current_;
};

}  // namespace hawthornnotch::routes

#endif  // HAWTHORNNOTCH_ROUTES_ROUTE_TABLE_H_
