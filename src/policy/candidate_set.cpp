#include "hawthornnotch/policy/candidate_set.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr std::uint32_t refreshed_per_run = 2;
}  // namespace

void candidate_set::assign(std::vector<candidate> servers, const sharing& shared, time_point now) {
  servers_ = std::move(servers);
  shared_ = shared;
  index_.clear();
  available_ = {};
  list_positions_.assign(servers_.size(), {absent, absent, absent, absent});
  capped_.assign(servers_.size(), cap_kind::none);
  capped_count_ = {};
  next_ = 0;
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    index_[servers_[index].server.get()] = index;
    refresh(index, now);
  }
}

std::optional<std::uint32_t> candidate_set::index_of(const server_state* server) const {
  const auto found = index_.find(server);
  return found == index_.end() ? std::nullopt : std::optional(found->second);
}

server_offer candidate_set::refresh(std::uint32_t index, time_point now) {
  const auto& [server, rank] = servers_.at(index);
  server_offer offer = server->offer(shared_, rank, true, now);
  if (!try_enforce_cap(index, offer.capped)) {
    offer = server->offer(shared_, rank, false, now);
  }
  for (int service_tier = 0; service_tier < tier_count; ++service_tier) {
    set_available(index, service_tier, offer.room.at(service_tier));
  }
  return offer;
}

// Caps are enforced for a bounded fraction of the servers, first come, first served.  Slow and
// failing servers are counted separately: a slow server still works and must not use up the bound
// that keeps requests away from a failing one.
bool candidate_set::try_enforce_cap(std::uint32_t index, cap_kind capped) {
  cap_kind& enforced = capped_.at(index);
  if (enforced == capped) {
    return true;
  }
  if (enforced != cap_kind::none) {
    --capped_count_.at(static_cast<std::size_t>(enforced));
    enforced = cap_kind::none;
  }
  if (capped == cap_kind::none) {
    return true;
  }
  const double max_capped = settings_.max_ejected_fraction * static_cast<double>(servers_.size());
  if (count_of(capped) + 1 > max_capped) {
    return false;
  }
  enforced = capped;
  ++capped_count_.at(static_cast<std::size_t>(capped));
  return true;
}

void candidate_set::refresh_next(time_point now) {
  const auto count = std::min<std::size_t>(refreshed_per_run, servers_.size());
  for (std::size_t done = 0; done < count; ++done) {
    next_ = (next_ + 1) % static_cast<std::uint32_t>(servers_.size());
    refresh(next_, now);
  }
}

void candidate_set::set_available(std::uint32_t index, int service_tier, bool is_available) {
  std::vector<std::uint32_t>& list = available_.at(service_tier);
  std::uint32_t& list_position = list_positions_.at(index).at(service_tier);
  if (is_available == (list_position != absent)) {
    return;
  }
  if (is_available) {
    list_position = static_cast<std::uint32_t>(list.size());
    list.push_back(index);
    return;
  }
  const std::uint32_t last = list.back();
  list.at(list_position) = last;
  list_positions_.at(last).at(service_tier) = list_position;
  list_position = absent;
  list.pop_back();
}

}  // namespace hawthornnotch::policy
