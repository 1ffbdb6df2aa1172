#include "evidence.h"

#include <algorithm>
#include <tuple>

namespace hawthornnotch::quarantine::internal {

namespace {

/// Servers that crash within this time of each other may have one cause that is no request.
constexpr duration moment_length{150};
/// Moments that quarantine a part which no server is remembered to have answered, and a request of
/// that kind.  A part takes more of them, since it concerns more requests.
constexpr std::size_t required_of_part = 4;
constexpr std::size_t required_of_request = 3;
/// Further moments where a success is remembered: the suspect is more probably a bystander.
constexpr std::size_t required_beyond_success = 2;
/// Crashes that are kept of each interval of `moment_length`, and of how many intervals.  Which
/// ones are kept depends on the crashes alone, not on the order in which they become known.
constexpr std::size_t max_crashes_per_interval = 3;
constexpr std::size_t max_crashes = 24;

bool earlier(const crash& a, const crash& b) {
  return std::tuple(a.at.ms, a.server) < std::tuple(b.at.ms, b.server);
}

std::int64_t interval_of(const crash& each) { return each.at.ms / moment_length.ms; }

// Keeps the crashes with the smallest hashes of the interval of `at`.
void limit_interval(std::vector<crash>& crashes, const crash& at) {
  const auto same_interval = [&](const crash& each) {
    return interval_of(each) == interval_of(at);
  };
  const auto count = std::count_if(crashes.begin(), crashes.end(), same_interval);
  if (static_cast<std::size_t>(count) <= max_crashes_per_interval) {
    return;
  }
  auto greatest = crashes.end();
  for (auto each = crashes.begin(); each != crashes.end(); ++each) {
    const bool greater = greatest == crashes.end() || each->server > greatest->server;
    greatest = same_interval(*each) && greater ? each : greatest;
  }
  crashes.erase(greatest);
}

}  // namespace

void crash_census::add(std::span<const crash> crashes) {
  crashes_.insert(crashes_.end(), crashes.begin(), crashes.end());
}

void crash_census::sort() { std::sort(crashes_.begin(), crashes_.end(), earlier); }

std::size_t crash_census::servers_between(time_point begin, time_point end) const {
  server_set servers;
  auto each = std::lower_bound(crashes_.begin(), crashes_.end(), crash{0, begin}, earlier);
  for (; each != crashes_.end() && each->at < end; ++each) {
    servers.insert(each->server);
  }
  return servers.size();
}

std::span<const crash> open_crashes(const suspicion& evidence) {
  const std::span<const crash> all = evidence.crashes;
  if (!evidence.last_success) {
    return all;
  }
  const auto first_open = std::find_if(
      all.begin(), all.end(), [&](const crash& each) { return each.at > *evidence.last_success; });
  return {first_open, all.end()};
}

std::size_t count_moments(std::span<const crash> crashes, const crash_census& all,
                          const server_set& explained) {
  std::size_t moments = 0;
  for (auto each = crashes.begin(); each != crashes.end();) {
    const time_point begin = each->at;
    const time_point end = begin + moment_length;
    std::size_t servers = 0;
    for (; each != crashes.end() && each->at < end; ++each) {
      servers += explained.contains(each->server) ? 0 : 1;
    }
    // The clocks of entry VMs differ a little, so the moment may have begun before.
    const std::size_t total = all.servers_between(begin - moment_length / 2, end);
    const bool specific = servers >= max_crashes_per_interval || 2 * servers >= total;
    moments += servers > 0 && specific ? 1 : 0;
  }
  return moments;
}

std::size_t required_moments(const suspicion& evidence) {
  const bool is_part = evidence.what.kind == suspect_kind::prompt_part;
  const std::size_t required = is_part ? required_of_part : required_of_request;
  return required + (evidence.last_success ? required_beyond_success : 0);
}

bool add_crash(suspicion& evidence, const crash& added) {
  auto& crashes = evidence.crashes;
  const auto known = std::find_if(crashes.begin(), crashes.end(),
                                  [&](const crash& each) { return each.server == added.server; });
  if (known != crashes.end() && known->at <= added.at) {
    return false;
  }
  const std::vector<crash> before = crashes;
  if (known != crashes.end()) {
    crashes.erase(known);
  }
  crashes.insert(std::lower_bound(crashes.begin(), crashes.end(), added, earlier), added);
  limit_interval(crashes, added);
  if (crashes.size() > max_crashes) {
    crashes.erase(crashes.begin());
  }
  return crashes != before;
}

}  // namespace hawthornnotch::quarantine::internal
