#include "agent/router_link.h"

#include <memory>
#include <utility>

#include "agent/timer.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::agent {

namespace asio = boost::asio;

router_link::router_link(agent_state& state, rpc::rpc_client& client)
    : state_(state), client_(client) {}

asio::awaitable<void> router_link::run() {
  while (!state_.stopping) {
    const time_point now = state_.time.now();
    if (state_.router.read() == nullptr) {
      co_await fetch_status();
    }
    if (needs_push(now)) {
      co_await push();
    } else if (now - last_contact_ >= state_.settings.load_push_period) {
      co_await fetch_status();
    }
    co_await sleep_for(state_.settings.push_period);
  }
}

bool router_link::needs_push(time_point now) {
  const auto status = state_.router.read();
  if (status == nullptr) {
    return false;
  }
  return state_.members.with([&](member::membership& members) {
    const bool behind = status->agent_incarnation != state_.incarnation ||
                        status->applied_version < members.version();
    const bool facts_changed = status->agent_incarnation != state_.incarnation ||
                               pushed_fact_version_ != members.fact_version();
    return behind && (facts_changed || now - last_push_ >= state_.settings.load_push_period);
  });
}

asio::awaitable<void> router_link::push() {
  rpc::router_snapshot snapshot;
  std::uint64_t facts = 0;
  state_.members.with([&](member::membership& members) {
    snapshot.fleet = members.snapshot();
    snapshot.version = members.version();
    snapshot.workspaces = members.workspaces();
    snapshot.complete = members.configuration_complete();
    facts = members.fact_version();
  });
  snapshot.agent_incarnation = state_.incarnation;
  last_push_ = state_.time.now();
  last_contact_ = last_push_;
  std::string text = rpc::encode(snapshot, last_push_);
  state_.metric_registry->count("hawthornnotch_router_pushes_total", {});
  const auto answer = co_await client_.call(state_.settings.router_control,
                                            std::string(rpc::apply_method), std::move(text));
  if (answer) {
    pushed_fact_version_ = facts;
  }
  apply_answer(answer);
}

asio::awaitable<void> router_link::fetch_status() {
  last_contact_ = state_.time.now();
  apply_answer(
      co_await client_.call(state_.settings.router_control, std::string(rpc::status_method), ""));
}

void router_link::apply_answer(const result<std::string, rpc::call_failure>& answer) {
  const bool was_reachable = state_.router.read() != nullptr;
  auto status =
      answer ? rpc::decode_router_status(*answer)
             : result<rpc::router_status, rpc::codec_fault>(failed{rpc::codec_fault::wrong_shape});
  if (!status) {
    state_.router.post(nullptr);
    if (was_reachable) {
      observe::log_event(observe::level::warning, "router_lost", {});
    }
    return;
  }
  if (!was_reachable) {
    observe::log_event(observe::level::info, "router_reached",
                       {{"incarnation", status->incarnation}});
  }
  follow_draining(*status);
  state_.members.with(
      [&](member::membership& members) { members.apply_waiting(status->waiting_by_tier); });
  state_.router.post(std::make_shared<const rpc::router_status>(std::move(*status)));
}

// While the router drains, this VM leaves the set of VMs that share the load; it rejoins when a new
// router incarnation starts.
void router_link::follow_draining(const rpc::router_status& status) {
  if (state_.stopping) {
    return;
  }
  if (status.draining && drained_incarnation_ != status.incarnation) {
    drained_incarnation_ = status.incarnation;
    state_.members.with([](member::membership& members) { members.leave(); });
  } else if (!status.draining && !drained_incarnation_.empty()) {
    drained_incarnation_.clear();
    state_.members.with([](member::membership& members) { members.rejoin(); });
  }
}

}  // namespace hawthornnotch::agent
