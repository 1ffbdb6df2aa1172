/// \file
/// Which VMs have declared that versions of a service are mixed.
#ifndef HAWTHORNNOTCH_STREAMS_DECLARATION_TABLE_H_
#define HAWTHORNNOTCH_STREAMS_DECLARATION_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/streams/vm_declaration.h"

namespace hawthornnotch::streams {

/// The declarations (see `version_declaration`) of all VMs, as the store held them when it was last
/// read.
///
/// Example:
///     table.on_read({{"entry-1", declared}}, called_at);
///     table.declarers("forecast");  // entry-1: no other VM began a stream at a second version
/// Ownership: a value.  Thread safety: none.
class declaration_table {
 public:
  using declaration_map = std::map<std::string, vm_declaration>;

  /// \param by_vm the declaration in the record of each VM.
  /// \param called_at when the reading was asked for.
  void on_read(declaration_map by_vm, time_point called_at);
  /// \returns whether the reading was asked for at this time or later.
  [[nodiscard]] bool is_read_since(time_point since) const { return read_ && called_at_ >= since; }
  /// \returns the VMs that may have begun streams of the service at another version than the base
  /// one before the reading was asked for, and how these began.
  [[nodiscard]] std::map<std::string, begin_rule> declarers(std::string_view service) const;
  /// \returns the largest number of entry VMs that one of the VMs knew.
  [[nodiscard]] std::int64_t known_vms() const;

 private:
  bool read_ = false;
  time_point called_at_;
  declaration_map by_vm_;
};

/// \returns the base versions by the records: as VMs that declared a service name them, or the one
/// that was in service where none did.  A service of which several are named has none.
[[nodiscard]] version_sets recorded_bases(version_sets in_service,
                                          const declaration_table::declaration_map& by_vm);

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_DECLARATION_TABLE_H_
