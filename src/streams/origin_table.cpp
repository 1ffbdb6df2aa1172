#include "hawthornnotch/streams/origin_table.h"

namespace hawthornnotch::streams {

void origin_table::record(const stream_origin& origin, origin_source source, time_point now) {
  drop_expired(now);
  if (origin.age > max_stream_age) {
    return;
  }
  if (origins_.size() >= settings_.max_total) {
    dropped_at_ = now;
    return;
  }
  const known_origin known{origin.software_version, now - origin.age, source, false};
  if (!origins_.try_emplace(origin.key, known).second) {
    return;
  }
  std::deque<stream_key>& keys = order_[origin.key.workspace];
  keys.push_back(origin.key);
  if (keys.size() > settings_.max_per_workspace) {
    dropped_at_ = now;
    drop_oldest(keys);
  }
}

void origin_table::drop_oldest(std::deque<stream_key>& keys) {
  origins_.erase(keys.front());
  keys.pop_front();
}

void origin_table::drop_expired(time_point now) {
  for (auto each = order_.begin(); each != order_.end();) {
    std::deque<stream_key>& keys = each->second;
    while (!keys.empty() && now - origins_.at(keys.front()).began_at > max_stream_age) {
      drop_oldest(keys);
    }
    each = keys.empty() ? order_.erase(each) : std::next(each);
  }
}

std::optional<stream_origin> origin_table::find(const stream_key& key, time_point now) const {
  const auto found = origins_.find(key);
  if (found == origins_.end()) {
    return std::nullopt;
  }
  const duration age = now - found->second.began_at;
  if (age > max_stream_age) {
    return std::nullopt;
  }
  return stream_origin{key, found->second.software_version, age};
}

void origin_table::finish(const stream_key& key) {
  const auto found = origins_.find(key);
  if (found != origins_.end()) {
    found->second.finished = true;
  }
}

std::vector<stream_origin> origin_table::own_streams(std::string_view service,
                                                     time_point now) const {
  std::vector<stream_origin> out;
  for (const auto& [key, known] : origins_) {
    const duration age = now - known.began_at;
    const bool own = known.source == origin_source::own && !known.finished;
    if (own && key.service == service && age <= max_stream_age) {
      out.push_back({key, known.software_version, age});
    }
  }
  return out;
}

}  // namespace hawthornnotch::streams
