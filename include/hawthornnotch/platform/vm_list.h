/// \file
/// The platform's own list of VMs, which lags behind what is true.
#ifndef HAWTHORNNOTCH_PLATFORM_VM_LIST_H_
#define HAWTHORNNOTCH_PLATFORM_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/member/fleet_codec.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::platform {

/// One VM of the list; its member `leaving` is set from the listed state.
using listed_vm = fleet_vm;

using vm_list_callback = std::function<void(result<std::vector<listed_vm>, platform_failure>)>;

/// Asks the platform for its list of VMs.
///
/// Ownership: outlives every call.  Thread safety: all members are thread safe.
class vm_list_source {
 public:
  virtual ~vm_list_source() = default;
  /// The callback runs exactly once, never inside the call itself.
  /// \param failure_domain whose backend servers are wanted, all where it is empty; entry VMs of
  /// all
  ///        failure domains are given, since agents keep contacts there.
  virtual void fetch_vm_list(std::string failure_domain, vm_list_callback done) = 0;
};

}  // namespace hawthornnotch::platform

#endif  // HAWTHORNNOTCH_PLATFORM_VM_LIST_H_
