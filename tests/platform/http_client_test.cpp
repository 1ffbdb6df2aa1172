#include "hawthornnotch/platform/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/standin/program.h"
#include "standin_platform.h"
#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::platform;
using test::standin_platform;

// Makes a call and waits for its callback.
template <class T>
result<T, platform_failure> wait_for(
    const std::function<void(std::function<void(result<T, platform_failure>)>)>& call) {
  std::promise<result<T, platform_failure>> promise;
  auto future = promise.get_future();
  call([&promise](result<T, platform_failure> outcome) { promise.set_value(std::move(outcome)); });
  return future.get();
}

result<transaction_outcome, platform_failure> transact(client& platform, transaction what) {
  return wait_for<transaction_outcome>(
      [&](transaction_callback done) { platform.transact(std::move(what), std::move(done)); });
}

result<read_outcome, platform_failure> read_prefix(client& platform, const std::string& prefix) {
  return wait_for<read_outcome>(
      [&](read_callback done) { platform.read_prefix(prefix, std::move(done)); });
}

transaction create(const std::string& key, const std::string& value) {
  return {{must_be_absent{key}}, {put{key, value, 0}}, {key}};
}

std::string only_value(client& platform, const std::string& key) {
  const auto read = read_prefix(platform, key);
  return read && read->found.size() == 1 ? read->found[0].value : "";
}

// Collects what a watch says.
class watcher {
 public:
  watch_callback callback() {
    return [this](result<std::vector<watch_event>, platform_failure> batch) {
      const std::lock_guard lock(mutex_);
      if (batch) {
        events_.insert(events_.end(), batch->begin(), batch->end());
      } else {
        failure_ = batch.last_reason();
      }
      changed_.notify_all();
    };
  }
  std::vector<watch_event> wait_for_events(std::size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return events_.size() >= count || failure_; });
    return events_;
  }
  platform_failure wait_for_failure() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return failure_.has_value(); });
    return *failure_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<watch_event> events_;
  std::optional<platform_failure> failure_;
};

TEST_THAT(platform_client, applies_a_transaction_once_and_reads_back_on_conflict) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  const auto first = transact(*platform, create("a/1", "x"));
  CPPUNIT_ASSERT(first && first->applied && first->current.empty());
  const auto second = transact(*platform, create("a/1", "y"));
  CPPUNIT_ASSERT(second && !second->applied);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second->current.size());
  CPPUNIT_ASSERT_EQUAL(std::string("x"), second->current[0].value);
  CPPUNIT_ASSERT_EQUAL(first->revision, second->current[0].mod_revision);
  const auto changed = transact(
      *platform,
      {{must_be_unchanged{"a/1", first->revision}}, {erase{"a/1"}, put{"a/2", "z", 0}}, {}});
  CPPUNIT_ASSERT(changed && changed->applied);
  CPPUNIT_ASSERT_EQUAL(std::string("z"), only_value(*platform, "a/"));
}

TEST_THAT(platform_client, says_that_a_call_with_a_lost_answer_may_have_taken_effect) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  service->fault(R"({"kind":"lose_answer","count":1,"path":"/v3/kv/txn"})");
  const auto lost = transact(*platform, create("k", "v"));
  CPPUNIT_ASSERT(!lost && lost.last_reason().may_have_taken_effect);
  CPPUNIT_ASSERT_EQUAL(std::string("v"), only_value(*platform, "k"));
}

TEST_THAT(platform_client, never_promises_no_effect_once_bytes_left) {
  struct row {
    const char* fault;
    failure_kind kind;
  };
  const row rows[] = {
      {R"({"kind":"lose_request","count":1})", failure_kind::unreachable},
      {R"({"kind":"cut_mid_stream","count":1})", failure_kind::unreachable},
      {R"({"kind":"rubbish","count":1})", failure_kind::malformed_answer},
      {R"({"kind":"flood","value":1000000,"count":1})", failure_kind::malformed_answer},
      {R"({"kind":"refuse","count":1})", failure_kind::overloaded},
      {R"({"kind":"refuse","value":500,"count":1})", failure_kind::malformed_answer},
      {R"({"kind":"delay","value":600,"count":1})", failure_kind::timed_out},
  };
  auto service = standin_platform::start();
  call_limits limits;
  limits.response_timeout = {200};
  limits.answer_bytes = 100'000;
  auto platform = service->connect(limits);
  for (const row& given : rows) {
    service->fault(given.fault);
    const auto outcome = transact(*platform, create("k", "v"));
    CPPUNIT_ASSERT_MESSAGE(given.fault, !outcome);
    CPPUNIT_ASSERT_MESSAGE(given.fault, outcome.last_reason().kind == given.kind);
    CPPUNIT_ASSERT_MESSAGE(given.fault, outcome.last_reason().may_have_taken_effect);
  }
}

// Answers with a byte now and then, for far longer than a call may take.
boost::asio::awaitable<void> drip(net::http_request, net::response_writer& writer) {
  constexpr int pieces = 200;
  constexpr std::chrono::milliseconds pause(10);
  const net::header_list no_headers;
  std::ignore = co_await writer.start(200, no_headers);
  for (int piece = 0; piece < pieces; ++piece) {
    std::ignore = co_await writer.write(" ");
    co_await standin::sleep_for(pause);
  }
  std::ignore = co_await writer.finish();
}

TEST_THAT(platform_client, gives_up_on_an_answer_that_only_drips) {
  auto service = standin_platform::start();
  boost::asio::io_context context;
  auto server = net::http_server::listen(context.get_executor(), {"127.0.0.1", 0}, {}, drip);
  std::thread thread([&context] { context.run(); });
  call_limits limits;
  limits.response_timeout = {200};
  auto platform = service->connect({{"127.0.0.1", (*server)->port()}}, limits);
  const auto outcome = transact(*platform, create("k", "v"));
  context.stop();
  thread.join();
  CPPUNIT_ASSERT(!outcome && outcome.last_reason().kind == failure_kind::timed_out);
}

TEST_THAT(platform_client, is_certain_of_no_effect_where_nobody_listens) {
  auto service = standin_platform::start();
  auto platform = service->connect({test::closed_address()}, {});
  const auto outcome = transact(*platform, create("k", "v"));
  CPPUNIT_ASSERT(!outcome && !outcome.last_reason().may_have_taken_effect);
  CPPUNIT_ASSERT(outcome.last_reason().kind == failure_kind::unreachable);
}

TEST_THAT(platform_client, goes_to_the_next_address_only_while_nothing_was_sent) {
  auto first = standin_platform::start();
  auto second = standin_platform::start();
  auto reaches = first->connect({test::closed_address(), first->address()}, {});
  CPPUNIT_ASSERT(transact(*reaches, create("k", "v")).has_value());
  first->fault(R"({"kind":"lose_request","count":1,"path":"/v3"})");
  auto stops = first->connect({first->address(), second->address()}, {});
  CPPUNIT_ASSERT(!transact(*stops, create("l", "v")));
  CPPUNIT_ASSERT(second->counters().find("write") == std::string::npos);
}

TEST_THAT(platform_client, ends_a_key_with_its_lease_and_says_the_lease_is_gone) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  const auto lease = wait_for<std::int64_t>(
      [&](lease_callback done) { platform->grant_lease({900'000}, std::move(done)); });
  CPPUNIT_ASSERT(lease.has_value());
  CPPUNIT_ASSERT(transact(*platform, {{}, {put{"k", "v", *lease}}, {}}).has_value());
  const auto keep = [&](lease_callback done) { platform->keep_alive(*lease, std::move(done)); };
  CPPUNIT_ASSERT(wait_for<std::int64_t>(keep).has_value());
  CPPUNIT_ASSERT(wait_for<std::int64_t>([&](lease_callback done) {
                   platform->revoke(*lease, std::move(done));
                 }).has_value());
  CPPUNIT_ASSERT_EQUAL(std::string(), only_value(*platform, "k"));
  const auto gone = wait_for<std::int64_t>(keep);
  CPPUNIT_ASSERT(!gone && gone.last_reason().kind == failure_kind::lease_gone);
  const auto refused = transact(*platform, {{}, {put{"k", "v", *lease}}, {}});
  CPPUNIT_ASSERT(!refused && refused.last_reason().kind == failure_kind::lease_gone);
}

TEST_THAT(platform_watch, sees_each_change_after_its_revision_once_and_in_order) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  const auto before = transact(*platform, create("w/1", "a"));
  CPPUNIT_ASSERT(before.has_value());
  watcher seen;
  const auto handle = platform->watch("w/", before->revision, seen.callback());
  CPPUNIT_ASSERT(transact(*platform, create("w/2", "b")).has_value());
  CPPUNIT_ASSERT(transact(*platform, create("x/1", "other")).has_value());
  CPPUNIT_ASSERT(transact(*platform, {{}, {erase{"w/1"}}, {}}).has_value());
  const auto events = seen.wait_for_events(2);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
  CPPUNIT_ASSERT(events[0].now.key == "w/2" && events[0].now.value == "b" && !events[0].erased);
  CPPUNIT_ASSERT(events[1].now.key == "w/1" && events[1].erased);
}

TEST_THAT(platform_watch, ends_with_a_failure_when_the_service_goes_down) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  watcher seen;
  const auto handle = platform->watch("w/", 1, seen.callback());
  CPPUNIT_ASSERT(transact(*platform, create("w/1", "a")).has_value());
  seen.wait_for_events(1);
  service->fault(R"({"kind":"down"})");
  CPPUNIT_ASSERT(seen.wait_for_failure().kind == failure_kind::unreachable);
}

TEST_THAT(platform_watch, ends_at_the_service_when_its_handle_goes) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  watcher seen;
  auto handle = platform->watch("w/", 1, seen.callback());
  CPPUNIT_ASSERT(transact(*platform, create("w/1", "a")).has_value());
  seen.wait_for_events(1);
  CPPUNIT_ASSERT(service->counters().find(R"("open_watches":1)") != std::string::npos);
  handle.reset();
  while (service->counters().find(R"("open_watches":0)") == std::string::npos) {
    std::this_thread::yield();
  }
}

TEST_THAT(platform_watch, ends_with_a_failure_on_rubbish) {
  auto service = standin_platform::start();
  service->fault(R"({"kind":"flood","value":500000,"path":"/v3/watch"})");
  call_limits limits;
  limits.answer_bytes = 100'000;
  auto bounded = service->connect(limits);
  watcher seen;
  const auto handle = bounded->watch("w/", 1, seen.callback());
  CPPUNIT_ASSERT(seen.wait_for_failure().kind == failure_kind::malformed_answer);
}

TEST_THAT(platform_list, gives_what_the_platform_lists) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  service->send(service->address(), "PUT", "/standin/vms",
                R"([{"role":"entry","id":"e1","incarnation":"i","failure_domain":"khan-uul",
                     "address":"127.0.0.1:82","state":"live"}])");
  const auto list = wait_for<std::vector<listed_vm>>(
      [&](vm_list_callback done) { platform->fetch_vm_list("", std::move(done)); });
  CPPUNIT_ASSERT(list && list->size() == 1);
  CPPUNIT_ASSERT_EQUAL(std::string("e1"), std::get<entry_vm>(list->front()).id);
}

TEST_THAT(platform_list, is_sent_again_only_when_it_has_changed) {
  auto service = standin_platform::start();
  auto platform = service->connect();
  const auto put = [&](std::string_view id) {
    const std::string server =
        R"([{"role":"backend","kind":"engine","incarnation":"i","failure_domain":"khan-uul",)"
        R"("address":"127.0.0.1:82","state":"live","serves":["m"],"slots":1,)"
        R"("checks_fencing":false,"id":")" +
        std::string(id) + "\"}]";
    service->send(service->address(), "PUT", "/standin/vms", server);
  };
  const auto ids = [&](std::string_view failure_domain) {
    const auto list = wait_for<std::vector<listed_vm>>([&](vm_list_callback done) {
      platform->fetch_vm_list(std::string(failure_domain), std::move(done));
    });
    CPPUNIT_ASSERT(list.has_value());
    return list->empty() ? std::string() : std::get<backend_server>(list->front()).id;
  };
  put("e1");
  CPPUNIT_ASSERT_EQUAL(std::string("e1"), ids("khan-uul"));
  CPPUNIT_ASSERT_EQUAL(std::string("e1"), ids("khan-uul"));
  CPPUNIT_ASSERT(service->counters().find("\"list_unchanged\":1") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(std::string(""), ids("bayangol"));
  put("e2");
  CPPUNIT_ASSERT_EQUAL(std::string("e2"), ids("khan-uul"));
}

}  // namespace
