/// \file
/// A group of models and services under one lock.
#ifndef HAWTHORNNOTCH_POLICY_SHARD_H_
#define HAWTHORNNOTCH_POLICY_SHARD_H_

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hawthornnotch/policy/service_queue.h"

namespace hawthornnotch::policy {

/// State of one shard of the scheduler.
///
/// Ownership: owns its queues.  Thread safety: `mutex` protects all other members.
struct shard {
  /// Number of traces of ended requests that are kept.
  static constexpr std::size_t max_ended_traces = 256;

  /// \returns the queue of a request that has not ended, or null.
  service_queue* queue_of(ticket request);
  /// Takes over the traces of requests that ended in the queue; drops the oldest ones.
  void collect_ended(service_queue& queue);
  /// \returns the trace of a request, empty if unknown or no longer kept.
  [[nodiscard]] std::vector<trace_event> trace_of(ticket request) const;

  mutable std::mutex mutex;
  std::uint64_t next_number = 1;
  std::map<std::string, std::unique_ptr<service_queue>, std::less<>> queues;
  std::unordered_map<ticket, service_queue*> by_ticket;
  std::deque<std::pair<ticket, std::vector<trace_event>>> ended_traces;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SHARD_H_
