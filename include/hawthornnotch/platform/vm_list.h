/// \file
/// The platform's list of VMs, which lags behind their actual state.
#ifndef HAWTHORNNOTCH_PLATFORM_VM_LIST_H_
#define HAWTHORNNOTCH_PLATFORM_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::platform {

/// An entry of the list; its member `leaving` is set from the listed state.
using listed_vm = fleet_vm;

using vm_list_callback = std::function<void(result<std::vector<listed_vm>, platform_failure>)>;

/// Fetches the platform's list of VMs.
///
/// Ownership: must outlive every call.  Thread safety: all members are thread safe.
class vm_list_source {
 public:
  virtual ~vm_list_source() = default;
  /// The callback runs exactly once, never inside the call itself.
  /// \param failure_domain whose backend servers are returned; empty for all. Entry VMs of all
  /// failure domains are returned, since agents keep contacts in each.
  virtual void fetch_vm_list(std::string failure_domain, vm_list_callback done) = 0;
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_VM_LIST_H_
