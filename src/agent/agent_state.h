// State shared by the agent's components.
#ifndef HAWTHORNNOTCH_AGENT_AGENT_STATE_H_
#define HAWTHORNNOTCH_AGENT_AGENT_STATE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "hawthornnotch/agent/settings.h"
#include "hawthornnotch/base/blackboard.h"
#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/membership.h"
#include "hawthornnotch/observe/metrics.h"
#include "hawthornnotch/rpc/router_rpc.h"

namespace hawthornnotch::agent {

// A value that can be accessed only while its mutex is held.
//
//     auto version = members.with([](member::membership& m) { return m.version(); });
template <class T>
class locked {
 public:
  explicit locked(std::unique_ptr<T> value) : value_(std::move(value)) {}
  template <class Work>
  auto with(const Work& work) {
    const std::lock_guard lock(mutex_);
    return work(*value_);
  }

 private:
  std::mutex mutex_;
  std::unique_ptr<T> value_;
};

// All members are safe to use from any of the agent's threads.
struct agent_state {
  agent_settings settings;
  const clock& time;
  // Unique to each start of this process.
  std::string incarnation;
  locked<member::membership> members;
  // Last status of the router; null until it first answers and after a failed call.
  entry<rpc::router_status> router;
  std::unique_ptr<observe::metrics> metric_registry;
  std::atomic<bool> stopping{false};
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_AGENT_STATE_H_
