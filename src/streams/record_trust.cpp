#include "hawthornnotch/streams/record_trust.h"

#include "hawthornnotch/streams/stream_origin.h"

namespace hawthornnotch::streams {

namespace {

/// In its first era a store has never been restored.
constexpr std::int64_t first_era = 1;
/// Time within which servers register again after the store is back.
constexpr duration registration_time{3'000};

}  // namespace

void record_trust::on_first_read(const found_version_record& found, std::int64_t store_era,
                                 time_point now) {
  if (read_) {
    return;
  }
  read_ = true;
  const bool holds = found.exists ? found.era == store_era : store_era <= first_era;
  if (!holds) {
    broken_at_ = now;
  }
}

bool record_trust::is_unbroken(time_point now) const {
  return read_ && (!broken_at_ || now - *broken_at_ > max_stream_age);
}

bool record_trust::shows_all_servers(time_point list_read_at) const {
  return read_ && (!broken_at_ || list_read_at - *broken_at_ >= registration_time);
}

}  // namespace hawthornnotch::streams
