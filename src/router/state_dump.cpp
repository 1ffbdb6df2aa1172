#include "state_dump.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornnotch::router::internal {

namespace {

namespace json = boost::json;

constexpr std::size_t most_servers_shown = 2'000;
constexpr std::size_t most_workspaces_shown = 2'000;

std::string_view name_of(phase now) {
  switch (now) {
    case phase::serving:
      return "serving";
    case phase::noticed:
      return "stopping, new work taken";
    case phase::refusing:
      return "stopping, new work refused";
  }
  return "";
}

template <class Count>
json::array by_tier(const std::array<Count, tier_count>& counts) {
  json::array values;
  for (const Count count : counts) {
    values.emplace_back(count);
  }
  return values;
}

json::object to_json(const policy::service_view& view) {
  json::object object;
  object["serves"] = view.serves;
  object["queued"] = by_tier(view.queued);
  object["running"] = by_tier(view.running);
  object["drain_per_s"] = by_tier(view.drain_rate);
  object["candidates"] = view.candidates;
  object["ejected"] = view.ejected;
  return object;
}

json::object to_json(const policy::server_view& view) {
  json::object object;
  object["backend_server"] = view.id;
  object["incarnation"] = view.incarnation;
  object["in_flight"] = view.in_flight;
  object["others"] = view.peer_in_flight;
  object["window"] = view.window;
  object["first_token_ms"] = view.first_token_ms;
  object["per_token_ms"] = view.per_token_ms;
  object["ejected"] = view.ejected;
  object["leaving"] = view.leaving;
  return object;
}

json::object to_json(const policy::scheduler_totals& totals) {
  json::object object;
  object["submitted"] = totals.submitted;
  object["assigned"] = totals.assigned;
  object["refused"] = totals.refused;
  object["preempted"] = totals.preempted;
  object["retried"] = totals.retried;
  object["completed"] = totals.completed;
  object["tokens"] = totals.tokens;
  object["wasted_tokens"] = totals.wasted_tokens;
  return object;
}

json::object scheduler_json(const policy::scheduler_view& view) {
  json::object object;
  json::array parts;
  for (const policy::service_view& part : view.services) {
    parts.emplace_back(to_json(part));
  }
  object["queues"] = std::move(parts);
  json::array servers;
  for (const policy::server_view& server : view.servers) {
    if (servers.size() < most_servers_shown) {
      servers.emplace_back(to_json(server));
    }
  }
  object["backend_servers"] = std::move(servers);
  object["totals"] = to_json(view.totals);
  object["waiting_by_tier"] = by_tier(view.waiting);
  return object;
}

json::object claims_json(const claim::claim_view& view) {
  json::object object;
  object["claiming"] = view.claiming;
  object["owned"] = view.owned;
  object["settling"] = view.settling;
  object["queued_writes"] = view.queued_writes;
  object["commits"] = view.commits;
  object["writes"] = view.writes;
  object["failed_commits"] = view.failed_commits;
  object["owned_total"] = view.owned_total;
  object["not_run_total"] = view.not_run_total;
  object["conflicts_total"] = view.conflicts_total;
  object["platform_down"] = view.platform_down;
  return object;
}

json::object control_json(const control_view& control) {
  json::object object;
  object["agent_incarnation"] = control.agent_incarnation;
  object["version"] = control.version;
  object["complete"] = control.complete;
  object["entry_vms"] = control.fleet->entry_vms.size();
  json::object revisions;
  for (const auto& [name, parameters] : control.workspaces) {
    if (revisions.size() < most_workspaces_shown) {
      revisions[name] = parameters.revision;
    }
  }
  object["workspaces"] = std::move(revisions);
  return object;
}

std::string_view name_of(policy::trace_event_kind kind) {
  switch (kind) {
    case policy::trace_event_kind::queued:
      return "queued";
    case policy::trace_event_kind::assigned:
      return "assigned";
    case policy::trace_event_kind::share_turn:
      return "share_turn";
    case policy::trace_event_kind::no_room:
      return "no_room";
    case policy::trace_event_kind::refused:
      return "refused";
    case policy::trace_event_kind::preempted:
      return "preempted";
    case policy::trace_event_kind::queued_again:
      return "queued_again";
    case policy::trace_event_kind::finished:
      return "finished";
  }
  return "";
}

}  // namespace

std::string dump_json(const services& shared, const lifecycle& phases, std::string_view incarnation,
                      listener_counts counts) {
  json::object dump;
  dump["program"] = "hawthornnotch-router";
  dump["vm"] = shared.settings.vm;
  dump["failure_domain"] = shared.settings.failure_domain;
  dump["incarnation"] = incarnation;
  dump["phase"] = name_of(phases.now());
  dump["connections"] = counts.connections;
  dump["requests_in_progress"] = counts.requests;
  dump["control"] = control_json(*shared.control.view());
  dump["scheduler"] = scheduler_json(shared.scheduler.view());
  dump["claims"] = claims_json(shared.claims.view());
  dump["outcomes"] = json::parse(shared.outcomes.summary_json());
  return json::serialize(dump);
}

std::optional<std::string> explain_json(const services& shared, std::string_view request_id) {
  json::value explained = json::parse(shared.decisions.explain_json(request_id));
  json::value* steps = explained.as_object().if_contains("steps");
  if (steps == nullptr || steps->as_array().empty()) {
    return std::nullopt;
  }
  // The step `queued` holds the ticket, by which the scheduler's own notes are found.
  std::uint64_t ticket = 0;
  for (const json::value& step : steps->as_array()) {
    const json::value* found = step.as_object().if_contains("ticket");
    if (found != nullptr && found->is_number()) {
      ticket = found->to_number<std::uint64_t>();
    }
  }
  json::array notes;
  for (const policy::trace_event& note : shared.scheduler.explain(ticket)) {
    json::object shown;
    shown["at_ms"] = note.at.ms;
    shown["what"] = name_of(note.kind);
    shown["backend_server"] = note.backend_server;
    shown["value"] = note.value;
    notes.emplace_back(std::move(shown));
  }
  explained.as_object()["scheduler"] = std::move(notes);
  return json::serialize(explained);
}

}  // namespace hawthornnotch::router::internal
