/// \file
/// Which VMs have declared that versions of a service are mixed.
#ifndef HAWTHORNNOTCH_STREAMS_DECLARATION_TABLE_H_
#define HAWTHORNNOTCH_STREAMS_DECLARATION_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/streams/version_history.h"

namespace hawthornnotch::streams {

/// The declarations (see `version_declaration`) of all VMs, as the store held them when it was last
/// read.
///
/// Example:
///     table.on_read({{"entry-1", {{"forecast", {"v1", "v2"}}}}}, called_at);
///     table.declarers("forecast");  // entry-1: no other VM began a stream at a second version
/// Ownership: a value.  Thread safety: none.
class declaration_table {
 public:
  /// \param by_vm the mixed services in the record of each VM.
  /// \param called_at when the reading was asked for.
  void on_read(std::map<std::string, version_sets> by_vm, time_point called_at);
  /// \returns whether the reading was asked for at this time or later.
  [[nodiscard]] bool is_read_since(time_point since) const { return read_ && called_at_ >= since; }
  /// \returns the VMs that may have begun streams of the service at another version than the base
  /// one before the reading was asked for.
  [[nodiscard]] std::set<std::string> declarers(std::string_view service) const;

 private:
  bool read_ = false;
  time_point called_at_;
  std::map<std::string, version_sets> by_vm_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_DECLARATION_TABLE_H_
