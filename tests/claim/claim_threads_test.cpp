// Claims from many threads at once, answered on another thread.
#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "hawthornnotch/claim/claim_service.h"
#include "test_case.h"

namespace hawthornnotch::claim {
namespace {

// A store whose answers come from a thread of its own.
class threaded_store final : public platform::client {
 public:
  threaded_store() : worker_([this] { work(); }) {}
  ~threaded_store() override {
    post([this] { ended_ = true; });
    worker_.join();
  }
  threaded_store(const threaded_store&) = delete;
  threaded_store& operator=(const threaded_store&) = delete;

  void transact(platform::transaction what, platform::transaction_callback done) override {
    post([this, what = std::move(what), done = std::move(done)] { done(apply(what)); });
  }
  void read(std::string /*key*/, platform::read_callback done) override {
    post([done] { done(platform::read_outcome{}); });
  }
  void read_prefix(std::string key, platform::read_callback done) override {
    read(std::move(key), std::move(done));
  }
  void grant_lease(duration /*time_to_live*/, platform::lease_callback done) override {
    post([done] { done(std::int64_t{1}); });
  }
  void keep_alive(std::int64_t /*lease*/, platform::lease_callback done) override {
    grant_lease({}, std::move(done));
  }
  void revoke(std::int64_t /*lease*/, platform::lease_callback done) override {
    grant_lease({}, std::move(done));
  }
  std::unique_ptr<platform::watch_handle> watch(std::string /*prefix*/, std::int64_t /*revision*/,
                                                platform::watch_callback /*events*/) override {
    return std::make_unique<platform::watch_handle>();
  }

 private:
  void post(std::function<void()> what) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(what));
    wake_.notify_one();
  }
  void work() {
    while (!ended_) {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return !queue_.empty(); });
      const auto next = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      next();
    }
  }
  // Only on the worker.  Creates and settlements alike: a guard per key.
  platform::transaction_outcome apply(const platform::transaction& what) {
    platform::transaction_outcome seen{true, revision_, {}};
    for (const platform::condition& one : what.conditions) {
      seen.applied = seen.applied && holds(one);
    }
    if (!seen.applied) {
      for (const std::string& key : what.read_on_conflict) {
        if (values_.contains(key)) {
          seen.current.push_back(values_.at(key));
        }
      }
      return seen;
    }
    seen.revision = ++revision_;
    for (const platform::effect& one : what.effects) {
      const auto& to = std::get<platform::put>(one);
      values_[to.key] = {to.key, to.value, revision_, to.lease};
    }
    return seen;
  }
  bool holds(const platform::condition& one) const {
    return std::visit(overloaded{[&](const platform::must_be_absent& absent) {
                                   return !values_.contains(absent.key);
                                 },
                                 [&](const platform::must_be_unchanged& same) {
                                   return values_.contains(same.key) &&
                                          values_.at(same.key).mod_revision == same.mod_revision;
                                 }},
                      one);
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  bool ended_ = false;
  std::map<std::string, platform::key_value> values_;
  std::int64_t revision_ = 0;
  std::thread worker_;
};

TEST_THAT(claim_service, gives_each_key_to_one_of_many_threads_and_routers) {
  constexpr int threads = 4;
  constexpr int keys = 500;
  const system_clock time;
  claim_settings patient;
  patient.claim_timeout = duration{600'000};
  std::vector<std::unique_ptr<claim_service>> routers;
  std::array<std::atomic<int>, keys> runs{};
  std::atomic<int> answered{0};
  threaded_store store;
  routers.push_back(std::move(*claim_service::create(patient, store, time, "a")));
  routers.push_back(std::move(*claim_service::create(patient, store, time, "b")));

  const auto work = [&](int number) {
    claim_service& at = *routers.at(static_cast<std::size_t>(number) % routers.size());
    for (std::size_t key = 0; key < keys; ++key) {
      at.claim({"w", std::to_string(key), "f", ""}, [&, key](const verdict& seen) {
        if (const auto* mine = std::get_if<owned>(&seen)) {
          runs.at(key) += at.begin_dispatch(mine->token) ? 1 : 0;
          at.record(mine->token, {200, "t", "x"}, [](bool) {});
        }
        ++answered;
      });
      at.tick();
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int number = 0; number < threads; ++number) {
    workers.emplace_back(work, number);
  }
  for (std::thread& one : workers) {
    one.join();
  }
  while (answered < threads * keys) {
    std::this_thread::yield();
  }
  for (const auto& count : runs) {
    CPPUNIT_ASSERT_EQUAL(1, count.load());
  }
}

}  // namespace
}  // namespace hawthornnotch::claim
