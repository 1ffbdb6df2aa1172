/// \file
/// What this VM has declared about the versions of its streams.
#ifndef HAWTHORNNOTCH_STREAMS_VERSION_DECLARATION_H_
#define HAWTHORNNOTCH_STREAMS_VERSION_DECLARATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/streams/stream_origin.h"
#include "hawthornnotch/streams/version_history.h"
#include "hawthornnotch/streams/vm_declaration.h"

namespace hawthornnotch::streams {

/// A VM renews the lease of its record after this time.
inline constexpr duration declaration_renewal{20'000};
/// Lifetime of a record: it outlives each stream that begins while the declaration is valid.
inline constexpr duration declaration_ttl{max_stream_age + declaration_renewal * 2};

/// Whether a stream may begin before the record in the store names it.
enum class begin_permission : std::uint8_t {
  /// Whichever record of this VM the store holds, its rule allows the version.
  allowed,
  /// The store may hold a record by which the stream began at another version.
  needs_record,
  /// What the store holds for this VM, or the base version, is not known.
  unknown,
};

/// The record of this VM in the platform's store.  It names the services whose versions are mixed,
/// and by which rule their streams begin that it does not name.
///
/// A stream begins as the rule says, or once the record names it.  So after the loss of this VM its
/// streams' versions follow from what the store holds: a service that is missing from the record
/// proves that the VM began its streams at the base version, and the rule of one that is there
/// proves the version of each stream that the record does not name, for as long as the store has
/// lost nothing.
///
/// A write that was not acknowledged may have been applied or not, and a VM without a record may
/// have an earlier process with one: `permission` judges by each record that the store may hold.
///
/// Example:
///     declaration.on_sending(declared);
///     declaration.on_written(declared, composed_at);
///     const auto may_begin = declaration.permission({"forecast", id, base}, "v2", now);
///     if (may_begin == begin_permission::allowed) { ... }
/// Ownership: a value.  Thread safety: none.
class version_declaration {
 public:
  /// A stream that is to begin.
  struct new_stream {
    std::string_view service;
    std::string_view attempt;
    /// The base version of the service as this VM knows it.
    std::optional<std::string> base;
  };

  /// Takes what the VM's earlier process declared, when the records are first read.
  /// \param declared none if the store may have lost it.
  void on_predecessor(std::optional<vm_declaration> declared);
  /// Records that no stream of an earlier process can be resumed: there was none, or it is too long
  /// ago.
  void on_no_predecessor();
  /// Records that the lease was granted or renewed.  \param called_at when the call was made.
  void on_leased(time_point called_at) { leased_at_ = called_at; }
  /// Records that from now on the store may hold this.
  void on_sending(const vm_declaration& sent);
  /// Records that the store holds this.
  /// \param composed_at when it was composed: it names the streams that began before.
  void on_written(vm_declaration written, time_point composed_at);
  /// Records that the store may hold a record that another process wrote for this VM.
  void on_foreign_record(const vm_declaration& found);
  /// Records that the store has lost the record.
  void withdraw();
  /// Records that the record is not renewed any more.
  void let_expire();

  /// \returns the declared services.
  [[nodiscard]] const version_sets& recorded() const { return recorded_.mixed; }
  [[nodiscard]] const begin_rules& recorded_rules() const { return recorded_.rules; }
  /// \returns whether the record declares the service.
  [[nodiscard]] bool covers(std::string_view service, time_point now) const;
  /// \returns whether a stream of the service that began at this time is in the record.
  [[nodiscard]] bool names_streams_until(std::string_view service, time_point began_at,
                                         time_point now) const;
  [[nodiscard]] begin_permission permission(const new_stream& stream, std::string_view version,
                                            time_point now) const;
  /// \returns the version at which the stream is best begun: one that is allowed; none if there is
  /// none, any is, or nothing is known.
  [[nodiscard]] std::optional<std::string> preferred_version(const new_stream& stream,
                                                             time_point now) const;
  /// What the rule to declare for a service depends on.
  struct rule_inputs {
    std::string_view service;
    /// The shares of its versions now.
    version_shares shares;
    std::optional<std::string> base;
    /// Whether a stream need not wait long until the record names it.
    bool records_are_quick = false;
  };
  /// \returns the rule to declare.  Its shares change only once the store has acknowledged those
  /// that were declared last.  For as long as streams of an earlier process may be resumed, which
  /// began by its rule, the VM keeps to that rule if records are quick; else it begins streams by a
  /// rule of its own too, and of some streams the version can't be told.
  [[nodiscard]] begin_rule next_rule(const rule_inputs& inputs) const;
  /// \returns the shares that this VM declared last; none if it declared none.
  [[nodiscard]] std::optional<version_shares> declared_shares(std::string_view service) const;

  /// Asks for a write soon, since a stream that began now waits until the record names it.
  void demand_write(time_point now) { demanded_at_ = now; }
  [[nodiscard]] bool write_is_demanded() const { return demanded_at_.has_value(); }
  /// \returns whether the lease has to be renewed before anything else is written.
  [[nodiscard]] bool renewal_is_due(time_point now) const {
    return now - leased_at_ >= declaration_renewal;
  }
  /// \returns whether each stream of the service that this VM began at another version than the
  /// base one is known to this process; false if an earlier process may have begun one.
  [[nodiscard]] bool knows_own_streams(std::string_view service) const;

 private:
  [[nodiscard]] bool is_leased(time_point now) const;
  /// \returns the rule by which the VM's earlier process began streams; none if there was none, an
  /// open one if it is not known.
  [[nodiscard]] std::optional<begin_rule> predecessor_rule(
      std::string_view service, const std::optional<std::string>& base) const;
  [[nodiscard]] static begin_permission permission_by(const vm_declaration& held,
                                                      const new_stream& stream,
                                                      std::string_view version);

  time_point leased_at_;
  vm_declaration recorded_;
  time_point composed_at_;
  std::optional<time_point> demanded_at_;
  std::optional<vm_declaration> predecessor_;
  bool had_predecessor_ = true;
  /// What the store may hold for this VM, the last sent at the end; none if it is not known.
  std::optional<std::vector<vm_declaration>> possible_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_VERSION_DECLARATION_H_
