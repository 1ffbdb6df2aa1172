/// \file
/// What a server says of the requests that it holds.
#ifndef HAWTHORNNOTCH_DISPATCH_REPORTED_WORK_H_
#define HAWTHORNNOTCH_DISPATCH_REPORTED_WORK_H_

#include <algorithm>
#include <cstdint>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::dispatch {

/// Requests of other entry VMs at a server by its last report.  With this VM's requests there,
/// which it always knows, they are all that the server holds.
///
/// Example:
///     work.record(load.running, load.waiting, {own, own_unstarted}, now);
///     if (work.is_fresh(now)) { held = work.others() + own; }
/// Ownership: a value.  Thread safety: none.
class reported_work {
 public:
  /// Requests of this VM at the server.
  struct own_requests {
    std::uint32_t sent = 0;
    /// Those of them without a first event.
    std::uint32_t unstarted = 0;
  };
  void record(std::uint32_t running, std::uint32_t waiting, own_requests own, time_point now) {
    const std::uint32_t held = running + waiting;
    others_ = held - std::min(held, own.sent);
    others_waiting_ = std::min(others_, waiting - std::min(waiting, own.unstarted));
    waiting_ = waiting;
    at_ = now;
    known_ = true;
  }
  [[nodiscard]] bool is_fresh(time_point now) const { return known_ && now - at_ < lifetime; }
  [[nodiscard]] duration age(time_point now) const { return now - at_; }
  /// \returns the requests of other VMs that the server held.
  [[nodiscard]] std::uint32_t others() const { return others_; }
  /// \returns those of them that waited there.
  [[nodiscard]] std::uint32_t others_waiting() const { return others_waiting_; }
  /// \returns all requests that waited there.
  [[nodiscard]] std::uint32_t waiting() const { return waiting_; }

 private:
  /// Later, what gossip says is newer.
  static constexpr duration lifetime{500};
  std::uint32_t others_ = 0;
  std::uint32_t others_waiting_ = 0;
  std::uint32_t waiting_ = 0;
  time_point at_;
  bool known_ = false;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_REPORTED_WORK_H_
