#include "version_record.h"

#include <utility>

#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/streams/stream_record.h"

namespace hawthornnotch::gateway::internal {

using observe::level;
using observe::log_event;

namespace {

/// Below the prefix of the records of streams, so that one reading finds both.  No name of a VM
/// contains a slash.
constexpr std::string_view record_key = "hn/streams/fleet/versions";
/// Time in which a new process learns which VMs come before it.
constexpr duration ranking_time{1'000};
/// Pause after a call, whether it failed or not.
constexpr duration retry_pause{1'000};

}  // namespace

std::string_view version_record::key() { return record_key; }

streams::stream_record version_record::on_read(const platform::key_value* found) {
  known_record read;
  if (found != nullptr) {
    read.mod_revision = found->mod_revision;
    if (auto record = streams::decode_stream_record(found->value)) {
      read.content = std::move(*record);
    } else {
      log_event(level::warning, "stream_record_unreadable", {{"key", found->key}});
    }
  }
  known_ = read;
  return std::move(read.content);
}

bool version_record::is_writer() const {
  const time_point now = shared_.time.now();
  return now - started_at_ >= ranking_time && shared_.peers.rank(now).in_domain == 0;
}

std::optional<streams::version_sets> version_record::versions_in_service() const {
  const auto& list = shared_.servers.newest();
  const bool is_newer = list && list->version.era == shared_.era.current() &&
                        list->version.revision >= known_->mod_revision;
  if (!is_newer) {
    return std::nullopt;
  }
  streams::version_sets versions = streams::versions_of(list->entries);
  versions.insert(known_->content.recent_versions.begin(), known_->content.recent_versions.end());
  return versions;
}

void version_record::update(bool records_are_whole) {
  const time_point now = shared_.time.now();
  if (!known_ || call_open_ || now - tried_at_ < retry_pause || !is_writer()) {
    return;
  }
  auto versions = versions_in_service();
  if (!versions) {
    return;
  }
  streams::stream_record record = known_->content;
  record.recent_versions = std::move(*versions);
  if (records_are_whole) {
    record.era = shared_.era.current();
  }
  if (record != known_->content) {
    tried_at_ = now;
    write(std::move(record));
  }
}

void version_record::write(streams::stream_record record) {
  call_open_ = true;
  const std::string name(record_key);
  platform::transaction change;
  if (known_->mod_revision == 0) {
    change.conditions.emplace_back(platform::must_be_absent{name});
  } else {
    change.conditions.emplace_back(platform::must_be_unchanged{name, known_->mod_revision});
  }
  change.effects.emplace_back(platform::put{name, streams::encode(record)});
  change.read_on_conflict.push_back(name);
  const std::uint64_t restores_at_call = shared_.era.restores();
  store_.transact(std::move(change),
                  [this, restores_at_call, record = std::move(record)](const auto& outcome) {
                    call_open_ = false;
                    // What was written may be gone; the record is read again.
                    if (restores_at_call == shared_.era.restores()) {
                      on_written(outcome, record);
                    }
                  });
}

void version_record::on_written(
    const result<platform::transaction_outcome, platform::platform_failure>& outcome,
    streams::stream_record record) {
  if (!outcome) {
    store_versions_.on_failure(to_string(outcome.last_reason().kind));
    return;
  }
  store_versions_.on_success();
  if (!outcome->applied) {
    on_read(outcome->current.empty() ? nullptr : &outcome->current.front());
    return;
  }
  log_event(level::info, "versions_recorded",
            {{"services", record.recent_versions.size()}, {"era", record.era.value_or(-1)}});
  known_ = known_record{outcome->revision, std::move(record)};
}

}  // namespace hawthornnotch::gateway::internal
