/// \file
/// At which software version a stream began that no record names.
#ifndef HAWTHORNNOTCH_STREAMS_VERSION_PROOF_H_
#define HAWTHORNNOTCH_STREAMS_VERSION_PROOF_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "hawthornnotch/base/result.h"
#include "hawthornnotch/streams/declaration_table.h"
#include "hawthornnotch/streams/version_shares.h"

namespace hawthornnotch::streams {

/// What is known of the VMs that may have begun a stream of one service which neither a VM that was
/// asked nor a record in the store names.
struct begin_facts {
  /// By VM that declared: how it begins streams that its record does not name.
  std::map<std::string, begin_rule> beginners;
  /// Whether a VM that declared nothing may have begun it; if so, at the base version.
  bool undeclared_possible = false;
  /// The base versions that VMs name.
  std::set<std::string> bases;

  /// Records that the process of this VM did not begin the stream, as it knows all that it began at
  /// another version than the base one and no earlier process of the VM declared any.
  void exclude(std::string_view vm);
};

/// What a VM knows of the fleet beside the records.
struct fleet_view {
  /// Entry VMs that it remembers, itself included.
  std::int64_t known_vms = 0;
  /// The base version of the service as it knows it.
  std::optional<std::string> base;
};

/// \returns what the declarations of all VMs tell of a stream that no record names.
/// \pre No declaration can be missing from the store.
[[nodiscard]] begin_facts gather_facts(std::string_view service, const declaration_table& declared,
                                       const fleet_view& seen);

/// Why the version of a stream is not proved.
enum class begin_doubt : std::uint8_t {
  /// The declarations could not be read in time.
  records_unread,
  /// Declarations may be missing, since the store was restored lately.
  records_lost,
  /// It is not known of each VM whether its build declares, or no other VM is known.
  unknown_build,
  /// A VM that may have begun it begins streams at any version.
  open_rule,
  /// It may have begun at the base version, which is not known.
  unknown_base,
  /// The VMs that may have begun it would have begun it at different versions.
  several_versions,
};

[[nodiscard]] std::string_view to_string(begin_doubt doubt);

/// \returns the only version at which the stream of this attempt can have begun; fails if there may
/// be several.  A stream that nobody can have begun is taken for one from before versions were
/// mixed.
[[nodiscard]] result<std::string, begin_doubt> prove_version(const begin_facts& facts,
                                                             std::string_view attempt);

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_VERSION_PROOF_H_
