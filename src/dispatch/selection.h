// The best of the servers that are compared for one request.
#ifndef HAWTHORNNOTCH_SRC_DISPATCH_SELECTION_H_
#define HAWTHORNNOTCH_SRC_DISPATCH_SELECTION_H_

#include <cstdint>
#include <optional>

#include "candidate.h"
#include "hawthornnotch/dispatch/dispatcher.h"

namespace hawthornnotch::dispatch::internal {

// Whether a server is to be chosen before others whatever their losses.
enum class suitability : std::uint8_t {
  preferred,
  // Chosen only if no preferred server can answer before the request's deadline.
  last_resort,
  // Chosen only if there is no other server.
  avoided,
};

// Keeps the placement with the lowest loss of each suitability.
class selection {
 public:
  // \param at outlives the selection.
  // \param offered its server is not set yet.
  void offer(const candidate& at, placement offered, suitability how);
  // \returns the best placement; none if none was offered.  May be called once.
  // \param time_left time until the request's deadline; 0 if it has none.
  [[nodiscard]] std::optional<placement> take_best(duration time_left);

 private:
  struct offer_of {
    const candidate* at = nullptr;
    placement estimates;
  };
  offer_of& of(suitability how);
  [[nodiscard]] offer_of& best(duration time_left);

  offer_of preferred_;
  offer_of last_resort_;
  offer_of avoided_;
  // Shortest time to the first event at a preferred server.
  double shortest_ms_ = 0;
};

}  // namespace hawthornnotch::dispatch::internal

#endif  // HAWTHORNNOTCH_SRC_DISPATCH_SELECTION_H_
