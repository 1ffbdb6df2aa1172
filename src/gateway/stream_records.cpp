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
constexpr duration renewal_period{20'000};
/// A record that is no longer renewed outlives all streams.
constexpr duration lease_ttl = streams::max_stream_age + renewal_period;
/// Pause after the records could not be read.
constexpr duration read_retry_period{2'000};
/// A record holds no more streams than this, the last that began; a value in the store is limited.
constexpr std::size_t max_recorded_streams = 8'000;
constexpr std::chrono::milliseconds check_period{50};
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
      started_at_(shared.time.now()) {}

void stream_records::start() {
  if (!scheduled_) {
    scheduled_ = true;
    schedule();
  }
}

void stream_records::schedule() {
  timer_.expires_after(check_period);
  timer_.async_wait([this](const boost::system::error_code& error) {
    scheduled_ = !error && update();
    if (scheduled_) {
      schedule();
    }
  });
}

duration stream_records::call_interval() const {
  const auto vms = static_cast<std::int64_t>(shared_.peers.member_count());
  return std::max(min_call_interval, call_interval_per_vm * vms);
}

std::string stream_records::own_key() const {
  return std::string(record_key_prefix) + shared_.settings.vm;
}

bool stream_records::update() {
  const time_point now = shared_.time.now();
  if (!history_known()) {
    const bool due = !read_tried_at_ || now - *read_tried_at_ >= read_retry_period;
    if (!reading_ && due) {
      read();
    }
    return true;
  }
  streams::version_sets mixed = shared_.versions.mixed_services(now);
  if (mixed.empty()) {
    // The lease runs out by itself.
    written_.clear();
    lease_ = 0;
    return false;
  }
  if (!call_open_ && now - called_at_ >= call_interval()) {
    called_at_ = now;
    update_record(std::move(mixed));
  }
  return true;
}

void stream_records::update_record(streams::version_sets mixed) {
  std::string value = compose(std::move(mixed));
  if (lease_ == 0 || value != written_) {
    write(std::move(value));
  } else if (shared_.time.now() - renewed_at_ >= renewal_period) {
    renew();
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

void stream_records::write(std::string value) {
  call_open_ = true;
  auto put_value = [this](std::string text, std::int64_t lease) {
    platform::transaction change;
    change.effects.emplace_back(platform::put{own_key(), text, lease});
    store_.transact(std::move(change), [this, text, lease](auto outcome) {
      if (!outcome) {
        finish_write(failed{outcome.last_reason()});
        return;
      }
      written_ = text;
      lease_ = lease;
      finish_write(ok);
    });
  };
  if (lease_ != 0) {
    put_value(std::move(value), lease_);
    return;
  }
  store_.grant_lease(lease_ttl, [this, put_value, value = std::move(value)](auto lease) {
    if (lease) {
      put_value(value, *lease);
    } else {
      finish_write(failed{lease.last_reason()});
    }
  });
}

void stream_records::renew() {
  call_open_ = true;
  store_.keep_alive(lease_, [this](auto lease) {
    if (lease) {
      finish_write(ok);
    } else {
      finish_write(failed{lease.last_reason()});
    }
  });
}

void stream_records::finish_write(const status<platform::platform_failure>& outcome) {
  call_open_ = false;
  if (outcome) {
    renewed_at_ = shared_.time.now();
    store_streams_.on_success();
    return;
  }
  const platform::failure_kind reason = outcome.last_reason().kind;
  lease_ = reason == platform::failure_kind::lease_gone ? 0 : lease_;
  store_streams_.on_failure(to_string(reason));
}

bool stream_records::history_known() const {
  return read_at_ || shared_.time.now() - started_at_ >= streams::max_stream_age;
}

asio::awaitable<void> stream_records::refresh() {
  const time_point now = shared_.time.now();
  const bool due = !read_tried_at_ || now - *read_tried_at_ >= call_interval();
  if (!reading_ && due) {
    read();
  }
  const time_point end = now + max_read_wait;
  asio::steady_timer timer(executor_);
  while (reading_ && shared_.time.now() < end) {
    timer.expires_after(read_poll_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void stream_records::read() {
  reading_ = true;
  read_tried_at_ = shared_.time.now();
  store_.read_prefix(std::string(record_key_prefix), [this](auto answer) {
    reading_ = false;
    if (answer) {
      store_streams_.on_success();
      read_at_ = shared_.time.now();
      add_records(answer->found);
      start();
    } else {
      store_streams_.on_failure(to_string(answer.last_reason().kind));
    }
  });
}

// The streams of this VM's earlier process stay in its record.
void stream_records::add_records(std::span<const platform::key_value> records) {
  const time_point now = shared_.time.now();
  for (const platform::key_value& each : records) {
    const auto record = streams::decode_stream_record(each.value);
    if (!record) {
      log_event(level::warning, "stream_record_unreadable", {{"key", each.key}});
      continue;
    }
    const auto source =
        each.key == own_key() ? streams::origin_source::own : streams::origin_source::peer;
    shared_.versions.inherit(record->recent_versions, now);
    for (const streams::stream_origin& stream : record->streams) {
      shared_.origins.record(stream, source, now);
    }
  }
}

}  // namespace hawthornnotch::gateway::internal
