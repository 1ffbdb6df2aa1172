#include "request_record.h"

#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::router::internal {

namespace {

std::string_view name_of(policy::attempt_end end) {
  switch (end) {
    case policy::attempt_end::completed:
      return "completed";
    case policy::attempt_end::caller_gone:
      return "caller_gone";
    case policy::attempt_end::preempted:
      return "preempted";
    case policy::attempt_end::connect_failed:
      return "connect_failed";
    case policy::attempt_end::server_busy:
      return "server_busy";
    case policy::attempt_end::stream_failed:
      return "stream_failed";
  }
  return "";
}

}  // namespace

request_record::request_record(router_components& shared, const classified_request& request)
    : shared_(shared), request_(request), arrived_(shared.time.now()), last_token_(arrived_) {
  record_step("accepted", {{"workspace", request.profile.workspace},
                           {"class", request.profile.traffic_class.name},
                           {"tier", request.profile.traffic_class.service_tier},
                           {"serves", request.profile.serves}});
}

void request_record::record_step(std::string_view step,
                                 std::initializer_list<observe::field> fields) {
  shared_.decisions.add(request_.id, shared_.time.now(), step, fields);
}

void request_record::set_ticket(policy::ticket ticket) {
  ticket_ = ticket;
  record_step("queued", {{"ticket", ticket}});
}

void request_record::on_token(std::uint32_t attempt) {
  last_token_ = shared_.time.now();
  ++tokens_;
  if (!first_token_) {
    first_token_ = last_token_;
  }
  if (token_attempt_ != attempt) {
    token_attempt_ = attempt;
    shared_.scheduler.on_first_token(ticket_, attempt);
  }
  shared_.scheduler.on_tokens(ticket_, attempt, 1);
}

void request_record::record_assignment(const policy::assigned& assignment) {
  ++attempts_;
  backend_server_ = assignment.backend_server;
  if (!assigned_) {
    assigned_ = shared_.time.now();
  }
  record_step("assigned", {{"backend_server", assignment.backend_server},
                           {"attempt", assignment.attempt},
                           {"priority", assignment.engine_priority}});
}

void request_record::record_failure(const policy::assigned& assignment,
                                    const attempt_failed& failure) {
  record_step("attempt_failed", {{"backend_server", assignment.backend_server},
                                 {"attempt", assignment.attempt},
                                 {"end", name_of(failure.end)},
                                 {"may_have_run", failure.may_have_run}});
  observe::log_event(observe::level::warning, "attempt_failed",
                     {{"request", request_.id},
                      {"backend_server", assignment.backend_server},
                      {"attempt", assignment.attempt},
                      {"end", name_of(failure.end)}});
}

observe::finished_request request_record::summary(observe::request_end end) const {
  const time_point now = shared_.time.now();
  observe::finished_request finished;
  finished.workspace = request_.profile.workspace;
  finished.class_name = request_.profile.traffic_class.name;
  finished.service_tier = request_.profile.traffic_class.service_tier;
  finished.target = request_.profile.traffic_class.target;
  finished.backend_server = backend_server_;
  finished.end = end;
  finished.queue_wait = assigned_.value_or(now) - arrived_;
  if (first_token_) {
    finished.first_token = *first_token_ - arrived_;
  }
  if (tokens_ > 1) {
    finished.between_tokens =
        (last_token_ - *first_token_) / static_cast<std::int64_t>(tokens_ - 1);
  }
  finished.completion = now - arrived_;
  const bool is_useful = end == observe::request_end::completed;
  finished.useful_tokens = is_useful ? tokens_ : 0;
  finished.wasted_tokens = is_useful ? 0 : tokens_;
  finished.retries = attempts_ > 1 ? attempts_ - 1 : 0;
  return finished;
}

void request_record::finish(observe::request_end end, std::string_view reason) {
  const observe::finished_request finished = summary(end);
  shared_.outcomes.record(finished);
  record_step("ended", {{"end", observe::to_string(end)}, {"why", reason}});
  observe::log_event(observe::level::info, "request_ended",
                     {{"request", request_.id},
                      {"workspace", finished.workspace},
                      {"class", finished.class_name},
                      {"backend_server", finished.backend_server},
                      {"end", observe::to_string(end)},
                      {"why", reason},
                      {"queue_ms", finished.queue_wait.ms},
                      {"total_ms", finished.completion.ms},
                      {"tokens", tokens_},
                      {"retries", finished.retries}});
}

}  // namespace hawthornnotch::router::internal
