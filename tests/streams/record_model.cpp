#include "record_model.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::streams {

std::optional<std::int64_t> model_store::apply(write change) {
  const auto found = records_.find(change.vm);
  const std::int64_t revision = found == records_.end() ? 0 : found->second.revision;
  if (revision != change.expected_revision) {
    return std::nullopt;
  }
  change.value.revision = ++revision_;
  records_[change.vm] = std::move(change.value);
  return revision_;
}

void model_store::apply_late() {
  for (write& each : std::exchange(late_, {})) {
    apply(std::move(each));
  }
}

void model_store::expire(time_point now) {
  std::erase_if(records_, [&](const auto& each) { return each.second.leased_until <= now; });
}

std::optional<model_store::record> model_store::find(const std::string& vm) const {
  const auto found = records_.find(vm);
  return found == records_.end() ? std::nullopt : std::optional(found->second);
}

const std::string& model_process::service() {
  static const std::string name = "forecast";
  return name;
}

void model_process::step(const std::vector<servers::server_entry>& listed, std::int64_t known_vms,
                         call_end next, time_point now) {
  if (!store_.away) {
    listed_ = listed;
    history_.observe(listed, now);
    known_vms_ = known_vms;
    if (!read_) {
      read_records(now);
    }
  }
  if (now - started_at_ >= max_stream_age) {
    declaration_.on_no_predecessor();
  }
  if (read_ && history_.is_mixed(service(), now)) {
    write_record(store_.away ? call_end::not_carried_out : next, now);
  }
  std::erase_if(waiting_, [&](const waiting_stream& each) {
    const bool named = declaration_.names_streams_until(service(), each.began_at, now);
    if (named) {
      begun_[each.attempt] = own_.at(each.attempt);
    }
    return named;
  });
}

void model_process::read_records(time_point now) {
  read_ = true;
  declaration_table::declaration_map by_vm;
  for (const auto& [vm, record] : store_.records()) {
    by_vm.emplace(vm, record.declared);
    history_.inherit(record.declared.mixed, now);
    inherited_vms_ = std::max(inherited_vms_, record.declared.known_vms);
  }
  const version_sets in_service = store_.of_fleet.value_or(version_sets{});
  history_.inherit(in_service, now);
  history_.complete(recorded_bases(in_service, by_vm), now);
  const auto own = store_.find(vm_);
  declaration_.on_predecessor(own ? own->declared : vm_declaration{});
  if (own) {
    own_ = own->streams;
    revision_ = own->revision;
  }
  if (!store_.of_fleet && by_vm.empty()) {
    declaration_.on_no_predecessor();
  }
}

// A service that is not listed keeps its versions.
void model_process::record_versions(time_point now) const {
  const version_sets mixed = history_.mixed_services(now);
  if (!mixed.empty() && declaration_.recorded() != mixed) {
    return;
  }
  version_sets versions = versions_of(listed_);
  if (store_.of_fleet) {
    versions.insert(store_.of_fleet->begin(), store_.of_fleet->end());
  }
  store_.of_fleet = std::move(versions);
}

version_shares model_process::shares() const {
  version_shares::weight_map weights;
  for (const servers::server_entry& each : listed_) {
    ++weights[each.software_version];
  }
  return version_shares::create(std::move(weights)).value().value_or(version_shares::only(""));
}

vm_declaration model_process::declare(time_point now) const {
  vm_declaration out;
  out.mixed = history_.mixed_services(now);
  out.known_vms = std::max(known_vms_, inherited_vms_);
  out.rules[service()] =
      declaration_.next_rule({service(), shares(), history_.base(service()), quick_});
  return out;
}

void model_process::write_record(call_end end, time_point now) {
  const vm_declaration declared = declare(now);
  declaration_.on_sending(declared);
  model_store::write change{vm_, revision_, {declared, own_, 0, now + declaration_ttl}};
  last_call_failed_ = end != call_end::answered;
  if (end == call_end::not_carried_out) {
    return;
  }
  if (end == call_end::late) {
    store_.keep_for_later(std::move(change));
    return;
  }
  const auto revision = store_.apply(std::move(change));
  if (end == call_end::answer_lost) {
    return;
  }
  declaration_.on_leased(now);
  if (revision) {
    revision_ = *revision;
    declaration_.on_written(declared, now);
    return;
  }
  const auto found = store_.find(vm_);
  revision_ = found ? found->revision : 0;
  if (found) {
    own_.insert(found->streams.begin(), found->streams.end());
    declaration_.on_foreign_record(found->declared);
  }
}

version_declaration::new_stream model_process::make_stream(const std::string& attempt) const {
  return {service(), attempt, history_.base(service())};
}

void model_process::begin_at(const std::string& attempt, const std::string& version,
                             time_point now) {
  own_[attempt] = version;
  const bool mixed = history_.is_mixed(service(), now);
  const auto permission = declaration_.permission(make_stream(attempt), version, now);
  if (mixed && permission != begin_permission::allowed) {
    declaration_.demand_write(now);
    waiting_.push_back({attempt, now});
  } else {
    begun_[attempt] = version;
  }
}

void model_process::begin(const std::string& attempt, random_source& random, time_point now) {
  if (!read_ || listed_.empty()) {
    return;
  }
  const std::string target = shares().version_for(attempt);
  const auto stream = make_stream(attempt);
  const bool allowed =
      declaration_.permission(stream, target, now) != begin_permission::needs_record;
  const bool mixed = history_.is_mixed(service(), now);
  // At times no server of the version takes work.
  constexpr std::uint64_t full_every = 8;
  const bool full = random.below(full_every) == 0;
  if (!mixed || (!full && (allowed || (quick_ && !last_call_failed_)))) {
    begin_at(attempt, target, now);
    return;
  }
  if (const auto other = declaration_.preferred_version(stream, now)) {
    begin_at(attempt, *other, now);
  } else if (!last_call_failed_) {
    begin_at(attempt, listed_[random.below(listed_.size())].software_version, now);
  }
}

std::optional<std::string> model_process::resume(
    const std::string& attempt, const std::function<bool(const std::string&)>& excludes,
    time_point now) const {
  declaration_table::declaration_map by_vm;
  for (const auto& [vm, record] : store_.records()) {
    const auto found = record.streams.find(attempt);
    if (found != record.streams.end()) {
      return found->second;
    }
    by_vm.emplace(vm, record.declared);
  }
  const std::set<std::string> recent = history_.recent(service(), now);
  if (recent.size() == 1 && history_.is_complete()) {
    return *recent.begin();
  }
  declaration_table table;
  table.on_read(std::move(by_vm), now);
  begin_facts facts = gather_facts(
      service(), table, {std::max(known_vms_, inherited_vms_), history_.base(service())});
  if (auto proved = prove_version(facts, attempt)) {
    return *proved;
  }
  const auto beginners = facts.beginners;
  for (const auto& [vm, rule] : beginners) {
    if (excludes(vm)) {
      facts.exclude(vm);
    }
  }
  return prove_version(facts, attempt).value();
}

}  // namespace hawthornnotch::streams
