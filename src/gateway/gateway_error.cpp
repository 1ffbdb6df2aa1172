#include "gateway_error.h"

#include <array>
#include <string>

namespace hawthornnotch::gateway::internal {

namespace {

struct error_spec {
  std::string_view name;
  unsigned status;
};

constexpr std::array<error_spec, 12> error_specs = {{
    {"no_configuration", 503},
    {"no_route", 404},
    {"unknown_api_key", 401},
    {"no_server", 503},
    {"servers_refused", 503},
    {"overloaded", 503},
    {"version_unavailable", 503},
    {"quarantined", 503},
    {"time_over_unsent", 503},
    {"stopping", 503},
    {"server_failed", 502},
    {"time_over", 504},
}};

std::string seconds_text(duration span) {
  constexpr std::int64_t ms_per_second = 1000;
  const std::string digits = std::to_string(ms_per_second + span.ms % ms_per_second);
  return std::to_string(span.ms / ms_per_second) + "." + digits.substr(1);
}

}  // namespace

std::string_view to_string(gateway_error error) {
  return error_specs.at(static_cast<std::size_t>(error)).name;
}

unsigned status_of(gateway_error error) {
  return error_specs.at(static_cast<std::size_t>(error)).status;
}

net::http_response to_response(gateway_error error, std::optional<duration> retry_after) {
  net::http_response response;
  response.status = status_of(error);
  response.headers.emplace_back("Content-Type", "application/json");
  if (retry_after) {
    response.headers.emplace_back("Retry-After", seconds_text(*retry_after));
  }
  response.body = R"({"error":")" + std::string(to_string(error)) + R"("})";
  return response;
}

}  // namespace hawthornnotch::gateway::internal
