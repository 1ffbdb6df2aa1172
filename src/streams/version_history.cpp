#include "hawthornnotch/streams/version_history.h"

#include "hawthornnotch/streams/stream_origin.h"

namespace hawthornnotch::streams {

version_sets versions_of(std::span<const servers::server_entry> listed) {
  version_sets out;
  for (const servers::server_entry& entry : listed) {
    out[entry.service].insert(entry.software_version);
  }
  return out;
}

std::vector<std::string> version_history::observe(std::span<const servers::server_entry> listed,
                                                  time_point now) {
  if (observed_at_ && now - *observed_at_ > max_stream_age) {
    bases_.clear();
  }
  observed_at_ = now;
  const version_sets present = versions_of(listed);
  for (auto& [service, versions] : services_) {
    const auto here = present.find(service);
    for (auto& [version, seen] : versions) {
      const bool is_listed = here != present.end() && here->second.contains(version);
      if (!is_listed && !seen.removed_at) {
        seen.removed_at = now;
      }
    }
    std::erase_if(versions, [&](const auto& each) {
      return each.second.removed_at && now - *each.second.removed_at > max_stream_age;
    });
  }
  std::vector<std::string> newly_mixed;
  for (const auto& [service, versions] : present) {
    const bool was_mixed = is_mixed(service, now);
    for (const std::string& version : versions) {
      services_[service][version].removed_at.reset();
    }
    if (!was_mixed && is_mixed(service, now)) {
      newly_mixed.push_back(service);
    }
  }
  update_bases(now);
  return newly_mixed;
}

void version_history::complete(const version_sets& recorded, time_point now) {
  if (complete_) {
    return;
  }
  complete_ = true;
  for (const auto& [service, versions] : recorded) {
    if (versions.size() == 1) {
      bases_.emplace(service, *versions.begin());
    }
  }
  update_bases(now);
}

std::optional<std::string> version_history::base(std::string_view service) const {
  const auto found = bases_.find(service);
  return found == bases_.end() ? std::nullopt : std::optional(found->second);
}

void version_history::update_bases(time_point now) {
  if (!complete_) {
    return;
  }
  for (const auto& [service, versions] : services_) {
    const std::set<std::string> recent = recent_of(versions, now);
    if (recent.size() == 1) {
      bases_.insert_or_assign(service, *recent.begin());
    }
  }
}

void version_history::inherit(const version_sets& recorded, time_point now) {
  for (const auto& [service, versions] : recorded) {
    for (const std::string& version : versions) {
      services_[service].try_emplace(version, seen_version{now});
    }
  }
}

std::set<std::string> version_history::recent_of(const seen_versions& versions, time_point now) {
  std::set<std::string> out;
  for (const auto& [version, seen] : versions) {
    if (!seen.removed_at || now - *seen.removed_at <= max_stream_age) {
      out.insert(version);
    }
  }
  return out;
}

std::set<std::string> version_history::recent(std::string_view service, time_point now) const {
  const auto found = services_.find(service);
  return found == services_.end() ? std::set<std::string>{} : recent_of(found->second, now);
}

version_sets version_history::mixed_services(time_point now) const {
  version_sets out;
  for (const auto& [service, versions] : services_) {
    std::set<std::string> recent = recent_of(versions, now);
    if (recent.size() > 1) {
      out.emplace(service, std::move(recent));
    }
  }
  return out;
}

}  // namespace hawthornnotch::streams
