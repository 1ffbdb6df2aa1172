#include "agent/exchange_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "agent/timer.h"
#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/rpc/gossip_codec.h"

namespace hawthornnotch::agent {

namespace asio = boost::asio;

namespace {

// How often the loop checks for changed facts.
constexpr duration fact_check_period{100};
// Limits the rate of rounds while facts keep changing.
constexpr duration min_round_interval{200};

}  // namespace

exchange_loop::exchange_loop(agent_state& state, rpc::rpc_client& client)
    : state_(state), client_(client), random_(stable_hash(state.incarnation)) {}

asio::awaitable<void> exchange_loop::run() {
  const auto executor = co_await asio::this_coro::executor;
  time_point next_round = state_.time.now();
  time_point last_round = state_.time.now() - min_round_interval;
  std::uint64_t sent_version = 0;
  while (!state_.stopping) {
    const time_point now = state_.time.now();
    const auto version = state_.members.with([](auto& members) { return members.fact_version(); });
    const bool round_due = now >= next_round;
    const bool facts_changed = version != sent_version && now - last_round >= min_round_interval;
    if (round_due || facts_changed) {
      start_exchanges(choose(round_due), executor);
      sent_version = version;
      last_round = now;
    }
    if (round_due) {
      next_round = now + state_.settings.round_period;
    }
    co_await sleep_for(fact_check_period);
  }
}

asio::awaitable<void> exchange_loop::run_round() {
  for (const auto& peer : choose(true)) {
    co_await exchange(peer);
  }
}

std::vector<member::peer_contact> exchange_loop::choose(bool new_round) {
  return state_.members.with([&](member::membership& members) {
    if (new_round) {
      members.begin_round();
    }
    return members.choose_peers(random_);
  });
}

void exchange_loop::start_exchanges(const std::vector<member::peer_contact>& peers,
                                    const asio::any_io_executor& executor) {
  for (const auto& peer : peers) {
    {
      const std::lock_guard lock(mutex_);
      if (!in_flight_.insert(peer.agent).second) {
        continue;
      }
    }
    asio::co_spawn(
        executor,
        [this, peer]() -> asio::awaitable<void> {
          co_await exchange(peer);
          const std::lock_guard lock(mutex_);
          in_flight_.erase(peer.agent);
        },
        asio::detached);
  }
}

asio::awaitable<void> exchange_loop::exchange(member::peer_contact peer) {
  const auto message =
      state_.members.with([&](member::membership& members) { return members.message_for(peer); });
  std::string text = rpc::encode(message, state_.time.now());
  state_.metric_registry->count("hawthornnotch_exchange_bytes_total", {{"direction", "sent"}},
                                text.size());
  const auto answer =
      co_await client_.call(peer.agent, std::string(rpc::exchange_method), std::move(text));
  if (!answer) {
    state_.metric_registry->count("hawthornnotch_exchanges_total",
                                  {{"end", rpc::to_string(answer.last_reason())}});
    observe::log_event(observe::level::debug, "exchange_failed",
                       {{"peer", peer.id}, {"reason", rpc::to_string(answer.last_reason())}});
    state_.members.with([&](member::membership& members) { members.exchange_failed(peer); });
    co_return;
  }
  state_.metric_registry->count("hawthornnotch_exchange_bytes_total", {{"direction", "received"}},
                                answer->size());
  const auto decoded = rpc::decode_gossip(*answer, state_.time.now());
  state_.metric_registry->count("hawthornnotch_exchanges_total",
                                {{"end", decoded ? "answered" : "malformed"}});
  state_.members.with([&](member::membership& members) {
    if (decoded) {
      members.receive_answer(peer, *decoded);
    } else {
      members.exchange_failed(peer);
    }
  });
}

}  // namespace hawthornnotch::agent
