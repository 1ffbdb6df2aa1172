// A failure domain of agents that exchange messages in memory, on a simulated clock.
#ifndef HAWTHORNNOTCH_TESTS_MEMBER_FLEET_OF_AGENTS_H_
#define HAWTHORNNOTCH_TESTS_MEMBER_FLEET_OF_AGENTS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornnotch/member/membership.h"

namespace hawthornnotch::member {

inline entry_vm make_vm(int number) {
  const auto port = static_cast<std::uint16_t>(7000 + number);
  const std::string id = "vm-" + std::to_string(number);
  return {id, id + "-i1", "zg-istok", {"127.0.0.1", port}, {"127.0.0.1", 1}, false};
}

inline backend_server make_server(const std::string& id, const std::string& incarnation) {
  backend_server server;
  server.id = id;
  server.incarnation = incarnation;
  server.failure_domain = "zg-istok";
  server.address = {"127.0.0.1", 9000};
  server.serves = {"m"};
  return server;
}

class fleet_of_agents {
 public:
  explicit fleet_of_agents(membership_settings settings = {}) : settings_(std::move(settings)) {
    settings_.seeds = {make_vm(0).agent, make_vm(1).agent};
  }

  membership& start(int number) {
    const entry_vm vm = make_vm(number);
    const std::string log_id = "log-" + std::to_string(++starts_);
    agents_[vm.id] = membership::create(vm, log_id, settings_, time);
    return *agents_[vm.id];
  }
  void stop(int number) { agents_.erase(make_vm(number).id); }
  membership& at(int number) { return *agents_.at(make_vm(number).id); }
  void disconnect(int from, int to) { disconnected_.insert({make_vm(from).id, make_vm(to).id}); }
  void reconnect_all() { disconnected_.clear(); }

  // Advances the clock by a second and lets every agent exchange with the peers that it chooses.
  void round() {
    time.advance(duration{1'000});
    for (auto& [id, agent] : agents_) {
      agent->begin_round();
      for (const auto& peer : agent->choose_peers(random_)) {
        exchange(id, *agent, peer);
      }
    }
  }
  // \returns the number of rounds until `condition` holds for every agent, or `max_rounds` + 1.
  template <class Condition>
  int rounds_until_all(const Condition& condition, int max_rounds) {
    for (int count = 0; count <= max_rounds; ++count) {
      bool all = true;
      for (auto& [id, agent] : agents_) {
        all = all && condition(*agent);
      }
      if (all) {
        return count;
      }
      round();
    }
    return max_rounds + 1;
  }

  stepped_clock time;

 private:
  void exchange(const std::string& id, membership& agent, const peer_contact& peer) {
    const auto message = agent.message_for(peer);
    for (auto& [other_id, other] : agents_) {
      const auto& other_vm = other->peers().self().vm;
      const bool reached = other_vm.agent == peer.agent && disconnected_.count({id, other_id}) == 0;
      if (reached) {
        const auto answer = other->receive(message);
        if (disconnected_.count({other_id, id}) == 0) {
          agent.receive_answer(peer, answer);
          return;
        }
      }
    }
    agent.exchange_failed(peer);
  }

  membership_settings settings_;
  std::map<std::string, std::unique_ptr<membership>> agents_;
  std::set<std::pair<std::string, std::string>> disconnected_;
  random_source random_{11};
  int starts_ = 0;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_TESTS_MEMBER_FLEET_OF_AGENTS_H_
