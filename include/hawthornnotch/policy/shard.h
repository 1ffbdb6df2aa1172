/// \file
/// Some of the models and services, under one lock.
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

/// State of one shard; whoever touches it holds `mutex`.
///
/// Ownership: owns its queues.  Thread safety: `mutex` protects all other members.
struct shard {
  /// Notes of ended requests that are kept.
  static constexpr std::size_t ended_kept = 256;

  /// \returns the queue that holds the request, or null.
  service_queue* queue_of(ticket request);
  /// Moves the notes of ended requests of a queue here.
  void collect_ended(service_queue& queue);
  [[nodiscard]] std::vector<trace_event> notes_of(ticket request) const;

  mutable std::mutex mutex;
  std::uint64_t next_number = 1;
  std::map<std::string, std::unique_ptr<service_queue>, std::less<>> queues;
  std::unordered_map<ticket, service_queue*> by_ticket;
  std::deque<std::pair<ticket, std::vector<trace_event>>> ended;
};

}  // namespace hawthornnotch::policy

#endif  // HAWTHORNNOTCH_POLICY_SHARD_H_
