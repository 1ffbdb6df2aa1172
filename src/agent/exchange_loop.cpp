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

// How often the loop looks whether a fact has changed.
constexpr duration look_period{100};
// Shortest time between two rounds, however many facts change.
constexpr duration shortest_gap{200};

}  // namespace

exchange_loop::exchange_loop(agent_board& board, rpc::rpc_client& client)
    : board_(board), client_(client), random_(stable_hash(board.incarnation)) {}

asio::awaitable<void> exchange_loop::run() {
  const auto executor = co_await asio::this_coro::executor;
  time_point next_round = board_.time.now();
  time_point last = board_.time.now() - shortest_gap;
  std::uint64_t told = 0;
  while (!board_.stopping) {
    const time_point now = board_.time.now();
    const auto version = board_.members.with([](auto& members) { return members.fact_version(); });
    const bool round_due = now >= next_round;
    const bool news = version != told && now - last >= shortest_gap;
    if (round_due || news) {
      start_exchanges(choose(round_due), executor);
      told = version;
      last = now;
    }
    if (round_due) {
      next_round = now + board_.settings.round_period;
    }
    co_await sleep_for(look_period);
  }
}

asio::awaitable<void> exchange_loop::tell_peers() {
  for (const auto& peer : choose(true)) {
    co_await exchange(peer);
  }
}

std::vector<member::peer_contact> exchange_loop::choose(bool new_round) {
  return board_.members.with([&](member::membership& members) {
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
      board_.members.with([&](member::membership& members) { return members.message_for(peer); });
  std::string text = rpc::encode(message, board_.time.now());
  board_.counters->count("hawthornnotch_exchange_bytes_total", {{"direction", "sent"}},
                         text.size());
  const auto answer =
      co_await client_.call(peer.agent, std::string(rpc::exchange_method), std::move(text));
  if (!answer) {
    board_.counters->count("hawthornnotch_exchanges_total",
                           {{"end", rpc::to_string(answer.last_reason())}});
    observe::log_event(observe::level::debug, "exchange_failed",
                       {{"peer", peer.id}, {"reason", rpc::to_string(answer.last_reason())}});
    board_.members.with([&](member::membership& members) { members.exchange_failed(peer); });
    co_return;
  }
  board_.counters->count("hawthornnotch_exchange_bytes_total", {{"direction", "received"}},
                         answer->size());
  const auto decoded = rpc::decode_gossip(*answer, board_.time.now());
  board_.counters->count("hawthornnotch_exchanges_total",
                         {{"end", decoded ? "answered" : "malformed"}});
  board_.members.with([&](member::membership& members) {
    if (decoded) {
      members.receive_answer(peer, *decoded);
    } else {
      members.exchange_failed(peer);
    }
  });
}

}  // namespace hawthornnotch::agent
