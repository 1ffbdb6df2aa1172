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

/// Pause after the records could not be read.
constexpr duration read_retry_period{2'000};
constexpr std::chrono::milliseconds check_period{50};
constexpr duration read_interval_per_vm{4};
/// While nothing is to be read and versions are not mixed.
constexpr std::chrono::milliseconds idle_check_period{500};
constexpr duration min_read_interval{250};
/// How long a request waits for the records once they are being read.
constexpr duration max_read_time{500};
constexpr std::chrono::milliseconds read_poll_period{5};

}  // namespace

stream_records::stream_records(gateway_state& shared, platform::key_value_store& store,
                               const asio::any_io_executor& executor)
    : shared_(shared),
      store_(store),
      executor_(executor),
      timer_(executor),
      fleet_versions_(shared, store),
      own_record_(shared, store, store_streams_) {}

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
  own_record_.on_store_restored();
}

duration stream_records::read_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_read_interval, read_interval_per_vm * vms);
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
  if (own_record_.outlived_streams()) {
    shared_.declaration.on_no_predecessor();
  }
  const bool mixed = predecessor_known() && own_record_.update();
  // Versions that have left stay in this VM's record before they leave the fleet's.
  if (!mixed || shared_.declaration.recorded() == shared_.versions.mixed_services(now)) {
    fleet_versions_.update(records_are_whole());
  }
  return needs_reading || mixed;
}

bool stream_records::predecessor_known() const {
  return read_at_ || own_record_.outlived_streams();
}

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

bool stream_records::history_known() const {
  const auto& list = shared_.servers.newest();
  const bool listed = list && trust_.shows_all_servers(list->read_at);
  return shared_.versions.is_complete() || listed || own_record_.outlived_streams();
}

asio::awaitable<void> stream_records::refresh(time_point since) {
  const time_point end = shared_.time.now() + read_interval() + max_read_time;
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
result<streams::begin_facts, streams::begin_doubt> stream_records::begin_facts(
    std::string_view service, time_point since) const {
  if (!declarations_.is_read_since(since)) {
    return failed{streams::begin_doubt::records_unread};
  }
  if (!trust_.is_unbroken(shared_.time.now())) {
    return failed{streams::begin_doubt::records_lost};
  }
  if (!shared_.peers.knows_others() || !shared_.peers.all_declare_versions()) {
    return failed{streams::begin_doubt::unknown_build};
  }
  return streams::gather_facts(service, declarations_,
                               {own_record_.known_vms(), shared_.versions.base(service)});
}

void stream_records::read() {
  reading_ = true;
  const time_point called_at = shared_.time.now();
  read_tried_at_ = called_at;
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.read_prefix(std::string(stream_record_prefix),
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
  own_stream_record::found_records found;
  streams::declaration_table::declaration_map by_vm;
  for (const platform::key_value& each : records) {
    if (each.key == version_record::key()) {
      of_fleet = &each;
    } else {
      const streams::vm_declaration declared = take_stream_record(shared_, each);
      found.known_vms = std::max(found.known_vms, declared.known_vms);
      by_vm.emplace(each.key.substr(stream_record_prefix.size()), declared);
    }
    if (each.key == own_stream_record::key_of(shared_.settings.vm)) {
      found.own_revision = each.mod_revision;
    }
  }
  const streams::stream_record fleet = fleet_versions_.on_read(of_fleet);
  if (!read_at_) {
    own_record_.on_found(found);
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

}  // namespace hawthornnotch::gateway::internal
