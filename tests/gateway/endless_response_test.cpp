// Faulty servers that send bytes without end, either as fast as they are read or as a trickle.
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "gateway/held_memory.h"
#include "gateway_fixture.h"
#include "raw_server.h"
#include "test_case.h"

namespace hawthornnotch::test {
namespace {

/// Far above what a bounded reader buffers, far below what an unbounded one does.
constexpr std::uint64_t max_growth_bytes = 32ULL * 1024 * 1024;

// What a server writes after it has read the head of a request.
struct endless_output {
  const char* what;
  // Written once; `%` is replaced by the request's id.
  std::string prefix;
  // Written repeatedly.
  std::string repeated;
};

const std::string sealed_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %\r\nX-Response-Seal: seal\r\n";

std::string with_id(std::string text, const std::string& id) {
  const std::size_t at = text.find('%');
  return at == std::string::npos ? text : text.replace(at, 1, id);
}

std::vector<endless_output> endless_outputs() {
  const std::string chunked = sealed_head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"a header line", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaa"},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
      {"no HTTP at all", "", "\x01\x02garbage"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"answers to nobody", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
      {"the body of an answer to nobody", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
      {"an unsealed body", "HTTP/1.1 200 OK\r\nX-Attempt-Id: %\r\n\r\n", "aaaaaaaa"},
      {"a chunk extension", chunked + "5;a=", "aaaaaaaa"},
      {"a trailer", chunked + "2\r\nok\r\n0\r\nX-Trailer: ", "aaaaaaaa"},
      {"trailers", chunked + "2\r\nok\r\n0\r\n", "X-Trailer: a\r\n"},
      {"the body of a failure",
       "HTTP/1.1 500 Bad\r\nX-Attempt-Id: %\r\nX-Response-Seal: seal\r\n\r\n", "aaaaaaaa"},
      {"a body without a length", sealed_head + "\r\n", "aaaaaaaa"},
  };
}

std::vector<endless_output> endless_streams() {
  const std::string begin =
      sealed_head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n";
  return {
      {"an event without its end", begin + "id: 2\ndata: ", "aaaaaaaa"},
      {"the same event", begin, "id: 1\ndata: token\n\n"},
      {"comments", begin, ":\n"},
  };
}

// A server that answers a request for `/order/3` with output 3 and counts how outputs end.
class endless_server {
 public:
  enum class pace : std::uint8_t { fast, slow };
  endless_server(std::vector<endless_output> what, pace at)
      : what_(std::move(what)),
        pace_(at),
        server_([this](raw_connection& peer) { write_output(peer); }) {}
  [[nodiscard]] endpoint address() const { return server_.address(); }
  // Outputs that the gateway aborted, and those that it read on and on.
  [[nodiscard]] std::size_t aborted() const { return aborted_; }
  [[nodiscard]] std::size_t endless() const { return endless_; }

 private:
  void write_output(raw_connection& peer) {
    const std::string head = peer.read_head();
    if (head.empty()) {
      return;
    }
    const std::size_t from = head.find('/', head.find('/') + 1) + 1;
    const endless_output& what = what_.at(std::stoul(head.substr(from)));
    bool closed = !peer.write(with_id(what.prefix, find_header(head, "X-Attempt-Id")));
    if (!closed) {
      closed = pace_ == pace::fast ? peer.write_until_closed(what.repeated)
                                   : peer.trickle_until_closed(what.repeated);
    }
    ++(closed ? aborted_ : endless_);
  }

  std::vector<endless_output> what_;
  pace pace_;
  std::atomic<std::size_t> aborted_{0};
  std::atomic<std::size_t> endless_{0};
  raw_server server_;
};

// Samples the memory of this process during its lifetime.
class memory_monitor {
 public:
  memory_monitor() : sampler_([this] { sample(); }) {}
  ~memory_monitor() {
    done_ = true;
    sampler_.join();
  }
  memory_monitor(const memory_monitor&) = delete;
  memory_monitor& operator=(const memory_monitor&) = delete;
  [[nodiscard]] std::uint64_t growth() const { return growth_; }

 private:
  void sample() {
    memory_tracker memory;
    while (!done_) {
      memory.take_sample();
      growth_ = memory.growth();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::atomic<bool> done_{false};
  std::atomic<std::uint64_t> growth_{0};
  std::thread sampler_;
};

using discarded_response = gateway_fixture::discarded_response;
using check =
    std::function<void(const char* what, const result<discarded_response, net::net_failure>&)>;

// Calls a gateway whose only server sends these outputs, one per call, and waits until the gateway
// has aborted each.
void call_endless_server(const std::vector<endless_output>& endless_outputs,
                         endless_server::pace pace, const std::string& service,
                         const std::string& path, const check& expect) {
  endless_server server(endless_outputs, pace);
  gateway_fixture fixture;
  fixture.list("s1", service, server.address());
  fixture.start();
  const memory_monitor memory;
  for (std::size_t number = 0; number < endless_outputs.size(); ++number) {
    const char* what = endless_outputs[number].what;
    const std::string id = std::to_string(number);
    expect(what, fixture.read_and_discard(make_request("POST", path + id, "r" + id)));
    fixture.await([&] { return server.aborted() + server.endless() > number; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, number + 1, server.aborted());
    CPPUNIT_ASSERT_MESSAGE(what, memory.growth() < max_growth_bytes);
  }
}

TEST_THAT(endless_response, is_aborted_within_memory_bounds_and_reported_as_possibly_executed) {
  call_endless_server(endless_outputs(), endless_server::pace::fast, "stations", "/order/",
                      [](const char* what, const auto& answer) {
                        const bool told = answer ? answer->status == 502
                                                 : answer.last_reason().request_may_have_been_sent;
                        CPPUNIT_ASSERT_MESSAGE(what, told);
                      });
}

TEST_THAT(endless_response, in_a_stream_is_aborted_within_memory_bounds) {
  call_endless_server(endless_streams(), endless_server::pace::fast, "forecast", "/draft/",
                      [](const char* what, const auto& answer) {
                        CPPUNIT_ASSERT_MESSAGE(what, !answer.has_value());
                      });
}

TEST_THAT(endless_response, that_trickles_ends_at_the_route_timeout) {
  call_endless_server(endless_outputs(), endless_server::pace::slow, "stations", "/late/",
                      [](const char* what, const auto& answer) {
                        CPPUNIT_ASSERT_MESSAGE(what, answer.has_value());
                        CPPUNIT_ASSERT_MESSAGE(what,
                                               answer->status == 504 || answer->status == 502);
                      });
}

TEST_THAT(endless_response, after_a_complete_one_is_discarded) {
  raw_server server([](raw_connection& peer) {
    const std::string head = peer.read_head();
    const std::string id = find_header(head, "X-Attempt-Id");
    const std::string answer =
        with_id(sealed_head, id) + "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    // The first of these bytes arrive with the response, so the connection can't be reused.
    if (!head.empty() && peer.write(answer + "bytes of nobody")) {
      peer.write_until_closed("bytes of nobody");
    }
  });
  gateway_fixture fixture;
  fixture.list("s1", "stations", server.address());
  fixture.start();
  constexpr int requests = 20;
  for (int number = 0; number < requests; ++number) {
    const std::string id = "r" + std::to_string(number);
    const http_response answer = fixture.expect_response(make_request("POST", "/order/", id));
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT_EQUAL(id, answer.body);
  }
}

TEST_THAT(slow_response, of_a_healthy_server_is_not_aborted) {
  constexpr int events = 30;
  raw_server server([](raw_connection& peer) {
    const std::string head = peer.read_head();
    const std::string id = find_header(head, "X-Attempt-Id");
    bool open = !head.empty() && peer.write(with_id(sealed_head, id) + "\r\n");
    for (int event = 1; open && event <= events; ++event) {
      open = peer.write("id: " + std::to_string(event) + "\ndata: token\n\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  gateway_fixture fixture;
  fixture.list("s1", "forecast", server.address());
  fixture.start();
  const http_response answer = fixture.expect_response(make_request("POST", "/draft/", "r1"));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(answer.body.find("id: 30\n") != std::string::npos);
}

// If buffered completely, a few such responses would fill the memory of a small VM.
TEST_THAT(large_response, of_a_healthy_server_is_forwarded_completely_without_buffering) {
  constexpr std::uint64_t bytes = 40ULL * 1024 * 1024;
  raw_server server([](raw_connection& peer) {
    const std::string head = peer.read_head();
    const std::string id = find_header(head, "X-Attempt-Id");
    bool open = !head.empty() && peer.write(with_id(sealed_head, id) + "Content-Length: " +
                                            std::to_string(bytes) + "\r\n\r\n");
    const std::string block(64 * 1024, 'a');
    for (std::uint64_t written = 0; open && written < bytes; written += block.size()) {
      open = peer.write(block);
    }
    peer.read_head();
  });
  gateway_fixture fixture;
  fixture.list("s1", "stations", server.address());
  fixture.start();
  const memory_monitor memory;
  const auto seen = fixture.read_and_discard(make_request("POST", "/order/", "r1"));
  CPPUNIT_ASSERT(seen.has_value());
  CPPUNIT_ASSERT_EQUAL(bytes, seen->body_bytes);
  CPPUNIT_ASSERT(memory.growth() < max_growth_bytes);
}

/// Memory of the smallest VMs; the callers and the server in this process take a part of it.
constexpr std::uint64_t max_growth_of_many_bytes = 120'000'000;

// Guards against a process that runs out of memory as many answers without end are read at once
// (report of operators): each is bounded, but their sum was not.
TEST_THAT(endless_response, to_many_callers_at_once_leaves_memory_for_others) {
  constexpr int callers = 200;
  constexpr int reads = 100;
  endless_server server(endless_streams(), endless_server::pace::fast);
  gateway_fixture fixture;
  fixture.list("s1", "forecast", server.address());
  fake_server& sound = fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  const memory_monitor memory;
  std::vector<std::future<bool>> open;
  open.reserve(callers);
  for (int number = 0; number < callers; ++number) {
    const std::string id = "e" + std::to_string(number);
    open.push_back(std::async(std::launch::async, [&fixture, id] {
      const auto answer = fixture.read_and_discard(make_request("POST", "/draft/0", id));
      return answer && answer->status == 200;
    }));
  }
  fixture.send_reads(reads);
  for (auto& each : open) {
    CPPUNIT_ASSERT(!each.get());
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{reads}, sound.received().size());
  CPPUNIT_ASSERT_LESS(max_growth_of_many_bytes, memory.growth());
}

// Callers that do not read keep what was read for them.
TEST_THAT(endless_response, to_many_callers_that_do_not_read_leaves_memory_for_others) {
  constexpr int callers = 400;
  constexpr int reads = 100;
  endless_server server(endless_streams(), endless_server::pace::fast);
  gateway_fixture fixture;
  fixture.list("s1", "forecast", server.address());
  fake_server& sound = fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  const memory_monitor memory;
  std::vector<std::unique_ptr<net::response_stream>> unread;
  unread.reserve(callers);
  for (int number = 0; number < callers; ++number) {
    unread.push_back(
        fixture.open_unread(make_request("POST", "/draft/0", "e" + std::to_string(number))));
  }
  fixture.send_reads(reads);
  CPPUNIT_ASSERT_EQUAL(std::size_t{reads}, sound.received().size());
  CPPUNIT_ASSERT_LESS(max_growth_of_many_bytes, memory.growth());
}

// Events that are complete wait for their callers in memory, too.
TEST_THAT(endless_response, of_large_events_is_aborted_if_its_caller_does_not_read) {
  constexpr int callers = 60;
  constexpr int reads = 100;
  const std::string event = ":" + std::string(900'000, 'a') + "\n\n";
  std::atomic<int> aborted{0};
  raw_server server([&](raw_connection& peer) {
    const std::string head = peer.read_head();
    if (head.empty()) {
      return;
    }
    bool open = peer.write(with_id(sealed_head, find_header(head, "X-Attempt-Id")) + "\r\n");
    while (open) {
      open = peer.write(event);
    }
    ++aborted;
  });
  gateway_fixture fixture;
  fixture.list("s1", "forecast", server.address());
  fixture.add_server("s2", "stations", answer_ok);
  fixture.start();
  std::vector<std::unique_ptr<net::response_stream>> unread;
  unread.reserve(callers);
  for (int number = 0; number < callers; ++number) {
    unread.push_back(
        fixture.open_unread(make_request("POST", "/draft/0", "e" + std::to_string(number))));
  }
  fixture.await([&] { return aborted > 0; });
  fixture.send_reads(reads);
}

TEST_THAT(held_memory, makes_the_largest_holder_give_way) {
  using gateway::internal::held_memory;
  held_memory all(100);
  int small_ended = 0;
  int large_ended = 0;
  held_memory::share small(all, [&] { ++small_ended; });
  held_memory::share large(all, [&] { ++large_ended; });
  large.set(60);
  small.set(40);
  CPPUNIT_ASSERT_EQUAL(0, large_ended);
  small.set(41);
  CPPUNIT_ASSERT_EQUAL(1, large_ended);
  CPPUNIT_ASSERT_EQUAL(0, small_ended);
  CPPUNIT_ASSERT_EQUAL(std::size_t{41}, all.bytes());
  // Its end takes a moment.
  large.set(70);
  CPPUNIT_ASSERT_EQUAL(std::size_t{41}, all.bytes());
  large.set(0);
  large.set(50);
  CPPUNIT_ASSERT_EQUAL(std::size_t{91}, all.bytes());
}

}  // namespace
}  // namespace hawthornnotch::test
