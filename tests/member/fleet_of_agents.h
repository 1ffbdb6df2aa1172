// A failure domain of agents that exchange messages in memory on a stepped clock.
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
  void cut(int from, int to) { cut_.insert({make_vm(from).id, make_vm(to).id}); }
  void heal() { cut_.clear(); }

  // One second: every agent exchanges with the peers that it chooses.
  void round() {
    time.advance(duration{1'000});
    for (auto& [id, agent] : agents_) {
      agent->begin_round();
      for (const auto& peer : agent->choose_peers(random_)) {
        exchange(id, *agent, peer);
      }
    }
  }
  // \returns rounds until `holds` for every agent, or `most` + 1.
  template <class Condition>
  int rounds_until_all(const Condition& holds, int most) {
    for (int count = 0; count <= most; ++count) {
      bool all = true;
      for (auto& [id, agent] : agents_) {
        all = all && holds(*agent);
      }
      if (all) {
        return count;
      }
      round();
    }
    return most + 1;
  }

  stepped_clock time;

 private:
  void exchange(const std::string& id, membership& agent, const peer_contact& peer) {
    const auto message = agent.message_for(peer);
    for (auto& [other_id, other] : agents_) {
      const auto& other_vm = other->peers().self().vm;
      const bool reached = other_vm.agent == peer.agent && cut_.count({id, other_id}) == 0;
      if (reached) {
        const auto answer = other->receive(message);
        if (cut_.count({other_id, id}) == 0) {
          agent.receive_answer(peer, answer);
          return;
        }
      }
    }
    agent.exchange_failed(peer);
  }

  membership_settings settings_;
  std::map<std::string, std::unique_ptr<membership>> agents_;
  std::set<std::pair<std::string, std::string>> cut_;
  random_source random_{11};
  int starts_ = 0;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_TESTS_MEMBER_FLEET_OF_AGENTS_H_
