// Servers in trouble whose bytes never end: as fast as they are taken, or one now and then.
#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include "raw_server.h"
#include "test_case.h"
#include "world.h"

namespace hawthornnotch::test {
namespace {

/// Far above what a bounded reader holds, far below what an unbounded one takes.
constexpr std::uint64_t most_growth_bytes = 32ULL * 1024 * 1024;

// What a server writes after the head of a request, whose id it is given.
struct outburst {
  const char* what;
  // Written once; `%` stands for the request's id.
  std::string begin;
  // Written again and again.
  std::string rest;
};

const std::string sealed_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %\r\nX-Response-Seal: seal\r\n";

std::string with_id(std::string text, const std::string& id) {
  const std::size_t at = text.find('%');
  return at == std::string::npos ? text : text.replace(at, 1, id);
}

std::vector<outburst> outbursts() {
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

std::vector<outburst> stream_outbursts() {
  const std::string begin =
      sealed_head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n";
  return {
      {"an event without its end", begin + "id: 2\ndata: ", "aaaaaaaa"},
      {"the same event", begin, "id: 1\ndata: token\n\n"},
      {"comments", begin, ":\n"},
  };
}

// A server that answers a request for `/order/3` with the third outburst; tells how each ended.
class bursting_server {
 public:
  enum class pace : std::uint8_t { fast, slow };
  bursting_server(std::vector<outburst> what, pace at)
      : what_(std::move(what)), pace_(at), server_([this](raw_connection& peer) { burst(peer); }) {}
  [[nodiscard]] endpoint address() const { return server_.address(); }
  // Outbursts that the gateway ended, and those that it took without an end.
  [[nodiscard]] std::size_t ended() const { return ended_; }
  [[nodiscard]] std::size_t endless() const { return endless_; }

 private:
  void burst(raw_connection& peer) {
    const std::string head = peer.read_head();
    if (head.empty()) {
      return;
    }
    const std::size_t from = head.find('/', head.find('/') + 1) + 1;
    const outburst& what = what_.at(std::stoul(head.substr(from)));
    bool closed = !peer.write(with_id(what.begin, find_header(head, "X-Attempt-Id")));
    if (!closed) {
      closed = pace_ == pace::fast ? peer.write_until_closed(what.rest)
                                   : peer.trickle_until_closed(what.rest);
    }
    ++(closed ? ended_ : endless_);
  }

  std::vector<outburst> what_;
  pace pace_;
  std::atomic<std::size_t> ended_{0};
  std::atomic<std::size_t> endless_{0};
  raw_server server_;
};

// Looks at the memory of this process as long as it lives.
class memory_guard {
 public:
  memory_guard() : watching_([this] { watch(); }) {}
  ~memory_guard() {
    done_ = true;
    watching_.join();
  }
  memory_guard(const memory_guard&) = delete;
  memory_guard& operator=(const memory_guard&) = delete;
  [[nodiscard]] std::uint64_t growth() const { return growth_; }

 private:
  void watch() {
    memory_tracker memory;
    while (!done_) {
      memory.take_sample();
      growth_ = memory.growth();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::atomic<bool> done_{false};
  std::atomic<std::uint64_t> growth_{0};
  std::thread watching_;
};

using seen_answer = gateway_world::seen_answer;
using check = std::function<void(const char* what, const result<seen_answer, net::net_failure>&)>;

// Calls a gateway whose only server gives these outbursts, one after another, and waits until it
// has left each.
void call_bursting(const std::vector<outburst>& outbursts, bursting_server::pace pace,
                   const std::string& service, const std::string& path, const check& expect) {
  bursting_server server(outbursts, pace);
  gateway_world world;
  world.list("s1", service, server.address());
  world.start();
  const memory_guard memory;
  for (std::size_t number = 0; number < outbursts.size(); ++number) {
    const char* what = outbursts[number].what;
    const std::string id = std::to_string(number);
    expect(what, world.read_through(make_request("POST", path + id, "r" + id)));
    world.await([&] { return server.ended() + server.endless() > number; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, number + 1, server.ended());
    CPPUNIT_ASSERT_MESSAGE(what, memory.growth() < most_growth_bytes);
  }
}

TEST_THAT(endless_answer, is_left_within_bounds_and_the_caller_is_told_that_it_may_have_run) {
  call_bursting(outbursts(), bursting_server::pace::fast, "stations", "/order/",
                [](const char* what, const auto& answer) {
                  const bool told = answer ? answer->status == 502
                                           : answer.last_reason().request_may_have_been_sent;
                  CPPUNIT_ASSERT_MESSAGE(what, told);
                });
}

TEST_THAT(endless_answer, of_a_stream_is_left_within_bounds_and_cut) {
  call_bursting(stream_outbursts(), bursting_server::pace::fast, "forecast", "/draft/",
                [](const char* what, const auto& answer) {
                  CPPUNIT_ASSERT_MESSAGE(what, !answer.has_value());
                });
}

TEST_THAT(endless_answer, that_trickles_ends_with_the_routes_time) {
  call_bursting(outbursts(), bursting_server::pace::slow, "stations", "/late/",
                [](const char* what, const auto& answer) {
                  CPPUNIT_ASSERT_MESSAGE(what, answer.has_value());
                  CPPUNIT_ASSERT_MESSAGE(what, answer->status == 504 || answer->status == 502);
                });
}

TEST_THAT(endless_answer, after_a_whole_one_is_nobodys) {
  raw_server server([](raw_connection& peer) {
    const std::string head = peer.read_head();
    const std::string id = find_header(head, "X-Attempt-Id");
    const std::string answer =
        with_id(sealed_head, id) + "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    // The first of these bytes come together with the answer: the connection can't be kept.
    if (!head.empty() && peer.write(answer + "bytes of nobody")) {
      peer.write_until_closed("bytes of nobody");
    }
  });
  gateway_world world;
  world.list("s1", "stations", server.address());
  world.start();
  constexpr int requests = 20;
  for (int number = 0; number < requests; ++number) {
    const std::string id = "r" + std::to_string(number);
    const http_response answer = world.must_answer(make_request("POST", "/order/", id));
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT_EQUAL(id, answer.body);
  }
}

TEST_THAT(slow_answer, of_a_sound_server_is_not_cut) {
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
  gateway_world world;
  world.list("s1", "forecast", server.address());
  world.start();
  const http_response answer = world.must_answer(make_request("POST", "/draft/", "r1"));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(answer.body.find("id: 30\n") != std::string::npos);
}

// Held whole in memory, some of these would fill a small VM.
TEST_THAT(long_answer, of_a_sound_server_is_handed_on_whole_without_being_held) {
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
  gateway_world world;
  world.list("s1", "stations", server.address());
  world.start();
  const memory_guard memory;
  const auto seen = world.read_through(make_request("POST", "/order/", "r1"));
  CPPUNIT_ASSERT(seen.has_value());
  CPPUNIT_ASSERT_EQUAL(bytes, seen->body_bytes);
  CPPUNIT_ASSERT(memory.growth() < most_growth_bytes);
}

}  // namespace
}  // namespace hawthornnotch::test
