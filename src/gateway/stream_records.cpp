#include "stream_records.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

constexpr std::string_view record_key_prefix = "hn/streams/";
/// Pause after the records could not be read.
constexpr duration read_retry_period{2'000};
/// A record holds no more streams than this, the last that began; a value in the store is limited.
constexpr std::size_t max_recorded_streams = 8'000;
constexpr std::chrono::milliseconds check_period{50};
constexpr duration read_interval_per_vm{4};
/// While nothing is to be read and versions are not mixed.
constexpr std::chrono::milliseconds idle_check_period{500};
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
/// How long a request waits for the records.
constexpr duration max_read_wait{500};
constexpr std::chrono::milliseconds read_poll_period{5};

}  // namespace

stream_records::stream_records(gateway_state& shared, platform::key_value_store& store,
                               const asio::any_io_executor& executor)
    : shared_(shared),
      store_(store),
      executor_(executor),
      timer_(executor),
      fleet_versions_(shared, store),
      started_at_(shared.time.now()) {}

void stream_records::schedule() {
  timer_.expires_after(check_period);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      run();
    }
  });
}

void stream_records::run() {
  timer_.expires_after(update() ? check_period : idle_check_period);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      run();
    }
  });
}

void stream_records::on_store_restored() {
  trust_.on_restored(shared_.time.now());
  fleet_versions_.on_store_restored();
  shared_.declaration.withdraw();
  drop_record();
}

void stream_records::drop_record() {
  written_.clear();
  lease_ = 0;
}

duration stream_records::call_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_call_interval, call_interval_per_vm * vms);
}

duration stream_records::demanded_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_demanded_interval, demanded_interval_per_vm * vms);
}

duration stream_records::read_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_call_interval, read_interval_per_vm * vms);
}

std::string stream_records::own_key() const {
  return std::string(record_key_prefix) + shared_.settings.vm;
}

bool stream_records::update() {
  const time_point now = shared_.time.now();
  const bool needs_reading = !predecessor_known() || fleet_versions_.needs_reading();
  const bool due = !read_tried_at_ || now - *read_tried_at_ >= read_retry_period;
  if (needs_reading && !reading_ && due) {
    read();
  }
  if (history_known()) {
    shared_.versions.complete({}, now);
  }
  if (outlived_streams()) {
    shared_.declaration.on_no_predecessor();
  }
  const bool mixed = predecessor_known() && update_own_record();
  // Versions that have left stay in this VM's record before they leave the fleet's.
  if (!mixed || shared_.declaration.recorded() == shared_.versions.mixed_services(now)) {
    fleet_versions_.update(records_are_whole());
  }
  return needs_reading || mixed;
}

bool stream_records::outlived_streams() const {
  return shared_.time.now() - started_at_ >= streams::max_stream_age;
}

bool stream_records::predecessor_known() const { return read_at_ || outlived_streams(); }

// After a restore, what VMs declared at one of several versions may be missing; where one version
// serves alone, there was nothing to declare.
bool stream_records::records_are_whole() const {
  const time_point now = shared_.time.now();
  const auto& list = shared_.servers.newest();
  if (!list || !shared_.versions.is_complete() || !shared_.peers.all_declare_versions()) {
    return false;
  }
  const bool mixed = !shared_.versions.mixed_services(now).empty();
  return trust_.is_unbroken(now) || (!mixed && trust_.shows_all_servers(list->read_at));
}

bool stream_records::update_own_record() {
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

void stream_records::update_record(streams::version_sets mixed) {
  // A write does not renew the lease.
  if (lease_ == 0) {
    grant_lease();
  } else if (shared_.declaration.renewal_is_due(shared_.time.now())) {
    renew();
  } else {
    put_record(std::move(mixed));
  }
}

bool stream_records::rules_changed(const streams::version_sets& mixed) const {
  return declare(mixed).rules != shared_.declaration.recorded_rules();
}

// Where no server takes work, streams begin at no version.
streams::version_shares stream_records::shares_of(const std::string& service) const {
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

std::string stream_records::target_version(const std::string& service,
                                           std::string_view attempt) const {
  return shares_of(service).version_for(attempt);
}

std::int64_t stream_records::known_vms() const {
  const auto remembered = static_cast<std::int64_t>(shared_.peers.remembered_count());
  return outlived_streams() ? remembered : std::max(remembered, inherited_vms_);
}

// Without a complete table of origins, streams that began may be missing from the record.
streams::vm_declaration stream_records::declare(streams::version_sets mixed) const {
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

std::string stream_records::compose(const streams::vm_declaration& declared) const {
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

void stream_records::grant_lease() {
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

void stream_records::put_record(streams::version_sets mixed) {
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
    change.conditions.emplace_back(platform::must_be_absent{own_key()});
  } else {
    change.conditions.emplace_back(platform::must_be_unchanged{own_key(), revision_});
  }
  change.effects.emplace_back(platform::put{own_key(), value, lease_});
  change.read_on_conflict.push_back(own_key());
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.transact(std::move(change), [this, value = std::move(value), declared, composed_at,
                                      restores_at_call](const auto& outcome) {
    const bool applied = outcome && outcome->applied;
    if (applied && restores_at_call == shared_.era.restores()) {
      written_ = value;
    }
    if (restores_at_call == shared_.era.restores()) {
      on_put(outcome, declared, composed_at);
    } else {
      call_open_ = false;
    }
  });
}

void stream_records::on_put(
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

void stream_records::on_conflict(std::span<const platform::key_value> current) {
  if (current.empty()) {
    revision_ = 0;
    return;
  }
  revision_ = current.front().mod_revision;
  shared_.declaration.on_foreign_record(add_record(current.front()));
}

void stream_records::renew() {
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

void stream_records::finish_write(const status<platform::platform_failure>& outcome) {
  call_open_ = false;
  last_call_failed_ = !outcome;
  if (outcome) {
    acknowledged_at_ = shared_.time.now();
    store_streams_.on_success();
    return;
  }
  const platform::failure_kind reason = outcome.last_reason().kind;
  if (reason == platform::failure_kind::lease_gone) {
    shared_.declaration.withdraw();
    drop_record();
  }
  store_streams_.on_failure(to_string(reason));
}

bool stream_records::history_known() const {
  const auto& list = shared_.servers.newest();
  const bool listed = list && trust_.shows_all_servers(list->read_at);
  return shared_.versions.is_complete() || listed || outlived_streams();
}

asio::awaitable<void> stream_records::refresh(time_point since) {
  const time_point end = shared_.time.now() + max_read_wait;
  asio::steady_timer timer(executor_);
  time_point now = shared_.time.now();
  while (!declarations_.is_read_since(since) && now < end) {
    const bool tried = read_tried_at_ && *read_tried_at_ >= since;
    if (tried && !reading_) {
      break;
    }
    const bool due = !read_tried_at_ || now - *read_tried_at_ >= read_interval();
    if (!reading_ && due) {
      read();
    }
    timer.expires_after(read_poll_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    now = shared_.time.now();
  }
}

bool stream_records::records_are_quick() const { return demanded_interval() <= quick_interval; }

bool stream_records::records_now() const {
  const bool lately = shared_.time.now() - acknowledged_at_ <= acknowledgement_validity;
  return lately && is_writable() && records_are_quick();
}

bool stream_records::is_writable() const {
  const bool overdue = call_open_ && shared_.time.now() - called_at_ > usual_call_time;
  return predecessor_known() && !last_call_failed_ && !overdue;
}

// A VM of an earlier build may have begun streams without a declaration; whether a VM that was
// never heard of is one is not known.
std::optional<streams::begin_facts> stream_records::begin_facts(std::string_view service,
                                                                time_point since) const {
  const bool complete = declarations_.is_read_since(since) &&
                        trust_.is_unbroken(shared_.time.now()) && shared_.peers.knows_others() &&
                        shared_.peers.all_declare_versions();
  if (!complete) {
    return std::nullopt;
  }
  return streams::gather_facts(service, declarations_,
                               {known_vms(), shared_.versions.base(service)});
}

void stream_records::read() {
  reading_ = true;
  const time_point called_at = shared_.time.now();
  read_tried_at_ = called_at;
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.read_prefix(std::string(record_key_prefix),
                     [this, called_at, restores_at_call](auto answer) {
                       reading_ = false;
                       if (!answer) {
                         store_streams_.on_failure(to_string(answer.last_reason().kind));
                         return;
                       }
                       store_streams_.on_success();
                       // Pages read around a restore may belong to different eras.
                       if (restores_at_call == shared_.era.restores()) {
                         add_records(answer->found, called_at);
                         read_at_ = shared_.time.now();
                       }
                     });
}

void stream_records::add_records(std::span<const platform::key_value> records,
                                 time_point called_at) {
  const platform::key_value* of_fleet = nullptr;
  streams::declaration_table::declaration_map by_vm;
  for (const platform::key_value& each : records) {
    if (each.key == version_record::key()) {
      of_fleet = &each;
    } else {
      by_vm.emplace(each.key.substr(record_key_prefix.size()), add_record(each));
    }
  }
  const streams::stream_record fleet = fleet_versions_.on_read(of_fleet);
  if (!read_at_) {
    const auto own = std::find_if(records.begin(), records.end(),
                                  [&](const auto& each) { return each.key == own_key(); });
    revision_ = own == records.end() ? 0 : own->mod_revision;
    begin_history(of_fleet != nullptr ? &fleet : nullptr, by_vm);
  }
  declarations_.on_read(std::move(by_vm), called_at);
}

void stream_records::begin_history(const streams::stream_record* of_fleet,
                                   const streams::declaration_table::declaration_map& by_vm) {
  const time_point now = shared_.time.now();
  const std::optional<std::int64_t> era = of_fleet != nullptr ? of_fleet->era : std::nullopt;
  const streams::version_sets in_service =
      of_fleet != nullptr ? of_fleet->recent_versions : streams::version_sets{};
  shared_.versions.inherit(in_service, now);
  for (const auto& [vm, declared] : by_vm) {
    inherited_vms_ = std::max(inherited_vms_, declared.known_vms);
  }
  trust_.on_first_read({of_fleet != nullptr, era}, shared_.era.current(), now);
  if (!trust_.is_unbroken(now)) {
    log_event(level::warning, "stream_records_older",
              {{"era", shared_.era.current()}, {"record_era", era.value_or(-1)}});
    return;
  }
  shared_.versions.complete(streams::recorded_bases(in_service, by_vm), now);
  const auto own = by_vm.find(shared_.settings.vm);
  shared_.declaration.on_predecessor(own == by_vm.end() ? streams::vm_declaration{} : own->second);
  if (of_fleet == nullptr && by_vm.empty()) {
    shared_.declaration.on_no_predecessor();
  }
}

// The streams of this VM's earlier process stay in its record.
streams::vm_declaration stream_records::add_record(const platform::key_value& found) {
  const time_point now = shared_.time.now();
  auto record = streams::decode_stream_record(found.value);
  if (!record) {
    log_event(level::warning, "stream_record_unreadable", {{"key", found.key}});
    return {};
  }
  const auto source =
      found.key == own_key() ? streams::origin_source::own : streams::origin_source::peer;
  shared_.versions.inherit(record->recent_versions, now);
  for (const streams::stream_origin& stream : record->streams) {
    shared_.origins.record(stream, source, now);
  }
  return record->declaration();
}

}  // namespace hawthornnotch::gateway::internal
