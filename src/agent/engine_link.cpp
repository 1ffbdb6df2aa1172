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
constexpr std::uint64_t most_report_bytes = 64 * 1024;
constexpr duration order_period{500};
// Models of one engine that are passed on.
constexpr std::size_t most_models = 64;

std::string_view to_string(lease::order_outcome end) {
  switch (end) {
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
  load.seen.models = fields.texts("models");
  load.seen.fencing = fields.number("fencing", 0);
  if (!fields.ok() || load.seen.models.size() > most_models) {
    return std::nullopt;
  }
  return load;
}

engine_link::engine_link(agent_board& board, net::http_client& http, platform::client& platform)
    : board_(board),
      http_(http),
      holder_(lease::lease_holder::create(platform, board.time, board.settings.lease)),
      planner_(std::make_unique<lease::order_planner>(board.settings.planner, board.time)) {}

asio::awaitable<void> engine_link::poll() {
  const auto executor = co_await asio::this_coro::executor;
  while (!board_.stopping) {
    const auto mine = board_.members.with([](member::membership& members) {
      auto servers = members.backends().servers();
      std::erase_if(servers, [&](const auto& server) { return !members.polls(server.id); });
      return servers;
    });
    for (const auto& server : mine) {
      const std::lock_guard lock(mutex_);
      if (in_flight_.insert(server.id).second) {
        asio::co_spawn(asio::make_strand(executor), poll_one(server), asio::detached);
      }
    }
    co_await sleep_for(board_.settings.poll_period);
  }
}

asio::awaitable<void> engine_link::poll_one(backend_server server) {
  const auto load = co_await read_load(server.address, server.id);
  if (load) {
    take(server.id, server.incarnation, *load);
  }
  board_.counters->count("hawthornnotch_polls_total", {{"end", load ? "answered" : "failed"}});
  const std::lock_guard lock(mutex_);
  in_flight_.erase(server.id);
}

asio::awaitable<std::optional<engine_load>> engine_link::read_load(endpoint address,
                                                                   std::string id) {
  net::exchange_limits limits;
  limits.connect_timeout = board_.settings.call_timeout;
  limits.head_timeout = board_.settings.call_timeout;
  limits.read_timeout = board_.settings.call_timeout;
  limits.body_bytes = most_report_bytes;
  net::http_request request;
  request.target = "/load";
  const auto answer = co_await http_.fetch(std::move(address), std::move(request), limits);
  if (!answer || answer->status != status_ok) {
    co_return std::nullopt;
  }
  co_return parse_load(id, answer->body, board_.time.now());
}

void engine_link::take(const std::string& id, const std::string& incarnation,
                       const engine_load& load) {
  member::loaded_models seen;
  seen.backend_server = id;
  seen.incarnation = incarnation;
  seen.models = load.seen.models;
  std::sort(seen.models.begin(), seen.models.end());
  seen.observed_at_ms = static_cast<std::uint64_t>(board_.time.wall().ms);
  board_.members.with([&](member::membership& members) {
    members.apply_report(load.report);
    const auto* record = members.backends().find(id);
    const bool engine = record != nullptr && record->server.kind == backend_kind::engine;
    if (engine) {
      members.apply_models(seen);
    }
  });
}

asio::awaitable<void> engine_link::order() {
  const auto executor = co_await asio::this_coro::executor;
  while (!board_.stopping) {
    const bool candidate =
        board_.members.with([](member::membership& members) { return members.lease_candidate(); });
    holder_->step(candidate && !board_.settings.planner.replicas.empty());
    if (const auto number = holder_->fencing()) {
      for (const auto& wanted : plan(*number)) {
        asio::co_spawn(asio::make_strand(executor), carry_out(wanted), asio::detached);
      }
    }
    co_await sleep_for(order_period);
  }
}

std::vector<lease::engine_order> engine_link::plan(std::uint64_t fencing) {
  const auto fleet =
      board_.members.with([](member::membership& members) { return members.snapshot(); });
  return planner_.with([&](lease::order_planner& planner) { return planner.plan(fencing, fleet); });
}

// Observed before and after; the lease is asked again after each step that waited.
asio::awaitable<void> engine_link::carry_out(lease::engine_order order) {
  const auto before = co_await read_load(order.address, order.backend_server);
  auto end = lease::order_outcome::not_sent;
  if (before) {
    take(order.backend_server, order.incarnation, *before);
    const bool needed = planner_.with(
        [&](lease::order_planner& planner) { return planner.still_needed(order, before->seen); });
    if (!needed) {
      co_return;
    }
    if (holder_->fencing() == order.fencing && !board_.stopping) {
      end = co_await send(order);
    }
  }
  board_.counters->count("hawthornnotch_orders_total", {{"end", to_string(end)}});
  observe::log_event(observe::level::info, "engine_order",
                     {{"backend_server", order.backend_server},
                      {"model", order.model},
                      {"fencing", order.fencing},
                      {"end", to_string(end)}});
  planner_.with([&](lease::order_planner& planner) { planner.complete(order, end); });
  if (const auto after = co_await read_load(order.address, order.backend_server)) {
    take(order.backend_server, order.incarnation, *after);
  }
}

asio::awaitable<lease::order_outcome> engine_link::send(const lease::engine_order& order) {
  net::exchange_limits limits;
  limits.connect_timeout = board_.settings.call_timeout;
  limits.head_timeout = board_.settings.order_timeout;
  limits.read_timeout = board_.settings.call_timeout;
  limits.body_bytes = most_report_bytes;
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
