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
  drop_record();
}

void stream_records::drop_record() {
  written_.clear();
  shared_.declaration.withdraw();
  lease_ = 0;
}

duration stream_records::call_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_call_interval, call_interval_per_vm * vms);
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
    shared_.declaration.on_predecessor(streams::version_sets{});
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
    drop_record();
    return false;
  }
  if (!call_open_ && now - called_at_ >= call_interval()) {
    called_at_ = now;
    update_record(std::move(mixed));
  }
  return true;
}

void stream_records::update_record(streams::version_sets mixed) {
  std::string value = compose(mixed);
  // A write does not renew the lease.
  if (lease_ != 0 && shared_.declaration.renewal_is_due(shared_.time.now())) {
    renew();
  } else if (lease_ == 0 || value != written_) {
    write(std::move(value), std::move(mixed));
  }
}

std::string stream_records::compose(streams::version_sets mixed) const {
  streams::stream_record record;
  for (const auto& [service, versions] : mixed) {
    auto own = shared_.origins.own_streams(service, shared_.time.now());
    std::move(own.begin(), own.end(), std::back_inserter(record.streams));
  }
  record.recent_versions = std::move(mixed);
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

void stream_records::write(std::string value, streams::version_sets versions) {
  call_open_ = true;
  if (lease_ != 0) {
    put_record(std::move(value), std::move(versions), lease_);
    return;
  }
  restores_at_grant_ = shared_.era.restores();
  const time_point called_at = shared_.time.now();
  store_.grant_lease(streams::declaration_ttl,
                     [this, called_at, value = std::move(value), versions](auto lease) {
                       if (lease) {
                         shared_.declaration.on_leased(called_at);
                         put_record(value, versions, *lease);
                       } else {
                         finish_write(failed{lease.last_reason()});
                       }
                     });
}

void stream_records::put_record(std::string value, streams::version_sets versions,
                                std::int64_t lease) {
  platform::transaction change;
  change.effects.emplace_back(platform::put{own_key(), value, lease});
  store_.transact(std::move(change), [this, value, versions, lease](auto outcome) {
    if (!outcome) {
      finish_write(failed{outcome.last_reason()});
      return;
    }
    // The number of a lease from before a restore may be another VM's now.
    if (restores_at_grant_ == shared_.era.restores()) {
      written_ = value;
      shared_.declaration.on_written(versions);
      lease_ = lease;
    }
    finish_write(ok);
  });
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
  if (outcome) {
    store_streams_.on_success();
    return;
  }
  const platform::failure_kind reason = outcome.last_reason().kind;
  if (reason == platform::failure_kind::lease_gone) {
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

// A VM of an earlier build may have begun streams without a declaration; whether a VM that was
// never heard of is one is not known.
std::optional<std::set<std::string>> stream_records::possible_beginners(std::string_view service,
                                                                        time_point since) const {
  const bool complete = declarations_.is_read_since(since) &&
                        trust_.is_unbroken(shared_.time.now()) && shared_.peers.knows_others() &&
                        shared_.peers.all_declare_versions();
  if (!complete) {
    return std::nullopt;
  }
  std::set<std::string> vms = declarations_.declarers(service);
  vms.erase(shared_.settings.vm);
  return vms;
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
  std::map<std::string, streams::version_sets> by_vm;
  for (const platform::key_value& each : records) {
    if (each.key == version_record::key()) {
      of_fleet = &each;
    } else {
      by_vm.emplace(each.key.substr(record_key_prefix.size()), add_record(each));
    }
  }
  const streams::stream_record fleet = fleet_versions_.on_read(of_fleet);
  if (!read_at_) {
    begin_history(of_fleet != nullptr ? &fleet : nullptr, by_vm);
  }
  declarations_.on_read(std::move(by_vm), called_at);
}

void stream_records::begin_history(const streams::stream_record* of_fleet,
                                   const std::map<std::string, streams::version_sets>& by_vm) {
  const time_point now = shared_.time.now();
  const std::optional<std::int64_t> era = of_fleet != nullptr ? of_fleet->era : std::nullopt;
  streams::version_sets in_service =
      of_fleet != nullptr ? of_fleet->recent_versions : streams::version_sets{};
  shared_.versions.inherit(in_service, now);
  trust_.on_first_read({of_fleet != nullptr, era}, shared_.era.current(), now);
  if (!trust_.is_unbroken(now)) {
    log_event(level::warning, "stream_records_older",
              {{"era", shared_.era.current()}, {"record_era", era.value_or(-1)}});
    return;
  }
  for (const auto& record : by_vm) {
    const streams::version_sets& mixed = record.second;
    std::erase_if(in_service, [&](const auto& each) { return mixed.contains(each.first); });
  }
  shared_.versions.complete(in_service, now);
  const auto own = by_vm.find(shared_.settings.vm);
  shared_.declaration.on_predecessor(own == by_vm.end() ? streams::version_sets{} : own->second);
}

// The streams of this VM's earlier process stay in its record.
streams::version_sets stream_records::add_record(const platform::key_value& found) {
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
  return std::move(record->recent_versions);
}

}  // namespace hawthornnotch::gateway::internal
