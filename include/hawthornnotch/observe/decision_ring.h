/// \file
/// Ring buffer of recent decisions about requests, for later diagnosis.
#ifndef HAWTHORNNOTCH_OBSERVE_DECISION_RING_H_
#define HAWTHORNNOTCH_OBSERVE_DECISION_RING_H_

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/observe/field.h"

namespace hawthornnotch::observe {

/// Records the decisions taken for each request in ring buffers of fixed size; the newest decisions
/// overwrite the oldest, so a request's early steps may be missing.
///
/// Example:
///     ring->add(id, clock.now(), "assigned", {{"backend_server", server}, {"attempt", 1}});
///     std::string steps = ring->explain_json(id);
/// Ownership: copies its arguments; texts are truncated to 200 bytes, and fields beyond 12 are
/// dropped.  Thread safety: all members are thread safe; requests are spread over shards, each with
/// its own lock.
class decision_ring {
 public:
  /// \param capacity number of decisions kept across all shards.
  [[nodiscard]] static std::unique_ptr<decision_ring> create(std::size_t capacity);
  virtual ~decision_ring() = default;
  /// Records one step.
  /// \param at monotonic time of this process.
  virtual void add(std::string_view request_id, time_point at, std::string_view step,
                   std::initializer_list<field> fields) = 0;
  /// \returns `{"request_id":…,"steps":[{"at_ms":…,"step":…,…}]}`, oldest step first; no steps
  /// if the request is unknown or its steps have been overwritten.
  [[nodiscard]] virtual std::string explain_json(std::string_view request_id) const = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_DECISION_RING_H_
