#include "own_stream_record.h"

#include <algorithm>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

using observe::level;
using observe::log_event;

namespace {

/// A record holds no more streams than this, the last that began; a value in the store is limited.
constexpr std::size_t max_recorded_streams = 8'000;
constexpr duration min_call_interval{250};
constexpr duration call_interval_per_vm{15};
constexpr duration min_demanded_interval{50};
constexpr duration demanded_interval_per_vm{5};
/// For so long an acknowledgement tells that the store answers.
constexpr duration acknowledgement_validity{500};
/// A stream may wait for its record for about this long.
constexpr duration quick_interval{100};
/// A call that takes longer than this is taken for one that the store does not answer.
constexpr duration usual_call_time{300};

}  // namespace

// The streams of this VM's earlier process stay in its record.
streams::vm_declaration take_stream_record(gateway_state& shared,
                                           const platform::key_value& found) {
  const time_point now = shared.time.now();
  auto record = streams::decode_stream_record(found.value);
  if (!record) {
    log_event(level::warning, "stream_record_unreadable", {{"key", found.key}});
    return streams::vm_declaration::unreadable();
  }
  const auto source = found.key == own_stream_record::key_of(shared.settings.vm)
                          ? streams::origin_source::own
                          : streams::origin_source::peer;
  shared.versions.inherit(record->recent_versions, now);
  for (const streams::stream_origin& stream : record->streams) {
    shared.origins.record(stream, source, now);
  }
  return record->declaration();
}

own_stream_record::own_stream_record(gateway_state& shared, platform::key_value_store& store,
                                     dependency_monitor& monitor)
    : shared_(shared), store_(store), monitor_(monitor), started_at_(shared.time.now()) {}

void own_stream_record::on_found(const found_records& found) {
  revision_ = found.own_revision;
  inherited_vms_ = found.known_vms;
}

void own_stream_record::on_store_restored() {
  shared_.declaration.withdraw();
  drop_record();
}

bool own_stream_record::update() {
  may_write_ = true;
  const time_point now = shared_.time.now();
  streams::version_sets mixed = shared_.versions.mixed_services(now);
  if (mixed.empty()) {
    // The lease runs out by itself, and its record with it.
    if (lease_ != 0) {
      shared_.declaration.let_expire();
      drop_record();
    }
    return false;
  }
  const bool soon = shared_.declaration.write_is_demanded() || rules_changed(mixed);
  const duration interval = soon && !last_call_failed_ ? demanded_interval() : call_interval();
  if (!call_open_ && now - called_at_ >= interval) {
    called_at_ = now;
    update_record(std::move(mixed));
  }
  return true;
}

void own_stream_record::update_record(streams::version_sets mixed) {
  // A write does not renew the lease.
  if (lease_ == 0) {
    grant_lease();
  } else if (shared_.declaration.renewal_is_due(shared_.time.now())) {
    renew();
  } else {
    put_record(std::move(mixed));
  }
}

bool own_stream_record::outlived_streams() const {
  return shared_.time.now() - started_at_ >= streams::max_stream_age;
}

std::int64_t own_stream_record::known_vms() const {
  const auto remembered = static_cast<std::int64_t>(shared_.peers.remembered_count());
  return outlived_streams() ? remembered : std::max(remembered, inherited_vms_);
}

bool own_stream_record::rules_changed(const streams::version_sets& mixed) const {
  return declare(mixed).rules != shared_.declaration.recorded_rules();
}

// Where no server takes work, streams begin at no version.
streams::version_shares own_stream_record::shares_of(const std::string& service) const {
  streams::version_shares::weight_map weights;
  for (const servers::server_entry* server : shared_.servers.serving(service)) {
    ++weights[server->software_version];
  }
  if (auto shares = streams::version_shares::create(std::move(weights))) {
    return *shares;
  }
  const auto declared = shared_.declaration.declared_shares(service);
  return declared.value_or(streams::version_shares::only(""));
}

std::string own_stream_record::target_version(const std::string& service,
                                              std::string_view attempt) const {
  return shares_of(service).version_for(attempt);
}

// Without a complete table of origins, streams that began may be missing from the record.
streams::vm_declaration own_stream_record::declare(streams::version_sets mixed) const {
  streams::vm_declaration declared;
  if (shared_.origins.is_complete(shared_.time.now())) {
    for (const auto& [service, versions] : mixed) {
      const streams::version_declaration::rule_inputs inputs{
          service, shares_of(service), shared_.versions.base(service), records_are_quick()};
      declared.rules.emplace(service, shared_.declaration.next_rule(inputs));
    }
  }
  declared.mixed = std::move(mixed);
  declared.known_vms = known_vms();
  return declared;
}

std::string own_stream_record::compose(const streams::vm_declaration& declared) const {
  streams::stream_record record;
  for (const auto& [service, versions] : declared.mixed) {
    auto own = shared_.origins.own_streams(service, shared_.time.now());
    std::move(own.begin(), own.end(), std::back_inserter(record.streams));
  }
  record.recent_versions = declared.mixed;
  record.rules = declared.rules;
  record.known_vms = declared.known_vms;
  const auto younger = [](const streams::stream_origin& a, const streams::stream_origin& b) {
    return a.age < b.age;
  };
  if (record.streams.size() > max_recorded_streams) {
    const auto end = record.streams.begin() + max_recorded_streams;
    std::nth_element(record.streams.begin(), end, record.streams.end(), younger);
    record.streams.erase(end, record.streams.end());
  }
  return streams::encode(record);
}

void own_stream_record::grant_lease() {
  call_open_ = true;
  restores_at_grant_ = shared_.era.restores();
  const time_point called_at = shared_.time.now();
  store_.grant_lease(streams::declaration_ttl, [this, called_at](auto lease) {
    if (!lease) {
      finish_write(failed{lease.last_reason()});
      return;
    }
    call_open_ = false;
    // The number of a lease from before a restore may be another VM's now.
    if (restores_at_grant_ == shared_.era.restores()) {
      shared_.declaration.on_leased(called_at);
      lease_ = *lease;
      put_record(shared_.versions.mixed_services(shared_.time.now()));
    }
  });
}

void own_stream_record::put_record(streams::version_sets mixed) {
  const time_point composed_at = shared_.time.now();
  const streams::vm_declaration declared = declare(std::move(mixed));
  std::string value = compose(declared);
  if (declared.mixed.empty() || (value == written_ && !last_call_failed_)) {
    return;
  }
  call_open_ = true;
  called_at_ = composed_at;
  shared_.declaration.on_sending(declared);
  platform::transaction change;
  if (revision_ == 0) {
    change.conditions.emplace_back(platform::must_be_absent{key()});
  } else {
    change.conditions.emplace_back(platform::must_be_unchanged{key(), revision_});
  }
  change.effects.emplace_back(platform::put{key(), value, lease_});
  change.read_on_conflict.push_back(key());
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.transact(std::move(change), [this, value = std::move(value), declared, composed_at,
                                      restores_at_call](const auto& outcome) {
    // What was written may be gone, and its revision another key's.
    if (restores_at_call != shared_.era.restores()) {
      call_open_ = false;
      return;
    }
    if (outcome && outcome->applied) {
      written_ = value;
    }
    on_put(outcome, declared, composed_at);
  });
}

void own_stream_record::on_put(
    const result<platform::transaction_outcome, platform::platform_failure>& outcome,
    const streams::vm_declaration& declared, time_point composed_at) {
  if (!outcome) {
    finish_write(failed{outcome.last_reason()});
    return;
  }
  if (outcome->applied) {
    revision_ = outcome->revision;
    shared_.declaration.on_written(declared, composed_at);
  } else {
    on_conflict(outcome->current);
  }
  finish_write(ok);
}

void own_stream_record::on_conflict(std::span<const platform::key_value> current) {
  if (current.empty()) {
    revision_ = 0;
    return;
  }
  revision_ = current.front().mod_revision;
  shared_.declaration.on_foreign_record(take_stream_record(shared_, current.front()));
}

void own_stream_record::renew() {
  call_open_ = true;
  const time_point called_at = shared_.time.now();
  store_.keep_alive(lease_, [this, called_at](auto lease) {
    if (lease) {
      shared_.declaration.on_leased(called_at);
      finish_write(ok);
    } else {
      finish_write(failed{lease.last_reason()});
    }
  });
}

void own_stream_record::finish_write(const status<platform::platform_failure>& outcome) {
  call_open_ = false;
  last_call_failed_ = !outcome;
  if (outcome) {
    acknowledged_at_ = shared_.time.now();
    monitor_.on_success();
    return;
  }
  const platform::failure_kind reason = outcome.last_reason().kind;
  if (reason == platform::failure_kind::lease_gone) {
    shared_.declaration.withdraw();
    drop_record();
  }
  monitor_.on_failure(to_string(reason));
}

bool own_stream_record::records_are_quick() const { return demanded_interval() <= quick_interval; }

bool own_stream_record::can_record_quickly() const {
  const bool lately = shared_.time.now() - acknowledged_at_ <= acknowledgement_validity;
  return lately && is_writable() && records_are_quick();
}

bool own_stream_record::is_writable() const {
  const bool overdue = call_open_ && shared_.time.now() - called_at_ > usual_call_time;
  return may_write_ && !last_call_failed_ && !overdue;
}

void own_stream_record::drop_record() {
  written_.clear();
  lease_ = 0;
}

duration own_stream_record::call_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_call_interval, call_interval_per_vm * vms);
}

duration own_stream_record::demanded_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_demanded_interval, demanded_interval_per_vm * vms);
}

std::string own_stream_record::key_of(std::string_view vm) {
  return std::string(stream_record_prefix) + std::string(vm);
}

std::string own_stream_record::key() const { return key_of(shared_.settings.vm); }

}  // namespace hawthornnotch::gateway::internal
