// A backend server names the requests per second that it takes from all entry VMs together.
#include <algorithm>
#include <chrono>
#include <mutex>
#include <tuple>

#include "gateway_fixture.h"
#include "recording_peer.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The bound that the platform's rule states, from `settle_time` after the first answer that names
// the limit: `burst_factor` times the limit, and `burst_slack` requests, in any `window`.
constexpr milliseconds settle_time{3'000};
constexpr milliseconds window{4'000};
constexpr double burst_factor = 1.5;
constexpr std::size_t burst_slack = 5;

// A server that names a limit in every answer and records when requests arrive.
class limiting_server {
 public:
  // \param limit the value of the header; empty to leave it out.
  explicit limiting_server(std::string limit) : limit_(std::move(limit)) {}

  fake_server::behaviour behaviour() {
    return [this](const http_request& request, net::response_writer& writer) {
      return answer(request, writer);
    };
  }
  void set_limit(std::string limit) {
    const std::lock_guard lock(mutex_);
    limit_ = std::move(limit);
  }

  asio::awaitable<void> answer(const http_request& request, net::response_writer& writer) {
    http_response response;
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(steady_clock::now());
      if (!limit_.empty()) {
        response.headers.emplace_back("Server-Limit", limit_);
      }
    }
    response.headers.emplace_back("X-Attempt-Id", request.header("X-Attempt-Id").value_or(""));
    response.headers.emplace_back("X-Response-Seal", "seal");
    std::ignore = co_await writer.send(std::move(response));
  }

  std::size_t arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_.size();
  }
  // \returns the most requests in any window that begins `settle_time` after the first one or
  // later.
  std::size_t most_in_a_window() {
    const std::lock_guard lock(mutex_);
    std::size_t most = 0;
    auto end = arrivals_.begin();
    for (auto begin = arrivals_.begin(); begin != arrivals_.end(); ++begin) {
      end = std::find_if(end, arrivals_.end(), [&](auto at) { return at >= *begin + window; });
      if (*begin >= arrivals_.front() + settle_time) {
        most = std::max(most, static_cast<std::size_t>(end - begin));
      }
    }
    return most;
  }

 private:
  std::string limit_;
  std::mutex mutex_;
  std::vector<steady_clock::time_point> arrivals_;
};

// Sends reads to all VMs in turn for a time, then compares the windows with the bound.
void expect_limit_kept(std::size_t vms) {
  constexpr milliseconds load_time{9'000};
  constexpr milliseconds pause{10};
  limiting_server limiting("1");
  std::vector<std::unique_ptr<gateway_fixture>> fleet;
  endpoint limited_at;
  for (std::size_t number = 0; number < vms; ++number) {
    fleet.push_back(std::make_unique<gateway_fixture>());
    gateway_fixture& fixture = *fleet.back();
    if (number == 0) {
      limited_at = fixture.add_server("s1", "stations", limiting.behaviour()).address();
    } else {
      fixture.list("s1", "stations", limited_at);
    }
    fixture.add_server("other-" + std::to_string(number), "stations", answer_slowly);
    fixture.start_vm("entry-" + std::to_string(number),
                     number == 0 ? std::vector<endpoint>() : std::vector{fleet.front()->peers()});
  }
  const auto end = steady_clock::now() + load_time;
  while (steady_clock::now() < end) {
    for (const auto& fixture : fleet) {
      fixture->send_reads(1);
    }
    std::this_thread::sleep_for(pause);
  }
  const std::size_t allowed =
      static_cast<std::size_t>(burst_factor * std::chrono::duration<double>(window).count()) +
      burst_slack;
  const std::size_t most = limiting.most_in_a_window();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests, allowed " + std::to_string(allowed),
                         most <= allowed);
}

TEST_THAT(server_limit, is_not_exceeded_by_one_entry_vm) { expect_limit_kept(1); }

TEST_THAT(server_limit, is_not_exceeded_by_the_sum_over_eight_entry_vms) { expect_limit_kept(8); }

TEST_THAT(server_limit, refuses_at_once_with_retry_after_if_no_server_has_room) {
  limiting_server limiting("1");
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", limiting.behaviour());
  fixture.start();
  fixture.send_reads(1);
  const std::size_t before = limiting.arrivals();
  const http_response answer = fixture.expect_response(make_request("POST", "/order/", "o1"));
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"error":"overloaded"})"), answer.body);
  const double seconds = std::stod(std::string(*answer.header("Retry-After")));
  CPPUNIT_ASSERT(seconds >= 1.0 && seconds <= 2.0);
  CPPUNIT_ASSERT_EQUAL(before, limiting.arrivals());
}

TEST_THAT(server_limit, no_longer_applies_when_the_server_stops_naming_it) {
  limiting_server limiting("2");
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", limiting.behaviour());
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.start();
  fixture.send_reads(4);
  CPPUNIT_ASSERT_EQUAL(1.0, *fixture.metric("hawthornnotch_limited_servers"));
  limiting.set_limit("");
  fixture.await([&] {
    fixture.send_reads(1);
    return fixture.metric("hawthornnotch_limited_servers") == 0.0;
  });
  // More than the limit and unused permits would allow in this time.
  constexpr int requests = 60;
  const std::size_t before = limiting.arrivals();
  const auto begin = steady_clock::now();
  fixture.send_reads(requests);
  const std::chrono::duration<double> passed = steady_clock::now() - begin;
  const double allowed = 2.0 * (passed.count() + 1.5) + 1.0;
  CPPUNIT_ASSERT(static_cast<double>(limiting.arrivals() - before) > allowed);
}

// Such a process rejects messages with fields that it does not know.
TEST_THAT(server_limit, is_not_gossiped_to_a_process_of_an_earlier_release) {
  limiting_server limiting("2");
  loopback_runtime runtime;
  recording_peer earlier(runtime);
  gateway_fixture fixture;
  fixture.add_server("s1", "stations", limiting.behaviour());
  fixture.add_server("s2", "stations", answer_slowly);
  fixture.start({earlier.address()});
  fixture.send_reads(4);
  const std::size_t before = earlier.received_messages().size();
  constexpr std::size_t further_messages = 4;
  fixture.await([&] { return earlier.received_messages().size() >= before + further_messages; });
  for (const relay::exchange_message& each : earlier.received_messages()) {
    CPPUNIT_ASSERT(each.limits.empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, each.fleet_time.ms);
  }
}

}  // namespace
}  // namespace hawthornnotch::test
