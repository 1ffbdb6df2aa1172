#include "hawthornnotch/base/clock.h"

#include <chrono>

namespace hawthornnotch {

namespace {

template <class Source>
time_point read() {
  const auto since_origin = Source::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(since_origin).count()};
}

}  // namespace

time_point system_clock::now() const { return read<std::chrono::steady_clock>(); }

time_point system_clock::wall() const { return read<std::chrono::system_clock>(); }

}  // namespace hawthornnotch
