/// \file
/// Looks up the route and the workspace of a request in one version of the configuration.
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

/// Lookup key of a route; views into the caller's request.
struct route_query {
  std::string_view host;
  /// Path without the query part.
  std::string_view path;
  /// Empty if the caller sent none.
  std::string_view api_key;
};

/// A request's route and workspace; the pointers are valid as long as the table.
struct matched {
  const route* found = nullptr;
  /// Null on anonymous routes and if the configuration requires no API keys.
  const workspace_access* workspace = nullptr;
};
/// No route matches the host and path.
struct no_such_route {};
/// The route requires an API key and no workspace holds the one sent.
struct unknown_api_key {};

using route_match = std::variant<matched, no_such_route, unknown_api_key>;

/// An immutable index over one `routing_config`.
///
/// Example:
///     auto table = route_table::create(std::move(config));
///     route_match match = table->find({"ice.example", "/bulletin/zg", key});
/// Ownership: owns the configuration.  Thread safety: immutable.
class route_table {
 public:
  [[nodiscard]] static std::shared_ptr<const route_table> create(routing_config config);

  /// Finds the host's route with the longest prefix that matches the path, then checks the API key
  /// unless the route is anonymous or the configuration requires none.
  /// \returns the match, or the reason for which there is none.
  [[nodiscard]] route_match find(const route_query& query) const;
  /// Splits requests over the route's services in proportion to their weights.
  /// \param draw uniform in [0, 1); the same draw selects the same service.
  [[nodiscard]] static const std::string& pick_service(const route& from, double draw);
  /// \returns the definition of a service, or null if the configuration has none of that name.
  [[nodiscard]] const service_definition* service(std::string_view name) const;
  /// Orders requests by workspace priority, then by route priority.
  /// \param workspace null for a request without one, which ranks with the most urgent workspaces.
  /// \returns the urgency level, 0 for the most urgent; levels are contiguous.
  [[nodiscard]] std::uint32_t urgency(const route& target, const workspace_access* workspace) const;
  /// Tells whether prefill of other prompts would make the route's streams miss their target gap
  /// while other streams of the same service tolerate much longer gaps.
  /// \returns whether the route's first service is a model engine of which the route has the
  /// shortest target gap, the longest is at least twice that, and the steps of one event take
  /// longer than it if each includes prefill.
  [[nodiscard]] bool is_gap_sensitive(const route& target) const;
  [[nodiscard]] const routing_config& config() const { return config_; }
  [[nodiscard]] std::int64_t version() const { return config_.version; }

 private:
  explicit route_table(routing_config config);

  routing_config config_;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string_view, const workspace_access*> by_key_;
  std::unordered_map<std::string_view, const service_definition*> by_service_;
  /// Priorities in use, ascending.
  std::set<std::uint32_t> workspace_priorities_;
  std::set<std::uint32_t> route_priorities_;
  /// Target gaps in ms of the streaming routes that set one, by service.
  std::map<std::string, std::set<std::int64_t>, std::less<>> target_gaps_ms_;
};

/// Holds the newest configuration; rejects older and equal versions.
///
/// Example: `if (holder.offer(table)) { log(...); }`
/// Ownership: shares the table.  Thread safety: none.
class config_holder {
 public:
  /// \returns whether the table was newer than the current one and replaced it; false for null.
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
