#include "hawthornnotch/observe/decision_ring.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::observe {

namespace {

constexpr std::size_t shard_count = 16;
constexpr std::size_t max_text_length = 200;
constexpr std::size_t max_fields = 12;

struct recorded_step {
  std::string request_id;
  // The step as a JSON object.
  std::string json;
};

struct shard {
  mutable std::mutex mutex;
  std::vector<recorded_step> steps;
  // Index of the oldest step, which is overwritten next once the shard is full.
  std::size_t next = 0;
};

field_value truncated(const field_value& value) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    return text->substr(0, max_text_length);
  }
  return value;
}

std::string step_json(time_point at, std::string_view step, std::initializer_list<field> fields) {
  std::string out = "{\"at_ms\":" + std::to_string(at.ms) + ",\"step\":";
  append_json_text(out, step.substr(0, max_text_length));
  std::size_t written = 0;
  for (const field& item : fields) {
    if (++written > max_fields) {
      break;
    }
    out += ',';
    append_json_text(out, item.key);
    out += ':';
    append_json_value(out, truncated(item.value));
  }
  out += '}';
  return out;
}

class sharded_ring final : public decision_ring {
 public:
  explicit sharded_ring(std::size_t capacity)
      : shard_capacity_(std::max<std::size_t>(1, capacity / shard_count)) {}

  void add(std::string_view request_id, time_point at, std::string_view step,
           std::initializer_list<field> fields) override {
    recorded_step next{std::string(request_id.substr(0, max_text_length)),
                       step_json(at, step, fields)};
    shard& home = shards_.at(index_of(request_id));
    const std::lock_guard lock(home.mutex);
    if (home.steps.size() < shard_capacity_) {
      home.steps.push_back(std::move(next));
      return;
    }
    home.steps.at(home.next) = std::move(next);
    home.next = (home.next + 1) % shard_capacity_;
  }

  [[nodiscard]] std::string explain_json(std::string_view request_id) const override {
    std::string out = "{\"request_id\":";
    append_json_text(out, request_id);
    out += ",\"steps\":[";
    bool first = true;
    const shard& home = shards_.at(index_of(request_id));
    const std::lock_guard lock(home.mutex);
    for (std::size_t offset = 0; offset < home.steps.size(); ++offset) {
      const recorded_step& step = home.steps.at((home.next + offset) % home.steps.size());
      if (step.request_id == request_id.substr(0, max_text_length)) {
        out += first ? "" : ",";
        out += step.json;
        first = false;
      }
    }
    out += "]}";
    return out;
  }

 private:
  static std::size_t index_of(std::string_view request_id) {
    return stable_hash(request_id.substr(0, max_text_length)) % shard_count;
  }

  std::size_t shard_capacity_;
  std::array<shard, shard_count> shards_;
};

}  // namespace

std::unique_ptr<decision_ring> decision_ring::create(std::size_t capacity) {
  return std::make_unique<sharded_ring>(capacity);
}

}  // namespace hawthornnotch::observe
