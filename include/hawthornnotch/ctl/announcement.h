/// \file
/// What becomes of an operator's word about a VM; no I/O.
#ifndef HAWTHORNNOTCH_CTL_ANNOUNCEMENT_H_
#define HAWTHORNNOTCH_CTL_ANNOUNCEMENT_H_

#include <optional>
#include <string>
#include <variant>

#include "hawthornnotch/member/fleet_codec.h"

namespace hawthornnotch::ctl {

/// The text to store.
struct announcement_write {
  std::string text;
};
/// It stands so already.
struct announcement_same {};
/// This incarnation has been announced as leaving, which is final.
struct announcement_left {};
/// There is no such announcement.
struct announcement_absent {};

using announcement_decision =
    std::variant<announcement_write, announcement_same, announcement_left, announcement_absent>;

/// \param stored what stands in the store.
/// \returns what to do about the announcement `next`; a leaving incarnation never comes back.
announcement_decision decide_announce(const std::optional<fleet_vm>& stored, const fleet_vm& next);
/// \returns what to do so that the stored VM is announced as leaving.
announcement_decision decide_leave(const std::optional<fleet_vm>& stored);

std::string id_of(const fleet_vm& vm);
std::string incarnation_of(const fleet_vm& vm);
std::string failure_domain_of(const fleet_vm& vm);
bool is_leaving(const fleet_vm& vm);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_ANNOUNCEMENT_H_
