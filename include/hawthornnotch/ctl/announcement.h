/// \file
/// Decides how an operator's announcement of a VM changes the one in the store.
///
/// Pure functions without I/O; the caller writes the result by compare-and-swap. None of them
/// fails: an announcement that can't be made is one of the decisions.
#ifndef HAWTHORNNOTCH_CTL_ANNOUNCEMENT_H_
#define HAWTHORNNOTCH_CTL_ANNOUNCEMENT_H_

#include <optional>
#include <string>
#include <variant>

#include "hawthornnotch/member/fleet_codec.h"

namespace hawthornnotch::ctl {

/// The announcement changes: JSON text to store.
struct announcement_write {
  std::string text;
};
/// The store already holds this announcement.
struct announcement_unchanged {};
/// Refused: this incarnation has been announced as leaving, which is final.
struct announcement_already_leaving {};
/// The VM has no stored announcement.
struct announcement_absent {};

using announcement_decision = std::variant<announcement_write, announcement_unchanged,
                                           announcement_already_leaving, announcement_absent>;

/// \param stored the announcement in the store, if there is one.
/// \returns the decision on replacing it with `next`. A leaving incarnation never becomes live
///          again; a different incarnation always replaces the stored one.
announcement_decision decide_announce(const std::optional<fleet_vm>& stored, const fleet_vm& next);
/// \returns the decision on marking the stored VM as leaving.
announcement_decision decide_leave(const std::optional<fleet_vm>& stored);

std::string id_of(const fleet_vm& vm);
std::string incarnation_of(const fleet_vm& vm);
std::string failure_domain_of(const fleet_vm& vm);
bool is_leaving(const fleet_vm& vm);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_ANNOUNCEMENT_H_
