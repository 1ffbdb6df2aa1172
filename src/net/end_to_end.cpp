#include "hawthornnotch/net/end_to_end.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <string_view>
#include <vector>

namespace hawthornnotch::net {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length",
                                                                 "Proxy-Authenticate",
                                                                 "Proxy-Authorization"};

template <class Names>
bool contains_name(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view each) { return boost::beast::iequals(each, name); });
}

std::string_view trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(' ');
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

void add_options(std::string_view list, std::vector<std::string_view>& options) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    options.push_back(trimmed(list.substr(0, end)));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
}

}  // namespace

header_list end_to_end_headers(const header_list& headers) {
  std::vector<std::string_view> connection_options;
  for (const auto& [name, value] : headers) {
    if (boost::beast::iequals(name, "Connection")) {
      add_options(value, connection_options);
    }
  }
  header_list kept;
  kept.reserve(headers.size());
  for (const auto& header : headers) {
    if (!contains_name(hop_by_hop_headers, header.first) &&
        !contains_name(connection_options, header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace hawthornnotch::net
