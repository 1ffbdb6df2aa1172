/// \file
/// Which other entry VM sends an attempt that this one can't send itself.
#ifndef HAWTHORNNOTCH_PATHS_FORWARDER_CHOICE_H_
#define HAWTHORNNOTCH_PATHS_FORWARDER_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/member/fleet.h"

namespace hawthornnotch::paths {

/// Chooses among the live entry VMs at random, so that the load is spread over all that reach a
/// service, and passes over those that could not send to it lately.
///
/// Example:
///     while (auto vm = choice.next(service, alive, asked, random, now)) {
///       if (send_through(*vm)) { break; }
///       choice.record_refusal(service, *vm, now);
///       asked.push_back(*vm);
///     }
/// Ownership: a value.  Thread safety: none.
class forwarder_choice {
 public:
  /// \param alive addresses of the other entry VMs.
  /// \param asked those that were asked for this attempt.
  /// \returns the VM to ask next; none if there is none left that may reach the service.
  [[nodiscard]] std::optional<endpoint> next(std::string_view service,
                                             std::span<const endpoint> alive,
                                             std::span<const endpoint> asked, random_source& random,
                                             time_point now) const;
  /// \returns whether any of the VMs may reach the service.
  [[nodiscard]] bool has_any(std::string_view service, std::span<const endpoint> alive,
                             time_point now) const;
  /// Records that a VM could not be reached or sends nothing to the service.
  void record_refusal(std::string_view service, const endpoint& vm, time_point now);

 private:
  [[nodiscard]] bool refused_lately(std::string_view service, const endpoint& vm,
                                    time_point now) const;

  /// By service and VM.
  std::map<std::pair<std::string, endpoint>, time_point> refused_at_;
};

}  // namespace hawthornnotch::paths

#endif  // HAWTHORNNOTCH_PATHS_FORWARDER_CHOICE_H_
