// Two routers, one store, one backend server and one caller who repeats.
#ifndef HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CLAIM_WORLD_H_
#define HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CLAIM_WORLD_H_

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
  fault what = fault::request_lost;
};

// How the caller, or the balancer, repeats the request.
enum class repeat_mode : std::uint8_t { other_router, same_router, both_at_once };

struct claim_plan {
  std::vector<claim_injection> injections;
  repeat_mode repeats = repeat_mode::other_router;
  // Non-zero: random faults at every call and hop, from this seed.
  std::uint64_t random_seed = 0;
};

// Why a cell can't occur, if so.
std::optional<std::string_view> claim_cell_excluded(claim_step at, fault what);
// Runs one request with all its repeats to the end and checks every invariant.
findings run_claim_plan(const claim_plan& plan);

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_FAULT_MATRIX_CLAIM_WORLD_H_
