/// \file
/// Fault switches that every stand-in has, set over HTTP while it runs.
#ifndef HAWTHORNNOTCH_STANDIN_FAULTS_H_
#define HAWTHORNNOTCH_STANDIN_FAULTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/net/http_server.h"

namespace hawthornnotch::standin {

enum class fault_kind : std::uint8_t {
  /// The connection breaks before the request has any effect.
  lose_request,
  /// The request takes effect; the connection breaks instead of the answer.
  lose_answer,
  /// `value` milliseconds pass before the request takes effect.
  delay,
  /// The connection breaks after `value` pieces of the answer.
  cut_mid_stream,
  /// The stand-in's own times are multiplied by `value`.
  slow,
  /// Status `value` (503 if 0) and no effect.
  refuse,
  /// Every connection breaks, also those in progress.
  down,
  /// The answer is not of the protocol.
  rubbish,
  /// The answer is `value` bytes of padding.
  flood,
};

/// One switched-on fault.
struct fault {
  fault_kind kind = fault_kind::delay;
  double value = 0;
  /// Requests still to be hit; 0 means until cleared.
  std::uint64_t count = 0;
  /// Only targets that start with this.
  std::string path;
};

/// What is to go wrong with one request.
struct fault_plan {
  duration delay;
  bool lose_request = false;
  bool lose_answer = false;
  bool rubbish = false;
  std::optional<unsigned> refuse_status;
  std::optional<std::uint64_t> cut_after;
  std::optional<std::uint64_t> flood_bytes;
};

/// The faults switched on now.
///
/// Example: `POST /standin/fault {"kind":"lose_answer","count":1,"path":"/v3/kv/txn"}`; the kind
/// `clear` switches all off.
/// Ownership: shared by handlers.  Thread safety: none; used on one thread.
class fault_switches {
 public:
  /// Answers `POST /standin/fault`.
  net::http_response set(std::string_view body);
  /// Counts one request to `target` against the faults that match it.
  fault_plan plan_for(std::string_view target);
  /// \returns the factor by which the stand-in's own times grow; 1 without a fault.
  [[nodiscard]] double slow_factor() const;
  [[nodiscard]] bool down() const;

 private:
  void apply(const fault& active, fault_plan& plan) const;

  std::vector<fault> active_;
};

/// \returns a handler that lets `inner` answer unless a fault says otherwise.
net::request_handler with_faults(std::shared_ptr<fault_switches> faults,
                                 net::request_handler inner);

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_FAULTS_H_
