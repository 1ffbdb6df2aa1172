#include "hawthornnotch/replication/replicated_table.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace hawthornnotch::replication {

namespace {

constexpr topic_limits usage_limits{{40'000}, 12, true};
constexpr topic_limits demand_limits{{5'000}, 8, false};
constexpr topic_limits duty_limits{{60'000}, 4, true};
constexpr topic_limits load_limits{{1'000}, 256, false};
/// Forwards beyond the logarithm of the fleet's size; without them about one VM in ten would miss
/// an update, as each forward may go to a VM that knows it already.
constexpr std::size_t extra_forwards = 3;
/// Expired records are not returned in any case; a sweep visits all records, which takes small VMs
/// time.
constexpr duration sweep_period{1'000};
/// A record of this age has reached the fleet or expires; a longer age is that of a faulty clock.
constexpr duration max_age{3'600'000};

bool is_short(std::string_view text) { return text.size() <= max_name_bytes; }

bool is_expired(const record& what, duration age) {
  return age >= limits_of(what.key.about).horizon;
}

}  // namespace

topic_limits limits_of(topic about) {
  switch (about) {
    case topic::usage:
      return usage_limits;
    case topic::demand:
      return demand_limits;
    case topic::duty:
      return duty_limits;
    case topic::load:
      return load_limits;
  }
  return {};
}

bool replicated_table::fits(const record& what) const {
  const bool short_names = is_short(what.key.vm) && is_short(what.key.incarnation) &&
                           is_short(what.key.subject) &&
                           std::all_of(what.values.begin(), what.values.end(),
                                       [](const auto& each) { return is_short(each.first); });
  const bool known = entries_.contains(what.key);
  return short_names && what.values.size() <= max_values_per_record &&
         (known || records_of_process(what.key) < limits_of(what.key.about).records_per_process);
}

std::size_t replicated_table::records_of_process(const record_key& like) const {
  record_key first = like;
  first.subject.clear();
  std::size_t count = 0;
  for (auto each = entries_.lower_bound(first); each != entries_.end(); ++each) {
    const record_key& key = each->first;
    if (key.vm != like.vm || key.incarnation != like.incarnation || key.about != like.about) {
      break;
    }
    ++count;
  }
  return count;
}

std::size_t replicated_table::initial_forwards() const {
  return std::bit_width(fleet_size_) + extra_forwards;
}

void replicated_table::put(record what, time_point written_at) {
  entry& known = entries_[what.key];
  if (known.forwards_left > 0) {
    pending_.erase(pending_of(known));
  }
  known = {std::move(what), written_at, initial_forwards()};
  pending_.insert(pending_of(known));
}

void replicated_table::count_forward(entry& known) {
  if (known.forwards_left == 0) {
    return;
  }
  --known.forwards_left;
  if (known.forwards_left == 0) {
    pending_.erase(pending_of(known));
  }
}

replicated_table::entry_map::iterator replicated_table::erase(entry_map::iterator which) {
  pending_.erase(pending_of(which->second));
  return entries_.erase(which);
}

bool replicated_table::write(topic about, std::string_view subject,
                             std::map<std::string, std::int64_t> values, time_point now) {
  drop_expired(now);
  record what;
  what.key = {vm_, incarnation_, about, std::string(subject)};
  what.version = last_version_ + 1;
  what.values = std::move(values);
  if (!fits(what)) {
    ++dropped_;
    return false;
  }
  ++last_version_;
  put(std::move(what), now);
  return true;
}

bool replicated_table::merge(const record& received, time_point now) {
  const bool own = received.key.vm == vm_ && received.key.incarnation == incarnation_;
  const bool plausible = received.age >= duration{0} && received.age < max_age;
  if (own || !plausible || is_expired(received, received.age)) {
    return false;
  }
  const auto known = entries_.find(received.key);
  if (known != entries_.end() && received.version <= known->second.what.version) {
    if (received.version == known->second.what.version) {
      // The sender knows it too.
      count_forward(known->second);
    }
    return false;
  }
  if (!fits(received)) {
    ++dropped_;
    return false;
  }
  put(received, now - received.age);
  return true;
}

std::vector<record> replicated_table::records_to_send(std::size_t limit, time_point now) {
  std::vector<record> out;
  std::vector<entry*> sent;
  for (const pending& each : pending_) {
    if (out.size() == limit) {
      break;
    }
    entry& known = entries_.at(each.key);
    const duration age = now - known.written_at;
    if (is_expired(known.what, age)) {
      continue;
    }
    out.push_back(known.what);
    out.back().age = age;
    sent.push_back(&known);
  }
  for (entry* each : sent) {
    count_forward(*each);
  }
  return out;
}

std::vector<record> replicated_table::records_to_hand_back(std::size_t limit,
                                                           time_point now) const {
  std::vector<record> out;
  for (const auto& [key, known] : entries_) {
    const duration age = now - known.written_at;
    if (out.size() == limit) {
      break;
    }
    if (limits_of(key.about).handed_back && !is_expired(known.what, age)) {
      out.push_back(known.what);
      out.back().age = age;
    }
  }
  return out;
}

std::vector<const record*> replicated_table::of(topic about, time_point now) {
  std::vector<const record*> out;
  for (auto& [key, known] : entries_) {
    known.what.age = now - known.written_at;
    if (key.about == about && !is_expired(known.what, known.what.age)) {
      out.push_back(&known.what);
    }
  }
  return out;
}

void replicated_table::drop_expired(time_point now) {
  if (now < next_sweep_at_) {
    return;
  }
  next_sweep_at_ = now + sweep_period;
  for (auto each = entries_.begin(); each != entries_.end();) {
    const bool expired = is_expired(each->second.what, now - each->second.written_at);
    each = expired ? erase(each) : std::next(each);
  }
}

}  // namespace hawthornnotch::replication
