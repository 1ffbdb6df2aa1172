#include "agent/engine_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "agent/timer.h"
#include "hawthornnotch/member/json_fields.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::agent {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr std::uint64_t max_report_bytes = 64 * 1024;
constexpr duration order_period{500};
// Load reports that list more models are rejected.
constexpr std::size_t max_models = 64;

std::string_view to_string(lease::order_outcome outcome) {
  switch (outcome) {
    case lease::order_outcome::carried_out:
      return "carried_out";
    case lease::order_outcome::refused_old_number:
      return "refused_old_number";
    case lease::order_outcome::not_sent:
      return "not_sent";
    case lease::order_outcome::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

std::optional<engine_load> parse_load(const std::string& id, std::string_view text,
                                      time_point now) {
  const auto value = parse_json(text);
  if (!value) {
    return std::nullopt;
  }
  json_fields fields(*value);
  engine_load load;
  load.report.backend_server = id;
  load.report.running = static_cast<std::uint32_t>(fields.number("running"));
  load.report.waiting = static_cast<std::uint32_t>(fields.number("waiting"));
  const auto age = static_cast<std::int64_t>(fields.number("age_ms", 0));
  load.report.measured = now - duration{std::max<std::int64_t>(age, 0)};
  load.observation.models = fields.texts("models");
  load.observation.fencing = fields.number("fencing", 0);
  if (!fields.ok() || load.observation.models.size() > max_models) {
    return std::nullopt;
  }
  return load;
}

engine_link::engine_link(agent_state& state, net::http_client& http, platform::client& platform)
    : state_(state),
      http_(http),
      holder_(lease::lease_holder::create(platform, state.time, state.settings.lease)),
      planner_(std::make_unique<lease::order_planner>(state.settings.planner, state.time)) {}

asio::awaitable<void> engine_link::poll() {
  const auto executor = co_await asio::this_coro::executor;
  while (!state_.stopping) {
    const auto assigned = state_.members.with([](member::membership& members) {
      auto servers = members.backends().servers();
      std::erase_if(servers, [&](const auto& server) { return !members.polls(server.id); });
      return servers;
    });
    for (const auto& server : assigned) {
      const std::lock_guard lock(mutex_);
      if (in_flight_.insert(server.id).second) {
        asio::co_spawn(asio::make_strand(executor), poll_one(server), asio::detached);
      }
    }
    co_await sleep_for(state_.settings.poll_period);
  }
}

asio::awaitable<void> engine_link::poll_one(backend_server server) {
  const auto load = co_await read_load(server.address, server.id);
  if (load) {
    record_load(server.id, server.incarnation, *load);
  }
  state_.metric_registry->count("hawthornnotch_polls_total",
                                {{"end", load ? "answered" : "failed"}});
  const std::lock_guard lock(mutex_);
  in_flight_.erase(server.id);
}

asio::awaitable<std::optional<engine_load>> engine_link::read_load(endpoint address,
                                                                   std::string id) {
  net::exchange_limits limits;
  limits.connect_timeout = state_.settings.call_timeout;
  limits.head_timeout = state_.settings.call_timeout;
  limits.read_timeout = state_.settings.call_timeout;
  limits.body_bytes = max_report_bytes;
  net::http_request request;
  request.target = "/load";
  const auto answer = co_await http_.fetch(std::move(address), std::move(request), limits);
  if (!answer || answer->status != status_ok) {
    co_return std::nullopt;
  }
  co_return parse_load(id, answer->body, state_.time.now());
}

void engine_link::record_load(const std::string& id, const std::string& incarnation,
                              const engine_load& load) {
  member::loaded_models observation;
  observation.backend_server = id;
  observation.incarnation = incarnation;
  observation.models = load.observation.models;
  std::sort(observation.models.begin(), observation.models.end());
  observation.observed_at_ms = static_cast<std::uint64_t>(state_.time.wall().ms);
  state_.members.with([&](member::membership& members) {
    members.apply_report(load.report);
    const auto* record = members.backends().find(id);
    const bool engine = record != nullptr && record->server.kind == backend_kind::engine;
    if (engine) {
      members.apply_models(observation);
    }
  });
}

asio::awaitable<void> engine_link::run_orders() {
  const auto executor = co_await asio::this_coro::executor;
  while (!state_.stopping) {
    const bool candidate =
        state_.members.with([](member::membership& members) { return members.lease_candidate(); });
    holder_->step(candidate && !state_.settings.planner.replicas.empty());
    if (const auto number = holder_->fencing()) {
      for (const auto& planned : plan(*number)) {
        asio::co_spawn(asio::make_strand(executor), execute(planned), asio::detached);
      }
    }
    co_await sleep_for(order_period);
  }
}

std::vector<lease::engine_order> engine_link::plan(std::uint64_t fencing) {
  const auto fleet =
      state_.members.with([](member::membership& members) { return members.snapshot(); });
  return planner_.with([&](lease::order_planner& planner) { return planner.plan(fencing, fleet); });
}

// Reads the engine's load before and after the order.  The lease is checked again before sending,
// since it may have been lost while the first read was waiting.
asio::awaitable<void> engine_link::execute(lease::engine_order order) {
  const auto before = co_await read_load(order.address, order.backend_server);
  auto outcome = lease::order_outcome::not_sent;
  if (before) {
    record_load(order.backend_server, order.incarnation, *before);
    const bool needed = planner_.with([&](lease::order_planner& planner) {
      return planner.still_needed(order, before->observation);
    });
    if (!needed) {
      co_return;
    }
    if (holder_->fencing() == order.fencing && !state_.stopping) {
      outcome = co_await send(order);
    }
  }
  state_.metric_registry->count("hawthornnotch_orders_total", {{"end", to_string(outcome)}});
  observe::log_event(observe::level::info, "engine_order",
                     {{"backend_server", order.backend_server},
                      {"model", order.model},
                      {"fencing", order.fencing},
                      {"end", to_string(outcome)}});
  planner_.with([&](lease::order_planner& planner) { planner.complete(order, outcome); });
  if (const auto after = co_await read_load(order.address, order.backend_server)) {
    record_load(order.backend_server, order.incarnation, *after);
  }
}

asio::awaitable<lease::order_outcome> engine_link::send(const lease::engine_order& order) {
  net::exchange_limits limits;
  limits.connect_timeout = state_.settings.call_timeout;
  limits.head_timeout = state_.settings.order_timeout;
  limits.read_timeout = state_.settings.call_timeout;
  limits.body_bytes = max_report_bytes;
  limits.reuse_connection = false;
  boost::json::object body;
  body["kind"] = "load_model";
  body["model"] = order.model;
  body["fencing"] = order.fencing;
  net::http_request request{
      "POST", "/orders", {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
  const auto answer = co_await http_.fetch(order.address, std::move(request), limits);
  if (!answer) {
    co_return answer.last_reason().request_may_have_been_sent ? lease::order_outcome::unknown
                                                              : lease::order_outcome::not_sent;
  }
  if (answer->status == status_conflict) {
    co_return lease::order_outcome::refused_old_number;
  }
  co_return answer->status == status_ok ? lease::order_outcome::carried_out
                                        : lease::order_outcome::unknown;
}

boost::json::object engine_link::dump() {
  const auto status = holder_->status();
  boost::json::object out;
  out["phase"] = lease::to_string(status.phase);
  out["fencing"] = status.fencing;
  out["holder"] = status.last_seen_holder;
  planner_.with([&](lease::order_planner& planner) {
    out["outstanding_orders"] = planner.outstanding();
    boost::json::object missing;
    for (const auto& [model, count] : planner.missing()) {
      missing[model] = count;
    }
    out["missing_replicas"] = std::move(missing);
  });
  return out;
}

}  // namespace hawthornnotch::agent
