/// \file
/// What this VM has declared about the versions of its streams.
#ifndef HAWTHORNNOTCH_STREAMS_VERSION_DECLARATION_H_
#define HAWTHORNNOTCH_STREAMS_VERSION_DECLARATION_H_

#include <optional>
#include <string_view>
#include <utility>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/streams/stream_origin.h"
#include "hawthornnotch/streams/version_history.h"

namespace hawthornnotch::streams {

/// A VM renews the lease of its record after this time.
inline constexpr duration declaration_renewal{20'000};
/// Lifetime of a record: it outlives each stream that begins while the declaration is valid.
inline constexpr duration declaration_ttl{max_stream_age + declaration_renewal * 2};

/// The record of this VM in the platform's store.  It names the services whose versions are mixed.
///
/// A VM begins no stream at another version than the base one before its record names the service.
/// So a service that is missing from the record proves that the VM began no such stream, for as
/// long as the store has lost nothing.
///
/// Example:
///     declaration.on_leased(called_at);
///     declaration.on_written({{"forecast", {"v1", "v2"}}});
///     if (declaration.covers("forecast", now)) { ... }
/// Ownership: a value.  Thread safety: none.
class version_declaration {
 public:
  /// Takes the record that the VM's earlier process left, when the records are first read.
  /// \param recorded the mixed services in that record; none if the store may have lost it.
  void on_predecessor(std::optional<version_sets> recorded);
  /// Records that the lease was granted or renewed.  \param called_at when the call was made.
  void on_leased(time_point called_at) { leased_at_ = called_at; }
  /// Records that the store holds this record.
  void on_written(version_sets recorded) { recorded_ = std::move(recorded); }
  /// Records that the store may not hold the record any more.
  void withdraw() { recorded_.clear(); }
  /// \returns the mixed services in the record.
  [[nodiscard]] const version_sets& recorded() const { return recorded_; }
  /// \returns whether streams of a mixed service may begin at any of its versions.
  [[nodiscard]] bool covers(std::string_view service, time_point now) const;
  /// \returns whether the lease has to be renewed before anything else is written.
  [[nodiscard]] bool renewal_is_due(time_point now) const {
    return now - leased_at_ >= declaration_renewal;
  }
  /// \returns whether each stream of the service that this VM began at another version than the
  /// base one is known to this process; false if an earlier process may have begun one.
  [[nodiscard]] bool knows_own_streams(std::string_view service) const;

 private:
  time_point leased_at_;
  version_sets recorded_;
  std::optional<version_sets> predecessor_;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_VERSION_DECLARATION_H_
