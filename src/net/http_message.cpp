#include "hawthornnotch/net/http_message.h"

#include <algorithm>
#include <cctype>

namespace hawthornnotch::net {

namespace {

bool same_name(std::string_view a, std::string_view b) {
  const auto same_letter = [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), same_letter);
}

std::optional<std::string_view> find(const header_list& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (same_name(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string_view> http_request::header(std::string_view name) const {
  return find(headers, name);
}

std::optional<std::string_view> http_response::header(std::string_view name) const {
  return find(headers, name);
}

std::string_view to_string(net_failure_kind kind) {
  switch (kind) {
    case net_failure_kind::resolve:
      return "resolve";
    case net_failure_kind::address_in_use:
      return "address_in_use";
    case net_failure_kind::connect:
      return "connect";
    case net_failure_kind::timed_out:
      return "timed_out";
    case net_failure_kind::unacknowledged:
      return "unacknowledged";
    case net_failure_kind::closed:
      return "closed";
    case net_failure_kind::too_large:
      return "too_large";
    case net_failure_kind::malformed:
      return "malformed";
    case net_failure_kind::cancelled:
      return "cancelled";
  }
  return "";
}

}  // namespace hawthornnotch::net
