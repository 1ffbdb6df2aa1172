// Guards against callers who are not served since their entry VM reaches no backend server.
#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "gateway_fixture.h"
#include "partitioned_client.h"
#include "recording_peer.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// `StabilityMs`: first tries count from this time after the cut on.
constexpr milliseconds settle_time{3'000};
constexpr int counted_requests = 60;
constexpr int kinds = 3;
constexpr std::size_t stations_servers = 4;
constexpr std::size_t forecast_servers = 6;

// Two entry VMs with the same servers; the first can be cut off from them.
class cut_off_fleet {
 public:
  explicit cut_off_fleet(const fake_server::behaviour& answers = answer_ok) {
    cut_off.connect_through(std::make_unique<partitioned_client>(partition));
    for (std::size_t number = 0; number < stations_servers; ++number) {
      add("stations", number, answers);
    }
    for (std::size_t number = 0; number < forecast_servers; ++number) {
      add("forecast", number, stream_four);
    }
    cut_off.start();
    other.start({cut_off.peers()});
    cut_off.await([&] { return cut_off.metric("hawthornnotch_live_entry_vms") == 2.0; });
    for (int number = 0; number < counted_requests; ++number) {
      std::ignore = cut_off.call(make_request("GET", "/read/0", "warm" + std::to_string(number)));
    }
  }

  void cut(const std::string& service, partition_kind kind, std::size_t count = 100,
           std::size_t kept_connections = 1) {
    for (fake_server* server : servers) {
      if (server->id().starts_with(service) && count > 0) {
        partition->cut(server->address(), kind, kept_connections);
        --count;
      }
    }
  }

  void cut_all(partition_kind kind) {
    cut("stations", kind);
    cut("forecast", kind);
  }

  // Sends requests of each kind, side by side, for as long as they don't count.
  void settle(milliseconds time = settle_time) {
    const auto end = steady_clock::now() + time;
    std::vector<std::future<void>> callers;
    for (int kind = 0; kind < kinds; ++kind) {
      callers.push_back(std::async(std::launch::async, [this, kind, end] {
        for (int number = kind; steady_clock::now() < end; number += kinds) {
          std::ignore = send("settle" + std::to_string(number), number);
        }
      }));
    }
  }

  // \returns the status of one first try at the cut-off VM.
  unsigned send(const std::string& id, int number) {
    const std::array<const char*, kinds> paths = {"/read/1", "/order/1", "/draft/1"};
    const auto answer = cut_off.call(make_request("POST", paths.at(number % kinds), id));
    return answer ? answer->status : 0;
  }

  // \returns how many of the counted first tries were served.
  int count_served(const std::string& id) {
    int served = 0;
    for (int number = 0; number < counted_requests; ++number) {
      served += send(id + std::to_string(number), number) == 200 ? 1 : 0;
    }
    return served;
  }

  std::shared_ptr<network_partition> partition = std::make_shared<network_partition>();
  gateway_fixture cut_off;
  gateway_fixture other;
  std::vector<fake_server*> servers;

 private:
  void add(const std::string& service, std::size_t number, fake_server::behaviour answers) {
    const std::string id = service + "-" + std::to_string(number);
    servers.push_back(&cut_off.add_server(id, service, std::move(answers)));
    other.list(*servers.back(), service);
  }
};

TEST_THAT(cut_off_vm, serves_callers_while_connections_to_servers_hang) {
  cut_off_fleet fleet;
  fleet.cut_all(partition_kind::silent);
  fleet.settle();
  CPPUNIT_ASSERT_EQUAL(counted_requests, fleet.count_served("c"));
}

TEST_THAT(cut_off_vm, serves_callers_while_servers_refuse_connections) {
  cut_off_fleet fleet;
  fleet.cut_all(partition_kind::reset);
  fleet.settle();
  CPPUNIT_ASSERT_EQUAL(counted_requests, fleet.count_served("c"));
}

TEST_THAT(cut_off_vm, serves_callers_of_the_one_service_that_it_lost) {
  cut_off_fleet fleet;
  fleet.cut("stations", partition_kind::silent);
  fleet.settle();
  CPPUNIT_ASSERT_EQUAL(counted_requests, fleet.count_served("c"));
}

TEST_THAT(cut_off_vm, serves_callers_while_it_reaches_a_part_of_the_servers) {
  cut_off_fleet fleet;
  fleet.cut("stations", partition_kind::silent, stations_servers - 1);
  fleet.cut("forecast", partition_kind::silent, forecast_servers - 2);
  fleet.settle();
  CPPUNIT_ASSERT_EQUAL(counted_requests, fleet.count_served("c"));
}

// Connections that close and then are refused look like a crash of each server.
TEST_THAT(cut_off_vm, charges_no_request_with_crashes) {
  for (const std::size_t cut_off_servers : {forecast_servers, forecast_servers / 2}) {
    cut_off_fleet fleet;
    fleet.cut("forecast", partition_kind::reset, cut_off_servers);
    fleet.settle();
    const std::string metrics = fleet.cut_off.metrics_text();
    CPPUNIT_ASSERT(metrics.find("hawthornnotch_crashes_charged_total") == std::string::npos);
  }
}

TEST_THAT(cut_off_vm, sends_to_servers_itself_soon_after_the_cut) {
  cut_off_fleet fleet;
  fleet.cut_all(partition_kind::silent);
  fleet.settle();
  fleet.partition->heal();
  constexpr milliseconds recovery_time{2'000};
  fleet.settle(recovery_time);
  CPPUNIT_ASSERT(fleet.cut_off.metric("hawthornnotch_broken_paths") == 0.0);
  CPPUNIT_ASSERT_EQUAL(counted_requests, fleet.count_served("c"));
}

}  // namespace
}  // namespace hawthornnotch::test
