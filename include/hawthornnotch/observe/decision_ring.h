/// \file
/// The newest decisions taken for requests, to explain them afterwards.
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

/// A bounded ring of decisions by request id: the oldest give way to the newest.
///
/// Example:
///     ring->add(id, clock.now(), "assigned", {{"backend_server", server}, {"attempt", 1}});
///     std::string why = ring->explain_json(id);
/// Ownership: copies what it is given, cut to a bounded length.  Thread safety: all members are
/// thread safe; requests are spread over shards, each under its own lock.
class decision_ring {
 public:
  /// \param capacity number of decisions kept, over all shards.
  [[nodiscard]] static std::unique_ptr<decision_ring> create(std::size_t capacity);
  virtual ~decision_ring() = default;
  /// Records one step; \param at monotonic time of the process.
  virtual void add(std::string_view request_id, time_point at, std::string_view step,
                   std::initializer_list<field> fields) = 0;
  /// \returns `{"request_id":…,"steps":[{"at_ms":…,"step":…,…}]}`, oldest step first; no steps
  /// where the request is unknown or forgotten.
  [[nodiscard]] virtual std::string explain_json(std::string_view request_id) const = 0;
};

}  // namespace hawthornnotch::observe

#endif  // HAWTHORNNOTCH_OBSERVE_DECISION_RING_H_
