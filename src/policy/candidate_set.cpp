#include "hawthornnotch/policy/candidate_set.h"

#include <algorithm>

namespace hawthornnotch::policy {

namespace {
constexpr std::uint32_t refreshed_in_turn = 2;
}  // namespace

void candidate_set::assign(std::vector<candidate> servers, const sharing& shared, time_point now) {
  servers_ = std::move(servers);
  shared_ = shared;
  index_.clear();
  open_ = {};
  position_.assign(servers_.size(), {absent, absent, absent, absent});
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
  if (!honour_cap(index, offer.capped)) {
    offer = server->offer(shared_, rank, false, now);
  }
  for (int service_tier = 0; service_tier < tier_count; ++service_tier) {
    set_open(index, service_tier, offer.room.at(service_tier));
  }
  return offer;
}

// Caps are honoured for a bounded part of the servers, first come first served.  Slow and failing
// ones are counted apart: a slow server still works, and must not keep a failing one in use.
bool candidate_set::honour_cap(std::uint32_t index, cap_kind capped) {
  cap_kind& held = capped_.at(index);
  if (held == capped) {
    return true;
  }
  if (held != cap_kind::none) {
    --capped_count_.at(static_cast<std::size_t>(held));
    held = cap_kind::none;
  }
  if (capped == cap_kind::none) {
    return true;
  }
  const double most = settings_.max_ejected_fraction * static_cast<double>(servers_.size());
  if (count_of(capped) + 1 > most) {
    return false;
  }
  held = capped;
  ++capped_count_.at(static_cast<std::size_t>(capped));
  return true;
}

void candidate_set::refresh_next(time_point now) {
  const auto count = std::min<std::size_t>(refreshed_in_turn, servers_.size());
  for (std::size_t done = 0; done < count; ++done) {
    next_ = (next_ + 1) % static_cast<std::uint32_t>(servers_.size());
    refresh(next_, now);
  }
}

void candidate_set::set_open(std::uint32_t index, int service_tier, bool is_open) {
  std::vector<std::uint32_t>& list = open_.at(service_tier);
  std::uint32_t& position = position_.at(index).at(service_tier);
  if (is_open == (position != absent)) {
    return;
  }
  if (is_open) {
    position = static_cast<std::uint32_t>(list.size());
    list.push_back(index);
    return;
  }
  const std::uint32_t last = list.back();
  list.at(position) = last;
  position_.at(last).at(service_tier) = position;
  position = absent;
  list.pop_back();
}

}  // namespace hawthornnotch::policy
