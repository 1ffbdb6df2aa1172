#include <array>
#include <ctime>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::observe {

namespace {

constexpr std::int64_t ms_per_second = 1000;

// Formats wall-clock time as ISO 8601 in UTC with milliseconds.
std::string format_timestamp(time_point at) {
  constexpr std::size_t max_timestamp_length = 32;
  const std::time_t seconds = at.ms / ms_per_second;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, max_timestamp_length> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
  std::string out(text.data(), length);
  const std::string digits = std::to_string(ms_per_second + (at.ms % ms_per_second));
  out += digits.substr(1);
  out += 'Z';
  return out;
}

void append_field(std::string& out, log_format format, const field& item) {
  if (format == log_format::json) {
    out += out.empty() ? "" : ",";
    append_json_text(out, item.key);
    out += ':';
    append_json_value(out, item.value);
    return;
  }
  out += out.empty() ? "" : " ";
  out += item.key;
  out += '=';
  if (const auto* text = std::get_if<std::string_view>(&item.value)) {
    append_plain_text(out, *text);
  } else {
    append_json_value(out, item.value);
  }
}

}  // namespace

std::string_view to_string(level severity) {
  static constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
  return names.at(static_cast<std::size_t>(severity));
}

std::string format_line(log_format format, const line_origin& origin, level severity,
                        std::string_view event, std::initializer_list<field> fields) {
  std::string out;
  append_field(out, format, {"time", format_timestamp(origin.at)});
  append_field(out, format, {"level", to_string(severity)});
  append_field(out, format, {"program", origin.program});
  append_field(out, format, {"vm", origin.vm});
  append_field(out, format, {"event", event});
  for (const field& item : fields) {
    append_field(out, format, item);
  }
  return format == log_format::json ? "{" + out + "}" : out;
}

}  // namespace hawthornnotch::observe
