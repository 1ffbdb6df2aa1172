// Where requests are counted for the platform's usage reports.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_USAGE_COUNTER_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_USAGE_COUNTER_H_

#include <string_view>

namespace hawthornnotch::gateway::internal {

class usage_counter {
 public:
  virtual ~usage_counter() = default;
  // Counts a request of the workspace that has just begun to run.
  virtual void count(std::string_view workspace) = 0;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_USAGE_COUNTER_H_
