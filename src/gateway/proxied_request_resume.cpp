// Ties a stream that is resumed to the software version that began it.
#include <boost/asio/awaitable.hpp>
#include <utility>

#include "hawthornnotch/observe/log.h"
#include "origin_link.h"
#include "proxied_request.h"
#include "stream_records.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// How long a stream waits until the store's record names it, where records are quick.
constexpr double usual_record_wait_ms = 100;

}  // namespace

bool proxied_request::resumes_stream() const {
  return is_resumable() && request_.last_event_id.value_or(0) > 0;
}

streams::stream_key proxied_request::stream_key_of(std::string attempt) const {
  return {workspace_ != nullptr ? workspace_->name : "", service_, std::move(attempt)};
}

std::optional<std::string> proxied_request::only_version(bool complete) const {
  const std::set<std::string> recent = shared_.versions.recent(service_, shared_.time.now());
  const bool known = complete && resumption_.records.history_known() && recent.size() == 1;
  return known ? std::optional(*recent.begin()) : std::nullopt;
}

asio::awaitable<std::optional<streams::stream_origin>> proxied_request::find_recorded_origin() {
  co_await resumption_.records.refresh(arrived_at_);
  co_return shared_.origins.find(stream_key_of(request_.resumed_attempt), shared_.time.now());
}

// Another VM may know of a version that this one has not seen yet, so records go first.
asio::awaitable<bool> proxied_request::find_version() {
  auto search = co_await resumption_.origins.find(stream_key_of(request_.resumed_attempt));
  std::optional<streams::stream_origin> origin = std::move(search.found);
  bool complete = false;
  if (!origin) {
    // A list read since the take-up came shows the version at which the stream began.
    const bool list_is_present = co_await resumption_.list.refresh(arrived_at_);
    complete = list_is_present || search.peers_answered;
  }
  if (!origin && !only_version(complete)) {
    origin = co_await find_recorded_origin();
  }
  if (origin) {
    required_version_ = origin->software_version;
    log_resumption("record", origin->age);
    co_return true;
  }
  required_version_ = only_version(complete);
  if (required_version_) {
    log_resumption("only_version", duration{-1});
    co_return true;
  }
  const bool proved = co_await prove_version();
  if (proved) {
    co_return true;
  }
  log_refusal(search.peers_answered);
  co_return false;
}

asio::awaitable<bool> proxied_request::prove_version() {
  auto facts = resumption_.records.begin_facts(service_, arrived_at_);
  if (!facts) {
    doubt_ = facts.last_reason();
    co_return false;
  }
  if (take_proof(*facts, "rule")) {
    co_return true;
  }
  std::set<std::string> vms;
  for (const auto& [vm, rule] : facts->beginners) {
    vms.insert(vm);
  }
  const auto search = co_await resumption_.origins.find_among(
      stream_key_of(request_.resumed_attempt), std::move(vms));
  if (search.found) {
    required_version_ = search.found->software_version;
    log_resumption("record", search.found->age);
    co_return true;
  }
  for (const std::string& vm : search.excluded) {
    facts->exclude(vm);
  }
  co_return take_proof(*facts, "exclusion");
}

bool proxied_request::take_proof(const streams::begin_facts& facts, std::string_view known_by) {
  const auto proved = streams::prove_version(facts, request_.resumed_attempt);
  if (!proved) {
    doubt_ = proved.last_reason();
    return false;
  }
  required_version_ = *proved;
  log_resumption(known_by, duration{-1});
  return true;
}

void proxied_request::log_refusal(bool peers_answered) const {
  const std::set<std::string> recent = shared_.versions.recent(service_, shared_.time.now());
  log_event(level::info, "resume_refused",
            {{"request_id", request_.id},
             {"resumes", request_.resumed_attempt},
             {"service", service_},
             {"recent_versions", recent.size()},
             {"history_known", resumption_.records.history_known()},
             {"peers_answered", peers_answered},
             {"doubt", streams::to_string(doubt_)},
             {"list_age_ms", shared_.servers.age(shared_.time.now()).value_or(duration{-1}).ms}});
}

bool proxied_request::begins_mixed_stream() const {
  const bool begins = is_resumable() && !required_version_;
  return begins && shared_.versions.is_mixed(service_, shared_.time.now());
}

streams::begin_permission proxied_request::permission_at(const std::string& version) const {
  return shared_.declaration.permission({service_, request_.id, shared_.versions.base(service_)},
                                        version, shared_.time.now());
}

bool proxied_request::may_begin_at(const std::string& version) const {
  return permission_at(version) != streams::begin_permission::needs_record ||
         resumption_.records.own().is_writable();
}

// A short wait for the record is better than servers of a version that get no work, and than tries
// at further servers of a version that has just failed.
std::vector<std::string> proxied_request::preferred_versions() const {
  const bool records_now = resumption_.records.own().can_record_quickly();
  if (!tried_servers_.empty() && records_now) {
    return {};
  }
  std::vector<std::string> versions;
  const std::string target = resumption_.records.own().target_version(service_, request_.id);
  const bool waits = permission_at(target) == streams::begin_permission::needs_record;
  if (!waits || records_now) {
    versions.push_back(target);
  }
  const auto allowed = shared_.declaration.preferred_version(
      {service_, request_.id, shared_.versions.base(service_)}, shared_.time.now());
  if (allowed && *allowed != target) {
    versions.push_back(*allowed);
  }
  return versions;
}

result<dispatch::placement, dispatch::placement_failure> proxied_request::choose_server(
    dispatch::placement_query query) {
  using choice = result<dispatch::placement, dispatch::placement_failure>;
  if (!begins_mixed_stream()) {
    query.software_version = required_version_;
    return shared_.dispatcher.choose(query);
  }
  std::optional<dispatch::placement> avoided;
  for (const std::string& version : preferred_versions()) {
    query.software_version = version;
    const choice chosen = shared_.dispatcher.choose(query);
    if (chosen && !chosen->avoided) {
      return prefer_sooner(*chosen, query);
    }
    if (chosen && !avoided) {
      avoided = *chosen;
    }
  }
  query.software_version.reset();
  choice chosen = shared_.dispatcher.choose(query);
  if (!chosen || may_begin_at(chosen->server.software_version)) {
    return chosen;
  }
  return avoided ? choice(*avoided)
                 : choice(failed{dispatch::placement_failure::no_server_of_version});
}

// A server that holds the prompt in its cache may be of the other version.
dispatch::placement proxied_request::prefer_sooner(const dispatch::placement& preferred,
                                                   dispatch::placement_query query) {
  if (!resumption_.records.own().can_record_quickly()) {
    return preferred;
  }
  query.software_version.reset();
  const auto any = shared_.dispatcher.choose(query);
  const bool sooner = any && any->expected_ms + usual_record_wait_ms < preferred.expected_ms;
  return sooner ? *any : preferred;
}

void proxied_request::log_resumption(std::string_view known_by, duration age) const {
  log_event(level::info, "stream_resumed",
            {{"request_id", request_.id},
             {"resumes", request_.resumed_attempt},
             {"service", service_},
             {"version", *required_version_},
             {"known_by", known_by},
             {"age_ms", age.ms}});
}

// The version is that of the server that answered: any other server rejects the request.
asio::awaitable<bool> proxied_request::on_stream_begun() {
  if (required_version_) {
    co_return true;
  }
  required_version_ = placement_.server.software_version;
  if (!is_resumable()) {
    co_return true;
  }
  streams::stream_origin origin{stream_key_of(request_.id), *required_version_, duration{0}};
  const bool may_begin = co_await resumption_.origins.begin_stream(std::move(origin));
  co_return may_begin;
}

proxied_request::attempt_outcome proxied_request::on_stream_unrecorded(
    net::response_stream& answer) {
  answer.cancel();
  finish_attempt(dispatch::attempt_end::abandoned);
  ++possible_executions_;
  shared_.metrics->count("hawthornnotch_streams_unrecorded_total", {{"service", service_}});
  log_event(level::info, "stream_unrecorded",
            {{"request_id", request_.id},
             {"service", service_},
             {"server", placement_.server.id},
             {"version", placement_.server.software_version}});
  return attempt_outcome::give_up;
}

void proxied_request::on_stream_finished() {
  shared_.origins.finish(stream_key_of(resumes_stream() ? request_.resumed_attempt : request_.id));
}

}  // namespace hawthornnotch::gateway::internal
