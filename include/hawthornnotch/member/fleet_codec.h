/// \file
/// JSON encoding of VMs, used in operators' announcements and between processes.
#ifndef HAWTHORNNOTCH_MEMBER_FLEET_CODEC_H_
#define HAWTHORNNOTCH_MEMBER_FLEET_CODEC_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch {

/// Key prefix of all announcements, followed by the failure domain and the VM's id.
inline constexpr std::string_view announcement_prefix = "hn/fleet/";
/// \returns the key prefix of a failure domain's announcements, which its agents watch.
std::string announcement_prefix_of(std::string_view failure_domain);
/// \returns the key of a VM's announcement.
std::string announcement_key(std::string_view failure_domain, std::string_view id);

/// Format: `{"kind": "backend_server", "id", "incarnation", "failure_domain", "address":
/// "a.b.c.d:port", "serves": [...], "slots", "service": bool, "leaving": bool,
/// "checks_fencing": bool}`.
boost::json::object to_json(const backend_server& server);
/// Format: `{"kind": "entry_vm", "id", "incarnation", "failure_domain", "agent": "a.b.c.d:port",
/// "router": "a.b.c.d:port", "leaving": bool}`.
boost::json::object to_json(const entry_vm& vm);

/// \returns nothing if a field is missing or invalid, as for the other parsers here.
std::optional<backend_server> parse_backend_server(const boost::json::value& value);
std::optional<entry_vm> parse_entry_vm(const boost::json::value& value);

/// A VM of either kind, distinguished by `kind` in JSON.
using fleet_vm = std::variant<backend_server, entry_vm>;
std::optional<fleet_vm> parse_fleet_vm(const boost::json::value& value);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_MEMBER_FLEET_CODEC_H_
