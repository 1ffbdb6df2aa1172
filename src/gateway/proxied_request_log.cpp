// Log events and metrics of a request.
#include "hawthornnotch/observe/log.h"
#include "limit_events.h"
#include "proxied_request.h"

namespace hawthornnotch::gateway::internal {

using observe::level;
using observe::log_event;

namespace {

// Stands for a slowness that no report tells.
constexpr double unknown = -1.0;

}  // namespace

void proxied_request::record_held_back() const {
  const auto wait = shared_.dispatcher.shortest_remaining_pause(service_, shared_.time.now());
  shared_.metrics->count("hawthornnotch_requests_held_back_total", {{"service", service_}});
  log_event(level::info, "request_held_back",
            {{"request_id", request_.id},
             {"service", service_},
             {"wait_ms", wait.value_or(duration{-1}).ms}});
}

void proxied_request::log_attempt(const dispatch::placement& to) const {
  const time_point now = shared_.time.now();
  const dispatch::report_inputs inputs = shared_.dispatcher.inputs_of(to.server, now);
  log_event(
      level::info, "request_sent",
      {{"request_id", request_.id},
       {"service", service_},
       {"server", to.server.id},
       {"version", to.server.software_version},
       {"send", tried_servers_.size()},
       {"urgency", table_->urgency(*route_, workspace_)},
       {"resume_after", splitter_.last_id().value_or(0)},
       {"resumes", request_.resumed_attempt},
       {"rank", to.rank},
       {"copies_prompt", to.fetch_from.has_value()},
       {"kept_for_streams", to.reserved_for_streams},
       {"candidates", to.candidates},
       {"at_limit", to.at_limit},
       {"unread_tokens", to.uncached_tokens},
       {"server_running", to.running},
       {"shared_servers", inputs.shared},
       {"slowness", inputs.speed ? inputs.speed->slowness : unknown},
       {"slowness_age_ms", inputs.speed ? (now - inputs.speed->at).ms : -1},
       {"slowness_from_peer", inputs.speed && inputs.speed->from_peer},
       {"reported_others", inputs.work ? std::int64_t{inputs.work->others()} : -1},
       {"reported_waiting", inputs.work ? std::int64_t{inputs.work->waiting()} : -1},
       {"load_age_ms", inputs.work ? inputs.work->age(now).ms : -1},
       {"expected_ms", static_cast<std::int64_t>(to.expected_ms)},
       {"loss", to.loss},
       {"time_left_ms", time_remaining().ms},
       {"list_revision", shared_.servers.newest() ? shared_.servers.newest()->version.revision : 0},
       {"list_age_ms", shared_.servers.age(now).value_or(duration{-1}).ms}});
  const dispatch::server_incarnation server{to.server.id, to.server.start_time_ms};
  if (const auto limit = shared_.dispatcher.limits().find(server, now)) {
    log_permit(*limit, request_.id);
  }
}

void proxied_request::log_request() {
  const duration total = shared_.time.now() - arrived_at_;
  const std::string_view route = route_ != nullptr ? std::string_view(route_->name) : "";
  shared_.metrics->count("hawthornnotch_requests_total",
                         {{"outcome", outcome_}, {"service", service_}});
  shared_.metrics->time("hawthornnotch_request_ms", {{"service", service_}},
                        static_cast<double>(total.ms));
  if (time_to_first_event_) {
    shared_.metrics->time("hawthornnotch_first_event_ms", {{"service", service_}},
                          static_cast<double>(time_to_first_event_->ms));
  }
  log_event(level::info, "request",
            {{"request_id", request_.id},
             {"route", route},
             {"workspace", workspace_ != nullptr ? std::string_view(workspace_->name) : ""},
             {"service", service_},
             {"server", tried_servers_.empty() ? std::string_view()
                                               : std::string_view(tried_servers_.back())},
             {"outcome", outcome_},
             {"status", status_},
             {"sends", tried_servers_.size()},
             {"events", events_},
             {"prompt_tokens", request_.prompt.prompt_tokens},
             {"max_output_tokens", request_.prompt.max_output_tokens},
             {"expected_ms", static_cast<std::int64_t>(placement_.expected_ms)},
             {"server_running", placement_.running},
             {"reported_running",
              reported_load_ ? static_cast<std::int64_t>(reported_load_->running) : -1},
             {"reported_waiting",
              reported_load_ ? static_cast<std::int64_t>(reported_load_->waiting) : -1},
             {"rank", placement_.rank},
             {"first_ms", time_to_first_event_.value_or(duration{-1}).ms},
             {"longest_gap_ms", longest_gap_.ms},
             {"total_ms", total.ms},
             {"config_version", table_ ? table_->version() : 0}});
}

}  // namespace hawthornnotch::gateway::internal
