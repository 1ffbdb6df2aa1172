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
  required_version_ = std::move(search.base);
  if (required_version_) {
    log_resumption("base_version", duration{-1});
    co_return true;
  }
  const bool excluded = co_await find_by_exclusion();
  if (excluded) {
    co_return true;
  }
  log_refusal(search.peers_answered);
  co_return false;
}

asio::awaitable<bool> proxied_request::find_by_exclusion() {
  const auto vms = resumption_.records.possible_beginners(service_, arrived_at_);
  if (!vms) {
    co_return false;
  }
  auto search =
      co_await resumption_.origins.find_among(stream_key_of(request_.resumed_attempt), *vms);
  if (search.found) {
    required_version_ = search.found->software_version;
    log_resumption("record", search.found->age);
  } else if (search.base) {
    required_version_ = std::move(search.base);
    log_resumption("exclusion", duration{-1});
  }
  co_return required_version_.has_value();
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
             {"list_age_ms", shared_.servers.age(shared_.time.now()).value_or(duration{-1}).ms}});
}

std::optional<std::string> proxied_request::undeclared_base() const {
  const time_point now = shared_.time.now();
  const bool declared = shared_.declaration.covers(service_, now);
  const bool begins = is_resumable() && !required_version_;
  return begins && !declared && shared_.versions.is_mixed(service_, now)
             ? shared_.versions.base(service_)
             : std::nullopt;
}

result<dispatch::placement, dispatch::placement_failure> proxied_request::choose_server(
    dispatch::placement_query query) {
  query.software_version = required_version_;
  if (const auto base = undeclared_base()) {
    query.software_version = *base;
    auto chosen = shared_.dispatcher.choose(query);
    if (chosen) {
      return chosen;
    }
    query.software_version.reset();
  }
  return shared_.dispatcher.choose(query);
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
asio::awaitable<void> proxied_request::on_stream_begun() {
  if (required_version_) {
    co_return;
  }
  required_version_ = placement_.server.software_version;
  if (is_resumable()) {
    streams::stream_origin origin{stream_key_of(request_.id), *required_version_, duration{0}};
    co_await resumption_.origins.begin_stream(std::move(origin));
  }
}

void proxied_request::on_stream_finished() {
  shared_.origins.finish(stream_key_of(resumes_stream() ? request_.resumed_attempt : request_.id));
}

}  // namespace hawthornnotch::gateway::internal
