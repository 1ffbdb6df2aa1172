#include "agent/router_link.h"

#include <memory>
#include <utility>

#include "agent/timer.h"
#include "hawthornnotch/observe/log.h"

namespace hawthornnotch::agent {

namespace asio = boost::asio;

router_link::router_link(agent_board& board, rpc::rpc_client& client)
    : board_(board), client_(client) {}

asio::awaitable<void> router_link::run() {
  while (!board_.stopping) {
    const time_point now = board_.time.now();
    if (board_.router.read() == nullptr) {
      co_await ask();
    }
    if (push_due(now)) {
      co_await push();
    } else if (now - last_ask_ >= board_.settings.load_push_period) {
      co_await ask();
    }
    co_await sleep_for(board_.settings.push_period);
  }
}

bool router_link::push_due(time_point now) {
  const auto status = board_.router.read();
  if (status == nullptr) {
    return false;
  }
  return board_.members.with([&](member::membership& members) {
    const bool behind = status->agent_incarnation != board_.incarnation ||
                        status->applied_version < members.version();
    const bool facts =
        status->agent_incarnation != board_.incarnation || pushed_facts_ != members.fact_version();
    return behind && (facts || now - last_push_ >= board_.settings.load_push_period);
  });
}

asio::awaitable<void> router_link::push() {
  rpc::router_snapshot snapshot;
  std::uint64_t facts = 0;
  board_.members.with([&](member::membership& members) {
    snapshot.fleet = members.snapshot();
    snapshot.version = members.version();
    snapshot.workspaces = members.workspaces();
    snapshot.complete = members.configuration_complete();
    facts = members.fact_version();
  });
  snapshot.agent_incarnation = board_.incarnation;
  last_push_ = board_.time.now();
  last_ask_ = last_push_;
  std::string text = rpc::encode(snapshot, last_push_);
  board_.counters->count("hawthornnotch_router_pushes_total", {});
  const auto answer = co_await client_.call(board_.settings.router_control,
                                            std::string(rpc::apply_method), std::move(text));
  if (answer) {
    pushed_facts_ = facts;
  }
  take(answer);
}

asio::awaitable<void> router_link::ask() {
  last_ask_ = board_.time.now();
  take(co_await client_.call(board_.settings.router_control, std::string(rpc::status_method), ""));
}

void router_link::take(const result<std::string, rpc::call_failure>& answer) {
  const bool reached_before = board_.router.read() != nullptr;
  auto status =
      answer ? rpc::decode_router_status(*answer)
             : result<rpc::router_status, rpc::codec_fault>(failed{rpc::codec_fault::wrong_shape});
  if (!status) {
    board_.router.post(nullptr);
    if (reached_before) {
      observe::log_event(observe::level::warning, "router_lost", {});
    }
    return;
  }
  if (!reached_before) {
    observe::log_event(observe::level::info, "router_reached",
                       {{"incarnation", status->incarnation}});
  }
  follow_draining(*status);
  board_.members.with(
      [&](member::membership& members) { members.apply_waiting(status->waiting_by_tier); });
  board_.router.post(std::make_shared<const rpc::router_status>(std::move(*status)));
}

// A router that drains takes its VM's share with it; its next start brings the share back.
void router_link::follow_draining(const rpc::router_status& status) {
  if (board_.stopping) {
    return;
  }
  if (status.draining && drained_ != status.incarnation) {
    drained_ = status.incarnation;
    board_.members.with([](member::membership& members) { members.leave(); });
  } else if (!status.draining && !drained_.empty()) {
    drained_.clear();
    board_.members.with([](member::membership& members) { members.rejoin(); });
  }
}

}  // namespace hawthornnotch::agent
