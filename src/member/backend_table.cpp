#include "hawthornnotch/member/backend_table.h"

#include <utility>

namespace hawthornnotch::member {

namespace {

// Consecutive lists that must lack a server before it counts as leaving.
constexpr int missed_lists_until_leaving = 2;

// Decides between two incarnations whose order is unknown.  The result must be the same in every
// process, so that all converge on the same incarnation.
bool takes_precedence(const backend_record& incoming, const backend_record& known) {
  if (incoming.announced_at != known.announced_at) {
    return incoming.announced_at > known.announced_at;
  }
  return incoming.server.incarnation > known.server.incarnation;
}

}  // namespace

backend_table::backend_table(std::string failure_domain, backend_table_settings settings,
                             fact_log& log, const clock& time)
    : failure_domain_(std::move(failure_domain)), settings_(settings), log_(log), time_(time) {}

void backend_table::apply_list(const std::vector<backend_server>& listed) {
  if (listed.empty()) {
    return;
  }
  std::set<std::string> present;
  for (const auto& server : listed) {
    if (server.failure_domain == failure_domain_) {
      present.insert(server.id);
      apply_listed(server);
    }
  }
  mark_absent(present);
}

void backend_table::apply_listed(const backend_server& server) {
  if (is_retired(server.id, server.incarnation)) {
    return;
  }
  const auto found = servers_.find(server.id);
  state* known = found == servers_.end() ? add({server, 0}, {}) : &found->second;
  if (known == nullptr) {
    return;
  }
  if (known->record.server.incarnation == server.incarnation) {
    known->listed = true;
    known->missed_lists = 0;
    known->last_listed = time_.now();
    update(*known, {server, 0}, {});
    return;
  }
  const bool announcement_leads = known->record.announced_at > 0 && !known->listed &&
                                  time_.now() - known->first_known < settings_.announcement_lead;
  if (!announcement_leads) {
    replace(*known, {server, 0}, {});
    known->listed = true;
    known->last_listed = time_.now();
  }
}

void backend_table::mark_absent(const std::set<std::string>& present) {
  for (auto& [id, known] : servers_) {
    if (!known.listed || present.count(id) > 0) {
      continue;
    }
    ++known.missed_lists;
    if (known.missed_lists >= missed_lists_until_leaving) {
      mark_leaving(known, {});
    }
  }
}

void backend_table::apply_announcement(const backend_server& announced, std::int64_t revision) {
  if (announced.failure_domain != failure_domain_ ||
      is_retired(announced.id, announced.incarnation)) {
    return;
  }
  const auto found = servers_.find(announced.id);
  if (found == servers_.end()) {
    add({announced, revision}, {});
    return;
  }
  state& known = found->second;
  if (announced.incarnation.empty() || announced.incarnation == known.record.server.incarnation) {
    update(known, {announced, revision}, {});
  } else if (revision > known.record.announced_at) {
    replace(known, {announced, revision}, {});
  }
}

void backend_table::merge(const backend_record& incoming, std::string_view origin) {
  const auto& server = incoming.server;
  if (server.failure_domain != failure_domain_ || is_retired(server.id, server.incarnation)) {
    return;
  }
  const auto found = servers_.find(server.id);
  if (found == servers_.end()) {
    add(incoming, origin);
    return;
  }
  state& known = found->second;
  if (known.record.server.incarnation == server.incarnation) {
    update(known, incoming, origin);
  } else if (takes_precedence(incoming, known.record)) {
    known = {incoming, time_.now(), time_.now(), false, 0};
    touch(server.id, origin);
  }
}

void backend_table::retire(const retired_incarnation& gone, std::string_view origin) {
  if (!retired_.insert(gone).second) {
    return;
  }
  retired_order_.push_back(gone);
  log_.touch({fact_kind::retired, gone.id, gone.incarnation}, origin);
  if (retired_order_.size() > settings_.max_retired) {
    const auto oldest = retired_order_.front();
    retired_order_.pop_front();
    retired_.erase(oldest);
    log_.forget({fact_kind::retired, oldest.id, oldest.incarnation});
  }
  const auto found = servers_.find(gone.id);
  if (found != servers_.end() && found->second.record.server.incarnation == gone.incarnation) {
    servers_.erase(found);
    touch(gone.id, origin);
    log_.forget({fact_kind::backend_server, gone.id, {}});
  }
}

void backend_table::expire() {
  std::vector<retired_incarnation> old;
  for (const auto& [id, known] : servers_) {
    const bool unlisted = !known.listed || known.missed_lists >= missed_lists_until_leaving;
    if (known.record.server.leaving && unlisted &&
        time_.now() - known.last_listed > settings_.retention) {
      old.push_back({id, known.record.server.incarnation});
    }
  }
  for (const auto& gone : old) {
    retire(gone, {});
  }
}

// Merges another record of the same incarnation: the newer announcement determines the fields, and
// leaving is never revoked.
void backend_table::update(state& known, const backend_record& newer, std::string_view origin) {
  backend_record& record = known.record;
  const bool leaving = record.server.leaving || newer.server.leaving;
  const std::string incarnation = record.server.incarnation;
  backend_record next = newer.announced_at > record.announced_at ? newer : record;
  next.server.leaving = leaving;
  next.server.incarnation = incarnation;
  if (next != record) {
    record = std::move(next);
    touch(record.server.id, origin);
  }
}

void backend_table::mark_leaving(state& known, std::string_view origin) {
  if (!known.record.server.leaving) {
    known.record.server.leaving = true;
    touch(known.record.server.id, origin);
  }
}

void backend_table::replace(state& known, const backend_record& by, std::string_view origin) {
  const retired_incarnation old{known.record.server.id, known.record.server.incarnation};
  known = {by, time_.now(), time_.now(), false, 0};
  retire(old, origin);
  touch(by.server.id, origin);
}

backend_table::state* backend_table::add(const backend_record& record, std::string_view origin) {
  if (servers_.size() >= settings_.max_servers) {
    ++refused_;
    return nullptr;
  }
  state& added = servers_[record.server.id];
  added = {record, time_.now(), time_.now(), false, 0};
  touch(record.server.id, origin);
  return &added;
}

void backend_table::touch(const std::string& id, std::string_view origin) {
  log_.touch({fact_kind::backend_server, id, {}}, origin);
}

const backend_record* backend_table::find(const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.record;
}

bool backend_table::is_retired(const std::string& id, const std::string& incarnation) const {
  return retired_.count({id, incarnation}) > 0;
}

std::vector<backend_server> backend_table::servers() const {
  std::vector<backend_server> all;
  all.reserve(servers_.size());
  for (const auto& [id, known] : servers_) {
    all.push_back(known.record.server);
  }
  return all;
}

}  // namespace hawthornnotch::member
