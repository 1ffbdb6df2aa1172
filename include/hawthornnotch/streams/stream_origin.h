/// \file
/// At which software version a stream began.
#ifndef HAWTHORNNOTCH_STREAMS_STREAM_ORIGIN_H_
#define HAWTHORNNOTCH_STREAMS_STREAM_ORIGIN_H_

#include <string>
#include <tuple>

#include "hawthornnotch/base/clock.h"

namespace hawthornnotch::streams {

/// A stream's age is below this; what is older is forgotten.
inline constexpr duration max_stream_age{60'000};

/// Names a stream.  An attempt's id is chosen by its caller, so it is unique only within its
/// workspace.
struct stream_key {
  std::string workspace;
  std::string service;
  /// Id of the caller's attempt that brought the first event.
  std::string attempt;
  bool operator==(const stream_key&) const = default;
  bool operator<(const stream_key& other) const {
    return std::tie(workspace, service, attempt) <
           std::tie(other.workspace, other.service, other.attempt);
  }
};

struct stream_origin {
  stream_key key;
  /// Version of the server that made the first event.
  std::string software_version;
  /// Time since the first event.
  duration age;
  bool operator==(const stream_origin&) const = default;
};

}  // namespace hawthornnotch::streams

#endif  // HAWTHORNNOTCH_STREAMS_STREAM_ORIGIN_H_
