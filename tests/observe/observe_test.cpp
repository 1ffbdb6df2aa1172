#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/observe/decision_ring.h"
#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/observe/metrics.h"
#include "test_case.h"

namespace hawthornnotch::observe {
namespace {

const line_origin origin{"router", "vm-1", {1'700'000'000'007}};

// The value of the one sample whose name and labels are `series`, or NaN.
double sample(const std::string& exposition, const std::string& series) {
  const std::size_t at = exposition.find("\n" + series + " ");
  if (at == std::string::npos) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  return std::stod(exposition.substr(at + series.size() + 2));
}

TEST_THAT(log_line, escapes_quotes_controls_and_broken_utf8_in_json) {
  const std::string text = "a\"b\\c\nd\x01 \xC5\xBE";
  const std::string line =
      format_line(log_format::json, origin, level::info, "x", {{"text", text}, {"bad", "\xFF!"}});
  const auto parsed = boost::json::parse(line).as_object();
  CPPUNIT_ASSERT_EQUAL(text, std::string(parsed.at("text").as_string()));
  CPPUNIT_ASSERT_EQUAL(std::string("?!"), std::string(parsed.at("bad").as_string()));
  CPPUNIT_ASSERT_EQUAL(std::string("2023-11-14T22:13:20.007Z"),
                       std::string(parsed.at("time").as_string()));
  CPPUNIT_ASSERT(line.find('\n') == std::string::npos);
}

TEST_THAT(log_line, quotes_what_is_not_one_plain_word_in_key_value) {
  const std::string line = format_line(log_format::key_value, origin, level::error, "shed",
                                       {{"class", "a b=c"}, {"tier", 0}, {"late", true}});
  CPPUNIT_ASSERT_EQUAL(
      std::string("time=2023-11-14T22:13:20.007Z level=error program=router vm=vm-1 event=shed "
                  "class=\"a b=c\" tier=0 late=true"),
      line);
}

TEST_THAT(metrics, quantiles_agree_with_the_exact_ones) {
  constexpr int values = 20'000;
  const auto registry = metrics::create(10);
  random_source random(11);
  std::vector<double> kept;
  for (int index = 0; index < values; ++index) {
    const double value = -std::log(1 - random.unit()) * 100;
    kept.push_back(value);
    registry->observe("wait_ms", {{"tier", "0"}}, value);
  }
  std::sort(kept.begin(), kept.end());
  const std::string text = registry->exposition();
  for (const std::string probability : {"0.5", "0.95", "0.99"}) {
    const double exact = kept.at(static_cast<std::size_t>(std::stod(probability) * values));
    const double shown = sample(text, R"(wait_ms{tier="0",quantile=")" + probability + "\"}");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(exact, shown, exact * 0.03);
  }
  CPPUNIT_ASSERT_EQUAL(double{values}, sample(text, R"(wait_ms_count{tier="0"})"));
}

TEST_THAT(metrics, quantiles_of_few_values_are_exact) {
  const auto registry = metrics::create(10);
  for (int value = 1; value <= 20; ++value) {
    registry->observe("wait_ms", {}, value);
  }
  const std::string text = registry->exposition();
  CPPUNIT_ASSERT_EQUAL(10.0, sample(text, R"(wait_ms{quantile="0.5"})"));
  CPPUNIT_ASSERT_EQUAL(19.0, sample(text, R"(wait_ms{quantile="0.95"})"));
  CPPUNIT_ASSERT_EQUAL(20.0, sample(text, R"(wait_ms{quantile="0.99"})"));
}

TEST_THAT(metrics, series_are_bounded_and_labels_escaped) {
  const auto registry = metrics::create(2);
  registry->count("requests_total", {{"class", "a\"\n"}}, 3);
  registry->gauge("queue", {}, 1.5);
  registry->count("requests_total", {{"class", "b"}});
  registry->gauge("requests_total", {{"class", "a\"\n"}}, 9);
  const std::string text = registry->exposition();
  CPPUNIT_ASSERT_EQUAL(3.0, sample(text, R"(requests_total{class="a\"\n"})"));
  CPPUNIT_ASSERT_EQUAL(1.5, sample(text, "queue"));
  CPPUNIT_ASSERT(text.find("class=\"b\"") == std::string::npos);
  CPPUNIT_ASSERT_EQUAL(2.0, sample(text, "hawthornnotch_series_rejected_total"));
}

TEST_THAT(decision_ring, keeps_the_newest_steps_in_order_and_no_more_than_its_capacity) {
  const auto ring = decision_ring::create(64);
  for (int step = 0; step < 1000; ++step) {
    ring->add("r-1", {step}, "queued", {{"server", "a\"b"}, {"step_number", step}});
  }
  const auto explained = boost::json::parse(ring->explain_json("r-1")).as_object();
  const auto& steps = explained.at("steps").as_array();
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, steps.size());
  std::int64_t expected = 996;
  for (const auto& step : steps) {
    CPPUNIT_ASSERT_EQUAL(expected, step.as_object().at("step_number").as_int64());
    ++expected;
  }
  CPPUNIT_ASSERT(boost::json::parse(ring->explain_json("r-2")).at("steps").as_array().empty());
}

}  // namespace
}  // namespace hawthornnotch::observe
