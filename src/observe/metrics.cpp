#include "hawthornnotch/observe/metrics.h"

#include <array>
#include <atomic>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>
#include <variant>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/base/result.h"
#include "latency_histogram.h"
#include "summary.h"

namespace hawthornnotch::observe {

namespace {

constexpr std::size_t shard_count = 16;
constexpr std::size_t max_label_value_length = 128;

struct counter {
  std::uint64_t total = 0;
};
struct gauge_value {
  double value = 0;
};
using series = std::variant<counter, gauge_value, summary, latency_histogram>;
// Series of one metric name, keyed by their formatted labels.
using family = std::map<std::string, series, std::less<>>;

struct shard {
  mutable std::mutex mutex;
  std::map<std::string, family, std::less<>> families;
};

void append_label_value(std::string& out, std::string_view value) {
  for (const char character : value.substr(0, max_label_value_length)) {
    if (character == '\\' || character == '"') {
      out += '\\';
      out += character;
    } else if (character == '\n') {
      out += "\\n";
    } else {
      out += character;
    }
  }
}

void write_labels(std::string& out, label_list labels) {
  out.clear();
  for (const auto& [name, value] : labels) {
    out += out.empty() ? "" : ",";
    out += name;
    out += "=\"";
    append_label_value(out, value);
    out += '"';
  }
}

std::string number(double value) {
  constexpr std::size_t max_number_length = 32;
  std::array<char, max_number_length> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), end.ptr};
}

void append_sample(std::string& out, std::string_view name, std::string_view labels,
                   std::string_view value) {
  out += name;
  if (!labels.empty()) {
    out += '{';
    out += labels;
    out += '}';
  }
  out += ' ';
  out += value;
  out += '\n';
}

std::string_view type_name(const series& held_series) {
  return std::visit(overloaded{[](const counter&) { return "counter"; },
                               [](const gauge_value&) { return "gauge"; },
                               [](const summary&) { return "summary"; },
                               [](const latency_histogram&) { return "histogram"; }},
                    held_series);
}

void append_summary(std::string& out, std::string_view name, const std::string& labels,
                    const summary& values) {
  const std::string separator = labels.empty() ? "" : ",";
  for (std::size_t index = 0; index < summary_probabilities.size(); ++index) {
    const std::string quantile = "quantile=\"" + number(summary_probabilities.at(index)) + "\"";
    append_sample(out, name, labels + separator + quantile, number(values.quantile(index)));
  }
  append_sample(out, std::string(name) + "_sum", labels, number(values.sum()));
  append_sample(out, std::string(name) + "_count", labels, std::to_string(values.count()));
}

void append_histogram(std::string& out, std::string_view name, const std::string& labels,
                      const latency_histogram& times) {
  const std::string separator = labels.empty() ? "" : ",";
  const std::string bucket_name = std::string(name) + "_bucket";
  times.for_each_bucket([&](double upper_ms, std::uint64_t count) {
    const std::string bound = std::isinf(upper_ms) ? "+Inf" : number(upper_ms);
    append_sample(out, bucket_name, labels + separator + "le=\"" + bound + "\"",
                  std::to_string(count));
  });
  append_sample(out, std::string(name) + "_sum", labels, number(times.sum()));
  append_sample(out, std::string(name) + "_count", labels, std::to_string(times.count()));
}

void append_series(std::string& out, std::string_view name, const std::string& labels,
                   const series& held_series) {
  const overloaded append{
      [&](const counter& stored) {
        append_sample(out, name, labels, std::to_string(stored.total));
      },
      [&](const gauge_value& stored) { append_sample(out, name, labels, number(stored.value)); },
      [&](const summary& stored) { append_summary(out, name, labels, stored); },
      [&](const latency_histogram& stored) { append_histogram(out, name, labels, stored); }};
  std::visit(append, held_series);
}

class sharded_metrics final : public metrics {
 public:
  explicit sharded_metrics(std::size_t max_series) : max_series_(max_series) {}

  void count(std::string_view name, label_list labels, std::uint64_t n) override {
    change<counter>(name, labels, [n](counter& stored) { stored.total += n; });
  }
  void gauge(std::string_view name, label_list labels, double value) override {
    change<gauge_value>(name, labels, [value](gauge_value& stored) { stored.value = value; });
  }
  void observe(std::string_view name, label_list labels, double value) override {
    change<summary>(name, labels, [value](summary& stored) { stored.add(value); });
  }
  void time(std::string_view name, label_list labels, double ms) override {
    change<latency_histogram>(name, labels, [ms](latency_histogram& stored) { stored.add(ms); });
  }

  [[nodiscard]] std::string exposition() const override {
    std::string out;
    for (const shard& each : shards_) {
      const std::lock_guard lock(each.mutex);
      for (const auto& [name, all] : each.families) {
        out += "# TYPE " + name + " " + std::string(type_name(all.begin()->second)) + "\n";
        for (const auto& [labels, held_series] : all) {
          append_series(out, name, labels, held_series);
        }
      }
    }
    out += "# TYPE hawthornnotch_series_rejected_total counter\n";
    append_sample(out, "hawthornnotch_series_rejected_total", "", std::to_string(rejected_.load()));
    return out;
  }

 private:
  template <class Kind, class Change>
  void change(std::string_view name, label_list labels, Change apply) {
    thread_local std::string label_text;
    write_labels(label_text, labels);
    shard& home = shards_.at(stable_hash(name) % shard_count);
    const std::lock_guard lock(home.mutex);
    Kind* stored = find_or_make<Kind>(home, name, label_text);
    if (stored == nullptr) {
      ++rejected_;
      return;
    }
    apply(*stored);
  }

  // Returns null if the name is of another type or the maximum number of series is reached.
  template <class Kind>
  Kind* find_or_make(shard& home, std::string_view name, const std::string& labels) {
    const auto all = home.families.find(name);
    const bool name_known = all != home.families.end();
    if (name_known) {
      if (!std::holds_alternative<Kind>(all->second.begin()->second)) {
        return nullptr;
      }
      const auto found = all->second.find(labels);
      if (found != all->second.end()) {
        return std::get_if<Kind>(&found->second);
      }
    }
    if (series_.fetch_add(1) >= max_series_) {
      --series_;
      return nullptr;
    }
    family& target = name_known ? all->second : home.families[std::string(name)];
    return std::get_if<Kind>(&target.emplace(labels, Kind{}).first->second);
  }

  std::size_t max_series_;
  std::atomic<std::size_t> series_{0};
  std::atomic<std::uint64_t> rejected_{0};
  std::array<shard, shard_count> shards_;
};

}  // namespace

std::unique_ptr<metrics> metrics::create(std::size_t max_series) {
  return std::make_unique<sharded_metrics>(max_series);
}

}  // namespace hawthornnotch::observe
