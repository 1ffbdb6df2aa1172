// Guards against callers who are not served since their entry VM reaches no backend server.
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "gateway_fixture.h"
#include "hawthornnotch/net/deflate.h"
#include "hawthornnotch/relay/exchange.h"
#include "partitioned_client.h"
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
  explicit cut_off_fleet(const fake_server::behaviour& answers = answer_ok,
                         bool answers_at_once = true) {
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
    const int warming_requests = answers_at_once ? counted_requests : 0;
    for (int number = 0; number < warming_requests; ++number) {
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
    callers.reserve(kinds);
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

  // \returns how often servers received a request.
  std::size_t count_received(const std::string& id) {
    std::size_t count = 0;
    for (fake_server* server : servers) {
      for (const http_request& each : server->received()) {
        count += each.header("X-Attempt-Id") == id ? 1 : 0;
      }
    }
    return count;
  }

  std::size_t count_disconnects() {
    std::size_t count = 0;
    for (fake_server* server : servers) {
      count += server->disconnects();
    }
    return count;
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

TEST_THAT(cut_off_vm, refuses_at_once_as_not_run_where_nobody_reaches_servers) {
  gateway_fixture alone;
  const auto partition = std::make_shared<network_partition>();
  alone.connect_through(std::make_unique<partitioned_client>(partition));
  for (std::size_t number = 0; number < forecast_servers; ++number) {
    fake_server& server = alone.add_server("s" + std::to_string(number), "forecast", stream_four);
    partition->cut(server.address(), partition_kind::silent);
  }
  alone.start();
  alone.await([&] {
    return alone.metric("hawthornnotch_cut_off_services") == 1.0 ||
           alone.call(make_request("POST", "/draft/1", "a")).has_value() == false;
  });
  const auto begun = steady_clock::now();
  const auto answer = alone.call(make_request("POST", "/draft/1", "b"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(503U, answer->status);
  CPPUNIT_ASSERT(answer->header("Retry-After").has_value());
  CPPUNIT_ASSERT(steady_clock::now() - begun < milliseconds(250));
}

// The connection between the VMs may break after the request was sent.
TEST_THAT(forwarded_request, is_not_repeated_if_it_may_have_run) {
  cut_off_fleet fleet(abort_connection, false);
  fleet.cut_all(partition_kind::reset);
  fleet.settle();
  const auto received_before = fleet.count_received("x");
  const auto answer = fleet.cut_off.call(make_request("POST", "/order/1", "x"));
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(502U, answer->status);
  CPPUNIT_ASSERT_EQUAL(received_before + 1, fleet.count_received("x"));
}

TEST_THAT(forwarded_request, is_cancelled_at_the_server_when_its_caller_leaves) {
  cut_off_fleet fleet(never_answer, false);
  fleet.cut("stations", partition_kind::reset, stations_servers, 0);
  const auto before = fleet.count_disconnects();
  for (int number = 0; number < 3; ++number) {
    fleet.cut_off.call_and_disconnect(make_request("POST", "/order/1", std::to_string(number)));
  }
  fleet.cut_off.await([&] { return fleet.count_disconnects() >= before + 3; });
}

TEST_THAT(forwarded_request, reaches_the_server_as_it_came) {
  cut_off_fleet fleet;
  fleet.cut_all(partition_kind::reset);
  fleet.settle();
  http_request request = make_request("POST", "/order/1?a=b", "whole");
  request.body = std::string(100'000, 'x');
  request.headers.emplace_back("Hawthornnotch-Forward-To", "a caller's");
  const auto answer = fleet.cut_off.call(request);
  CPPUNIT_ASSERT(answer);
  CPPUNIT_ASSERT_EQUAL(200U, answer->status);
  CPPUNIT_ASSERT_EQUAL(std::string("seal"), std::string(*answer->header("X-Response-Seal")));
  CPPUNIT_ASSERT(!answer->header("Hawthornnotch-Forward-Outcome"));
  CPPUNIT_ASSERT_EQUAL(request.target + "|" + request.body, answer->body);
  for (fake_server* server : fleet.servers) {
    for (const http_request& each : server->received()) {
      if (each.header("X-Attempt-Id") == "whole") {
        CPPUNIT_ASSERT(each.header("Hawthornnotch-Forward-To") == "a caller's");
        CPPUNIT_ASSERT(each.header("X-Expect-Instance") == server->id());
        CPPUNIT_ASSERT(!each.header("Hawthornnotch-Forward-Request"));
      }
    }
  }
}

TEST_THAT(forwarded_request, brings_each_event_of_a_stream_once) {
  cut_off_fleet fleet;
  fleet.cut_all(partition_kind::silent);
  fleet.settle();
  const auto answer = fleet.cut_off.call(make_request("POST", "/draft/1", "stream"));
  CPPUNIT_ASSERT(answer);
  std::string expected;
  for (int id = 1; id <= 4; ++id) {
    expected += "id: " + std::to_string(id) + "\ndata: token\n\n";
  }
  CPPUNIT_ASSERT_EQUAL(expected, answer->body);
}

// Makes the process of a VM stand still for a time.
void stall(gateway_fixture& vm, milliseconds time) {
  boost::asio::post(vm.gateway().executor(), [time] { std::this_thread::sleep_for(time); });
}

// Sends bytes and closes the connection at once.
void send_and_leave(const endpoint& to, const std::string& bytes) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address(to.address), to.port});
  boost::asio::write(socket, boost::asio::buffer(bytes));
}

constexpr milliseconds stall_time{300};

TEST_THAT(forwarded_request, is_not_sent_if_its_sender_left_while_the_vm_stood_still) {
  cut_off_fleet fleet;
  fleet.cut_all(partition_kind::reset);
  fleet.settle(milliseconds(1'000));
  fake_server& server = *fleet.servers.front();
  stall(fleet.other, stall_time);
  send_and_leave(fleet.other.peers(),
                 "POST /order/1 HTTP/1.1\r\nHost: ice.example\r\nX-Attempt-Id: left\r\n"
                 "Hawthornnotch-Forward-To: " +
                     server.id() +
                     "\r\nHawthornnotch-Forward-Start-Time: 1\r\n"
                     "Hawthornnotch-Forward-Time-Ms: 5000\r\n"
                     "Hawthornnotch-Forward-Request: left\r\nContent-Length: 0\r\n\r\n");
  std::this_thread::sleep_for(2 * stall_time);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.count_received("left"));
}

TEST_THAT(request, is_not_sent_if_its_caller_left_while_the_vm_stood_still) {
  gateway_fixture fixture;
  fake_server& server = fixture.add_server("s1", "stations", answer_ok);
  fixture.start();
  fixture.send_reads(4);
  const std::size_t before = server.received().size();
  stall(fixture, stall_time);
  send_and_leave(fixture.callers(),
                 "GET /open/1 HTTP/1.1\r\nHost: ice.example\r\nX-Attempt-Id: left\r\n\r\n");
  std::this_thread::sleep_for(2 * stall_time);
  CPPUNIT_ASSERT_EQUAL(before, server.received().size());
}

// A VM of an earlier release: it takes part in exchanges and rejects all other messages.
class earlier_vm {
 public:
  earlier_vm()
      : server_(runtime_, "earlier",
                [this](const http_request& request,
                       net::response_writer& writer) -> boost::asio::awaitable<void> {
                  http_response response;
                  if (request.target == "/exchange") {
                    response.body = net::deflate(relay::encode(next_message()));
                  } else {
                    ++rejected_;
                    response.status = 400;
                  }
                  std::ignore = co_await writer.send(std::move(response));
                }) {}
  ~earlier_vm() { runtime_.stop(); }
  earlier_vm(const earlier_vm&) = delete;
  earlier_vm& operator=(const earlier_vm&) = delete;
  [[nodiscard]] endpoint address() const { return server_.address(); }
  [[nodiscard]] int rejected() const { return rejected_; }

 private:
  relay::exchange_message next_message() {
    relay::exchange_message message;
    message.from.vm = "earlier";
    message.from.incarnation = "1";
    message.from.heartbeat = ++heartbeat_;
    message.from.address = address();
    return message;
  }

  std::atomic<std::uint64_t> heartbeat_{0};
  std::atomic<int> rejected_{0};
  loopback_runtime runtime_;
  fake_server server_;
};

TEST_THAT(forwarded_request, goes_to_another_vm_if_one_is_of_an_earlier_release) {
  cut_off_fleet fleet;
  earlier_vm earlier;
  gateway_fixture third;
  third.start_vm("entry-3", {fleet.cut_off.peers(), earlier.address()});
  fleet.cut_off.await([&] { return fleet.cut_off.metric("hawthornnotch_live_entry_vms") == 4.0; });
  fleet.cut_all(partition_kind::reset);
  fleet.settle();
  CPPUNIT_ASSERT_EQUAL(counted_requests, fleet.count_served("c"));
  CPPUNIT_ASSERT(earlier.rejected() > 0);
}

}  // namespace
}  // namespace hawthornnotch::test
