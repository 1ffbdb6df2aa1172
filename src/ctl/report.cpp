#include "hawthornnotch/ctl/report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <ostream>

#include "hawthornnotch/base/result.h"

namespace hawthornnotch::ctl {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds terminal_update_interval{200};
constexpr std::chrono::milliseconds line_update_interval{2'000};
constexpr int indent_width = 2;

void print_indented(const json::value& value, int indent, std::ostream& out) {
  const std::string inner(static_cast<std::size_t>(indent) + indent_width, ' ');
  const std::string outer(static_cast<std::size_t>(indent), ' ');
  const char* separator = "\n";
  if (value.is_object() && !value.as_object().empty()) {
    out << "{";
    for (const auto& [key, member] : value.as_object()) {
      out << separator << inner << json::serialize(json::string(key)) << ": ";
      print_indented(member, indent + indent_width, out);
      separator = ",\n";
    }
    out << "\n" << outer << "}";
  } else if (value.is_array() && !value.as_array().empty()) {
    out << "[";
    for (const json::value& element : value.as_array()) {
      out << separator << inner;
      print_indented(element, indent + indent_width, out);
      separator = ",\n";
    }
    out << "\n" << outer << "]";
  } else if (value.is_double()) {
    out << value.as_double();
  } else {
    out << json::serialize(value);
  }
}

json::value to_json(const table& source) {
  json::array rows;
  for (const auto& row : source.rows) {
    json::object object;
    for (std::size_t column = 0; column < source.columns.size(); ++column) {
      object[source.columns[column]] = row[column];
    }
    rows.push_back(std::move(object));
  }
  return rows;
}

void print_row(const std::vector<std::string>& row, const std::vector<std::size_t>& widths,
               std::ostream& out) {
  for (std::size_t column = 0; column < row.size(); ++column) {
    const bool last = column + 1 == row.size();
    out << std::left << std::setw(last ? 0 : static_cast<int>(widths[column]) + 2) << row[column];
  }
  out << "\n";
}

void print_table(const table& source, std::ostream& out) {
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < source.columns.size(); ++column) {
    std::size_t width = source.columns[column].size();
    for (const auto& row : source.rows) {
      width = std::max(width, row[column].size());
    }
    widths.push_back(width);
  }
  print_row(source.columns, widths, out);
  for (const auto& row : source.rows) {
    print_row(row, widths, out);
  }
}

void print_json(const json::value& value, std::ostream& out) {
  print_indented(value, 0, out);
  out << "\n";
}

}  // namespace

void print(const content& body, output_format format, std::ostream& out) {
  std::visit(overloaded{[&](const table& rows) {
                          if (format == output_format::json) {
                            print_json(to_json(rows), out);
                          } else {
                            print_table(rows, out);
                          }
                        },
                        [&](const json::value& document) { print_json(document, out); }},
             body);
}

void progress::show(std::string_view message) {
  const auto now = std::chrono::steady_clock::now();
  if (now < next_update_) {
    return;
  }
  next_update_ = now + (is_terminal_ ? terminal_update_interval : line_update_interval);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - started_).count();
  err_ << (is_terminal_ ? "\r\033[K" : "") << message << " (" << seconds << " s)"
       << (is_terminal_ ? "" : "\n") << std::flush;
  line_open_ = is_terminal_;
}

void progress::close() {
  if (line_open_) {
    err_ << "\n";
    line_open_ = false;
  }
}

}  // namespace hawthornnotch::ctl
