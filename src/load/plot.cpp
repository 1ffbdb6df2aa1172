#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

#include "hawthornnotch/load/results.h"

namespace hawthornnotch::load {

namespace {

// All lengths in pixels.
constexpr double width = 900;
constexpr double height = 480;
constexpr double left = 60;
constexpr double right = 640;
constexpr double top = 30;
constexpr double bottom = 420;
constexpr double legend_line = 16;

constexpr std::array<std::string_view, 8> colours = {"#0b6e4f", "#c1292e", "#235789", "#f1a208",
                                                     "#6a4c93", "#3d3d3d", "#8d6e63", "#00838f"};
constexpr std::array<std::string_view, 4> dashes = {"none", "6 4", "2 3", "10 3 2 3"};

// Lines by label and class; runs at one load are averaged.
using line_key = std::pair<std::string, std::string>;
using line_points = std::map<double, std::pair<double, double>>;

std::string number(double value) {
  constexpr std::size_t longest = 32;
  std::array<char, longest> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.1f", value);
  return {text.data(), static_cast<std::size_t>(length)};
}

std::string escaped(std::string_view text) {
  std::string out;
  for (const char character : text) {
    if (character == '<') {
      out += "&lt;";
    } else if (character == '&') {
      out += "&amp;";
    } else {
      out += character;
    }
  }
  return out;
}

std::string text_at(double x, double y, std::string_view text) {
  return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\">" + escaped(text) + "</text>\n";
}

std::string segment(double x1, double y1, double x2, double y2, std::string_view style) {
  return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) +
         "\" y2=\"" + number(y2) + "\" " + std::string(style) + "/>\n";
}

double y_of(double attainment) { return bottom - attainment * (bottom - top); }

double x_of(double load, double most) { return left + (right - left) * load / most; }

std::string axes(double most_load) {
  constexpr int steps = 5;
  constexpr double percent = 100;
  std::string out;
  for (int step = 0; step <= steps; ++step) {
    const double share = static_cast<double>(step) / steps;
    out += segment(left, y_of(share), right, y_of(share), "stroke=\"#dddddd\"");
    out += text_at(left - 45, y_of(share) + 4, number(percent * share));
    out += text_at(x_of(share * most_load, most_load) - 10, bottom + 18, number(share * most_load));
  }
  out += segment(left, bottom, right, bottom, "stroke=\"black\"");
  out += segment(left, top, left, bottom, "stroke=\"black\"");
  out += text_at(left, top - 12, "requests in target, %");
  out += text_at(left, bottom + 40, "offered load in the burst, multiples of capacity");
  return out;
}

std::string polyline(const line_points& points, double most_load, std::string_view style) {
  std::string out =
      "<polyline fill=\"none\" stroke-width=\"2\" " + std::string(style) + " points=\"";
  for (const auto& [load, sums] : points) {
    out += number(x_of(load, most_load)) + "," + number(y_of(sums.first / sums.second)) + " ";
  }
  return out + "\"/>\n";
}

template <class Value>
std::size_t index_in(const std::set<Value>& values, const Value& value) {
  return static_cast<std::size_t>(std::distance(values.begin(), values.find(value)));
}

}  // namespace

std::string plot(const std::vector<run_result>& results) {
  std::map<line_key, line_points> lines;
  std::set<std::string> labels;
  std::set<std::string> class_names;
  double most_load = 1;
  for (const run_result& run : results) {
    const double offered = run.burst_load > 0 ? run.burst_load : run.base_rate;
    most_load = std::max(most_load, offered);
    labels.insert(run.label);
    for (const class_row& row : run.classes) {
      class_names.insert(row.class_name);
      auto& sums = lines[{run.label, row.class_name}][offered];
      sums.first += row.attainment();
      sums.second += 1;
    }
  }
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(width) +
                    "\" height=\"" + number(height) +
                    "\" font-family=\"sans-serif\" font-size=\"12\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  out += axes(most_load);
  double legend_y = top;
  for (const auto& [key, points] : lines) {
    const auto colour = colours.at(index_in(class_names, key.second) % colours.size());
    const auto dash = dashes.at(index_in(labels, key.first) % dashes.size());
    const std::string style =
        "stroke=\"" + std::string(colour) + "\" stroke-dasharray=\"" + std::string(dash) + "\"";
    out += polyline(points, most_load, style);
    out += segment(right + 15, legend_y, right + 45, legend_y, "stroke-width=\"2\" " + style);
    out += text_at(right + 50, legend_y + 4, key.first + ": " + key.second);
    legend_y += legend_line;
  }
  return out + "</svg>\n";
}

}  // namespace hawthornnotch::load
