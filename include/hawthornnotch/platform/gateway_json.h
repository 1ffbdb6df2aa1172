/// \file
/// Calls and answers of the platform as JSON texts; no I/O.
#ifndef HAWTHORNNOTCH_PLATFORM_GATEWAY_JSON_H_
#define HAWTHORNNOTCH_PLATFORM_GATEWAY_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"
#include "hawthornnotch/platform/vm_list.h"

namespace hawthornnotch::platform {

/// Bodies of calls.
std::string transaction_body(const transaction& what);
/// \param end empty for the one key.
std::string range_body(std::string_view key, std::string_view end);
std::string grant_body(duration time_to_live);
std::string lease_body(std::int64_t lease);
std::string watch_body(std::string_view prefix, std::int64_t start_revision);

/// Answers; nothing where the text is not one of the protocol.
std::optional<transaction_outcome> parse_transaction(std::string_view text);
std::optional<read_outcome> parse_range(std::string_view text);
/// \returns the lease's id.
std::optional<std::int64_t> parse_grant(std::string_view text);

/// A lease as a keep-alive found it.
struct lease_state {
  std::int64_t id = 0;
  bool alive = false;
};
std::optional<lease_state> parse_keep_alive(std::string_view text);

/// One message of a watch.
struct watch_note {
  std::vector<watch_event> events;
  /// The service has ended the watch, e.g. because its history no longer reaches back far enough.
  bool ended = false;
};
std::optional<watch_note> parse_watch_note(std::string_view line);

/// \returns the listed VMs; an unknown role or state is not of the protocol.
std::optional<std::vector<listed_vm>> parse_vm_list(std::string_view text,
                                                    std::string_view failure_domain = {});

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_GATEWAY_JSON_H_
