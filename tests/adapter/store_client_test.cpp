// The client of the platform's store against a store in trouble.
#include "platform/store_client.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <optional>

#include "raw_server.h"
#include "test_case.h"

namespace hawthornnotch::adapter {
namespace {

namespace asio = boost::asio;
using test::raw_connection;
using test::raw_server;

/// Far above what one bounded answer holds, far below what an unbounded reader takes.
constexpr std::uint64_t most_growth_bytes = 64ULL * 1024 * 1024;

std::string whole_answer(const std::string& body, const std::string& era_line = "") {
  return "HTTP/1.1 200 OK\r\n" + era_line + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Reads all keys under a prefix.
class reading {
 public:
  explicit reading(const endpoint& store)
      : http_(net::http_client::create(2)),
        client_(make_store_client(context_.get_executor(), store, *http_)) {
    client_->on_era([this](std::int64_t era) { eras.push_back(era); });
  }
  result<platform::read_outcome, platform::platform_failure> read() {
    std::optional<result<platform::read_outcome, platform::platform_failure>> found;
    client_->read_prefix("servers/", [&](auto answer) { found = std::move(answer); });
    context_.restart();
    while (!found) {
      context_.run_one();
      memory.take_sample();
    }
    return std::move(*found);
  }
  std::vector<std::int64_t> eras;
  test::memory_tracker memory;

 private:
  asio::io_context context_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<platform::long_poll_store> client_;
};

TEST_THAT(store_client, fails_on_an_answer_without_end_and_holds_little_of_it) {
  raw_server store([](raw_connection& peer) {
    if (!peer.read_head().empty() && peer.write("HTTP/1.1 200 OK\r\n\r\n{\"Items\":[")) {
      peer.write_until_closed("                ");
    }
  });
  reading case_of(store.address());
  CPPUNIT_ASSERT(!case_of.read().has_value());
  CPPUNIT_ASSERT(case_of.memory.growth() < most_growth_bytes);
}

TEST_THAT(store_client, fails_on_an_answer_that_trickles_without_end) {
  raw_server store([](raw_connection& peer) {
    if (!peer.read_head().empty() && peer.write("HTTP/1.1 200 OK\r\n\r\n")) {
      peer.trickle_until_closed(" ");
    }
  });
  reading case_of(store.address());
  const auto answer = case_of.read();
  CPPUNIT_ASSERT(!answer.has_value());
  CPPUNIT_ASSERT(answer.last_reason().kind == platform::failure_kind::timed_out);
}

TEST_THAT(store_client, fails_on_pages_that_bring_nothing_new_without_end) {
  std::atomic<int> pages{0};
  raw_server store([&](raw_connection& peer) {
    const std::string page =
        R"({"Items":[{"Key":"servers/a","Value":"e30=","Revision":3}],"HasMore":true})";
    while (!peer.read_head().empty() && peer.write(whole_answer(page))) {
      ++pages;
    }
  });
  reading case_of(store.address());
  CPPUNIT_ASSERT(!case_of.read().has_value());
  CPPUNIT_ASSERT_EQUAL(2, pages.load());
}

TEST_THAT(store_client, tells_the_era_of_each_answer_that_names_one_and_zero_for_all_others) {
  const std::vector<std::string> lines = {"Store-Era: 4\r\n", "", "Store-Era: soon\r\n",
                                          "Store-Era: -1\r\n", "Store-Era: 5\r\n"};
  raw_server store([&](raw_connection& peer) {
    for (const std::string& line : lines) {
      if (peer.read_head().empty()) {
        return;
      }
      peer.write(whole_answer("{}", line));
    }
  });
  reading case_of(store.address());
  for (std::size_t call = 0; call < lines.size(); ++call) {
    CPPUNIT_ASSERT(case_of.read().has_value());
  }
  CPPUNIT_ASSERT((case_of.eras == std::vector<std::int64_t>{4, 0, 0, 0, 5}));
}

TEST_THAT(store_client, tells_the_era_of_a_refusal_too) {
  raw_server store([](raw_connection& peer) {
    peer.read_head();
    peer.write("HTTP/1.1 503 Away\r\nStore-Era: 9\r\nContent-Length: 0\r\n\r\n");
  });
  reading case_of(store.address());
  CPPUNIT_ASSERT(!case_of.read().has_value());
  CPPUNIT_ASSERT((case_of.eras == std::vector<std::int64_t>{9}));
}

}  // namespace
}  // namespace hawthornnotch::adapter
