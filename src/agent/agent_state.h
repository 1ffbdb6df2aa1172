// The facts that the agent's controllers read and write.
#ifndef HAWTHORNNOTCH_AGENT_BOARD_H_
#define HAWTHORNNOTCH_AGENT_BOARD_H_

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

// A value that is only reached under its lock.
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

struct agent_board {
  agent_settings settings;
  const clock& time;
  // Differs for each start of this process.
  std::string incarnation;
  locked<member::membership> members;
  // Null until the router first answered, and again while it doesn't.
  entry<rpc::router_status> router;
  std::unique_ptr<observe::metrics> counters;
  std::atomic<bool> stopping{false};
};

}  // namespace hawthornnotch::agent

#endif  // HAWTHORNNOTCH_AGENT_BOARD_H_
