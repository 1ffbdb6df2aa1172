#include "hawthornnotch/claim/claim_service.h"

#include <utility>

#include "state_machine.h"

namespace hawthornnotch::claim {

namespace {

bool in_range(const claim_settings& settings) {
  const bool times = settings.claim_timeout.ms > 0 && settings.retry_pause.ms > 0 &&
                     settings.outage_pause.ms >= 0 && settings.record_timeout.ms > 0 &&
                     settings.in_progress_limit.ms >= 0 && settings.retention.ms > 0 &&
                     settings.commit_interval.ms >= 0;
  const bool sizes =
      settings.live_claims > 0 && settings.writes_per_commit > 0 && settings.commits_in_flight > 0;
  return times && sizes;
}

}  // namespace

result<std::unique_ptr<claim_service>, claim_failure> claim_service::create(
    claim_settings settings, platform::client& platform, const clock& time,
    std::string incarnation) {
  if (incarnation.empty()) {
    return failed{claim_failure::empty_incarnation};
  }
  if (!in_range(settings)) {
    return failed{claim_failure::settings_out_of_range};
  }
  auto machine = std::make_shared<state_machine>(settings, platform, time, std::move(incarnation));
  return std::unique_ptr<claim_service>(new claim_service(std::move(machine)));
}

claim_service::claim_service(std::shared_ptr<state_machine> machine)
    : state_machine_(std::move(machine)) {}

claim_service::~claim_service() = default;

void claim_service::claim(claim_request request, claim_callback done) {
  state_machine_->claim(std::move(request), std::move(done));
}

bool claim_service::begin_dispatch(const claim_token& token) {
  return state_machine_->begin_dispatch(token);
}

void claim_service::record(const claim_token& token, recorded_answer answer, stored_callback done) {
  state_machine_->record(token, std::move(answer), std::move(done));
}

void claim_service::record_unknown(const claim_token& token) {
  state_machine_->record_unknown(token);
}

void claim_service::release_unsent(const claim_token& token, stored_callback done) {
  state_machine_->release_unsent(token, std::move(done));
}

void claim_service::stop() { state_machine_->stop(); }

void claim_service::tick() { state_machine_->tick(); }

claim_view claim_service::view() const { return state_machine_->view(); }

}  // namespace hawthornnotch::claim
