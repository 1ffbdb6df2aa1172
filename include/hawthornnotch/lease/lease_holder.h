/// \file
/// Holding the failure domain's lease in the platform's key-value service.
#ifndef HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_
#define HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/platform/client.h"

namespace hawthornnotch::lease {

/// Keys, each followed by the failure domain.
inline constexpr std::string_view lease_prefix = "hn/lease/";
inline constexpr std::string_view fence_prefix = "hn/fence/";

struct lease_settings {
  std::string failure_domain;
  /// Written into the lease's key, for operators to read.
  std::string holder;
  duration time_to_live{12'000};
  /// How long before its end the lease is no longer acted on, by this process's clock.
  duration safety_margin{3'000};
  /// Between two attempts while another holds it.
  duration retry{5'000};
};

enum class lease_phase : std::uint8_t { idle, acquiring, holding };

std::string_view to_string(lease_phase phase);

/// How the lease stands, for dumps.
struct lease_status {
  lease_phase phase = lease_phase::idle;
  /// 0 while not held.
  std::uint64_t fencing = 0;
  /// Until when this process may act.
  time_point act_until;
  /// The holder that was read last.
  std::string last_seen_holder;
};

/// Acquires the lease by one transaction that also raises the fencing number, renews it at a third
/// of its life and stops acting before it can lapse.
///
/// A paused process can still act on a lapsed lease between its check and its send: safety comes
/// only from servers that refuse an old fencing number, never from this class.
///
/// Example:
///     holder->step(candidate);                       // every second or so
///     if (auto number = holder->fencing()) { ... }   // asked again before each step
/// Ownership: refers to the client and the clock; callbacks that arrive later are dropped.
/// Thread safety: all members are thread safe.
class lease_holder {
 public:
  [[nodiscard]] static std::unique_ptr<lease_holder> create(platform::client& client,
                                                            const clock& time,
                                                            lease_settings settings);
  virtual ~lease_holder() = default;
  /// Starts whatever call is due; never more than one waits for its answer.
  /// \param candidate whether to try to acquire; a lease that is held is renewed either way.
  virtual void step(bool candidate) = 0;
  /// \returns the fencing number while this process may act, by its own clock now.
  [[nodiscard]] virtual std::optional<std::uint64_t> fencing() const = 0;
  /// Gives the lease up at once.
  virtual void release() = 0;
  [[nodiscard]] virtual lease_status status() const = 0;
};

}  // namespace hawthornnotch::lease

#endif  // HAWTHORNNOTCH_LEASE_LEASE_HOLDER_H_
