// Simulates one idempotent request through two routers that share a claim store, with a backend
// server and a caller that retries, while faults are injected at chosen steps.
#ifndef HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CLAIM_SIMULATION_H_
#define HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CLAIM_SIMULATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "matrix.h"

namespace hawthornnotch::test {

enum class claim_step : std::uint8_t {
  create,
  read_back,
  release,
  connect,
  head,
  body,
  first_byte,
  mid_stream,
  last_byte,
  record,
  answer,
};
inline constexpr std::array<std::string_view, 11> claim_step_names = {
    "create",     "read back",  "release",   "connect", "head",  "body",
    "first byte", "mid-stream", "last byte", "record",  "answer"};

struct claim_injection {
  claim_step at = claim_step::create;
  fault kind = fault::request_lost;
};

// Which router a retry by the caller or the load balancer goes to.
enum class repeat_mode : std::uint8_t { other_router, same_router, both_at_once };

struct claim_plan {
  std::vector<claim_injection> injections;
  repeat_mode repeats = repeat_mode::other_router;
  // If non-zero, seeds random faults at every platform call and network hop.
  std::uint64_t random_seed = 0;
};

// \returns why the fault is impossible at this step, or nothing if it is possible.
std::optional<std::string_view> claim_cell_excluded(claim_step at, fault kind);
// Simulates one request with all its retries and checks the invariants. Violations are returned in
// the result rather than asserted.
run_result run_claim_plan(const claim_plan& plan);

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CLAIM_SIMULATION_H_
