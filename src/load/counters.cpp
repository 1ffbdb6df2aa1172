#include "counters.h"

#include <boost/json/parse.hpp>

namespace hawthornnotch::load {

namespace {

namespace json = boost::json;
using boost::asio::awaitable;

constexpr duration counters_patience{5'000};

void add_counts(const json::object& from, const char* key,
                std::map<std::string, std::uint64_t>& into) {
  const json::value* counts = from.if_contains(key);
  if (counts == nullptr || !counts->is_object()) {
    return;
  }
  for (const auto& member : counts->get_object()) {
    boost::system::error_code broken;
    const auto count = member.value().to_number<std::uint64_t>(broken);
    into[std::string(member.key())] += broken ? 0 : count;
  }
}

void add(std::string_view body, standin_counters& into) {
  boost::system::error_code broken;
  const json::value parsed = json::parse(body, broken);
  if (broken || !parsed.is_object()) {
    return;
  }
  const json::object& object = parsed.get_object();
  if (const json::value* tokens = object.if_contains("tokens")) {
    const auto count = tokens->to_number<double>(broken);
    into.tokens += broken ? 0 : count;
  }
  add_counts(object, "tokens_by_request", into.tokens_by_request);
  add_counts(object, "runs_by_key", into.runs_by_key);
}

// What the callers of one key were told.
struct told {
  bool all_not_run = true;
};

bool says_not_run(sample_end end) { return end == sample_end::shed || end == sample_end::not_run; }

}  // namespace

awaitable<standin_counters> read_counters(const load_settings& settings, net::http_client& client) {
  std::vector<endpoint> standins = settings.services;
  for (const engine_target& engine : settings.engines) {
    standins.push_back(engine.address);
  }
  net::exchange_limits limits;
  limits.head_timeout = counters_patience;
  limits.read_timeout = counters_patience;
  standin_counters sums;
  for (const endpoint& standin : standins) {
    net::http_request request;
    request.target = "/standin/counters";
    auto answer = co_await client.fetch(standin, std::move(request), limits);
    if (answer) {
      add(answer->body, sums);
    }
  }
  co_return sums;
}

void check_orders(const std::vector<sample>& samples, const standin_counters& counted,
                  run_result& into) {
  std::map<std::string, told> by_key;
  for (const sample& done : samples) {
    if (!done.idempotency_key.empty()) {
      told& so_far = by_key[done.idempotency_key];
      so_far.all_not_run = so_far.all_not_run && says_not_run(done.end);
    }
  }
  into.orders_checked = by_key.size();
  for (const auto& [key, heard] : by_key) {
    const auto runs = counted.runs_by_key.find(key);
    const std::uint64_t count = runs == counted.runs_by_key.end() ? 0 : runs->second;
    into.double_runs += count > 1 ? 1 : 0;
    into.false_not_run += count > 0 && heard.all_not_run ? 1 : 0;
  }
}

}  // namespace hawthornnotch::load
