/// \file
/// JSON form of VMs, as operators announce them and as processes pass them on.
#ifndef HAWTHORNNOTCH_MEMBER_FLEET_CODEC_H_
#define HAWTHORNNOTCH_MEMBER_FLEET_CODEC_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <variant>

#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch {

/// Announcements stand under this prefix, followed by the VM's id.
inline constexpr std::string_view announcement_prefix = "hn/fleet/";

/// \returns `address:port`.
std::string to_string(const endpoint& at);

/// Form: `{"kind": "backend_server", "id", "incarnation", "failure_domain", "address":
/// "a.b.c.d:port", "serves": [...], "slots", "service": bool, "leaving": bool,
/// "checks_fencing": bool}`.
boost::json::object to_json(const backend_server& server);
/// Form: `{"kind": "entry_vm", "id", "incarnation", "failure_domain", "agent": "a.b.c.d:port",
/// "router": "a.b.c.d:port", "leaving": bool}`.
boost::json::object to_json(const entry_vm& vm);

std::optional<backend_server> parse_backend_server(const boost::json::value& value);
std::optional<entry_vm> parse_entry_vm(const boost::json::value& value);

/// A VM of either kind, told apart by `kind`.
using fleet_vm = std::variant<backend_server, entry_vm>;
std::optional<fleet_vm> parse_fleet_vm(const boost::json::value& value);

}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_MEMBER_FLEET_CODEC_H_
