#include "hawthornnotch/observe/request_outcomes.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <string>

#include "test_case.h"

namespace hawthornnotch::observe {
namespace {

using namespace literals;

finished_request bulletin() {
  finished_request request;
  request.class_name = "bulletin";
  request.target = {1300_ms, 36_ms, std::nullopt};
  request.backend_server = "engine-1";
  request.first_token = 1300_ms;
  request.between_tokens = 36_ms;
  request.completion = 4_s;
  request.useful_tokens = 100;
  return request;
}

TEST_THAT(request_outcomes, a_request_is_in_target_only_if_completed_with_every_target_met) {
  finished_request request = bulletin();
  CPPUNIT_ASSERT(check_targets(request).all());
  request.between_tokens = 37_ms;
  CPPUNIT_ASSERT(!check_targets(request).all());
  CPPUNIT_ASSERT(check_targets(request).first_token);
  request = bulletin();
  request.target.completion = 3_s;
  CPPUNIT_ASSERT(!check_targets(request).all());
  request = bulletin();
  request.end = request_end::unknown;
  CPPUNIT_ASSERT(!check_targets(request).first_token);
}

TEST_THAT(request_outcomes, attainment_counts_refused_requests_and_waste_is_kept_by_class) {
  stepped_clock clock;
  const auto registry = metrics::create(100);
  const auto outcomes = request_outcomes::create(*registry, clock);
  outcomes->record(bulletin());
  finished_request refused = bulletin();
  refused.end = request_end::not_run;
  refused.queue_wait = 70_ms;
  refused.useful_tokens = 0;
  refused.wasted_tokens = 7;
  outcomes->record(refused);
  clock.advance(2_s);
  const auto summary = boost::json::parse(outcomes->summary_json());
  const auto& row = summary.at("classes").at(0).as_object();
  CPPUNIT_ASSERT_EQUAL(0.5, row.at("attainment").to_number<double>());
  CPPUNIT_ASSERT_EQUAL(0.5, row.at("goodput_per_s").to_number<double>());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, row.at("wasted_tokens").as_int64());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{70}, row.at("longest_queue_wait_ms").as_int64());
  const std::string text = registry->exposition();
  CPPUNIT_ASSERT(text.find("hawthornnotch_requests_total{class=\"bulletin\",tier=\"0\",end="
                           "\"not_run\"} 1") != std::string::npos);
}

TEST_THAT(request_outcomes, classes_beyond_the_bound_are_counted_together) {
  stepped_clock clock;
  const auto registry = metrics::create(100);
  const auto outcomes = request_outcomes::create(*registry, clock);
  for (int index = 0; index < 5000; ++index) {
    const std::string name = "class-" + std::to_string(index);
    finished_request request = bulletin();
    request.class_name = name;
    outcomes->record(request);
  }
  const auto summary = boost::json::parse(outcomes->summary_json());
  CPPUNIT_ASSERT(summary.at("classes").as_array().size() <= 8 * 33);
}

}  // namespace
}  // namespace hawthornnotch::observe
