/// \file
/// What an entry VM declares in the platform's store about the streams that it begins.
#ifndef HAWTHORNNOTCH_STREAMS_VM_DECLARATION_H_
#define HAWTHORNNOTCH_STREAMS_VM_DECLARATION_H_

#include <cstdint>

#include "hawthornnotch/streams/version_history.h"
#include "hawthornnotch/streams/version_shares.h"

namespace hawthornnotch::streams {

/// A part of the VM's record.  Its streams of a service that it does not declare begin at the base
/// version.
struct vm_declaration {
  /// The declared services, with their recent versions.
  version_sets mixed;
  /// How streams of declared services begin.  A declared service that is missing here begins
  /// streams at any version; so do all those of processes of an earlier build, which write no
  /// rules.
  begin_rules rules;
  /// Entry VMs that the VM remembers, itself included; 0 in records of an earlier build.
  std::int64_t known_vms = 0;

  /// False if the record could not be read: it may declare any service, by any rule.
  bool readable = true;

  /// \returns what is known of a VM whose record could not be read.
  [[nodiscard]] static vm_declaration unreadable();
  /// \returns whether the VM may have begun streams of the service at another version than the base
  /// one.
  [[nodiscard]] bool may_declare(std::string_view service) const {
    return !readable || mixed.contains(service);
  }
  /// \returns the rule of a declared service; an open one if it names none.
  [[nodiscard]] begin_rule rule_of(std::string_view service) const;
  bool operator==(const vm_declaration&) const = default;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_VM_DECLARATION_H_
