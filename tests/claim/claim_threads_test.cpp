// Concurrent claims from several threads, with platform callbacks on another thread.
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

// In-memory store that runs its callbacks on its own thread.
class threaded_store final : public platform::client {
 public:
  threaded_store() : worker_([this] { run_worker(); }) {}
  ~threaded_store() override {
    post([this] { stopped_ = true; });
    worker_.join();
  }
  threaded_store(const threaded_store&) = delete;
  threaded_store& operator=(const threaded_store&) = delete;

  void transact(platform::transaction transaction, platform::transaction_callback done) override {
    post([this, transaction = std::move(transaction), done = std::move(done)] {
      done(apply(transaction));
    });
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
  void post(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(task));
    wake_.notify_one();
  }
  void run_worker() {
    while (!stopped_) {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return !queue_.empty(); });
      const auto next = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      next();
    }
  }
  // Runs only on the worker thread.
  platform::transaction_outcome apply(const platform::transaction& transaction) {
    platform::transaction_outcome outcome{true, revision_, {}};
    for (const platform::condition& condition : transaction.conditions) {
      outcome.applied = outcome.applied && holds(condition);
    }
    if (!outcome.applied) {
      for (const std::string& key : transaction.read_on_conflict) {
        if (values_.contains(key)) {
          outcome.current.push_back(values_.at(key));
        }
      }
      return outcome;
    }
    outcome.revision = ++revision_;
    for (const platform::effect& effect : transaction.effects) {
      const auto& put = std::get<platform::put>(effect);
      values_[put.key] = {put.key, put.value, revision_, put.lease};
    }
    return outcome;
  }
  bool holds(const platform::condition& condition) const {
    return std::visit(overloaded{[&](const platform::must_be_absent& absent) {
                                   return !values_.contains(absent.key);
                                 },
                                 [&](const platform::must_be_unchanged& same) {
                                   return values_.contains(same.key) &&
                                          values_.at(same.key).mod_revision == same.mod_revision;
                                 }},
                      condition);
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  bool stopped_ = false;
  std::map<std::string, platform::key_value> values_;
  std::int64_t revision_ = 0;
  std::thread worker_;
};

TEST_THAT(claim_service, grants_each_key_to_one_of_many_threads_and_routers) {
  constexpr int threads = 4;
  constexpr int keys = 500;
  const system_clock time;
  claim_settings settings;
  settings.claim_timeout = duration{600'000};
  std::vector<std::unique_ptr<claim_service>> routers;
  std::array<std::atomic<int>, keys> runs{};
  std::atomic<int> answered{0};
  threaded_store store;
  routers.push_back(std::move(*claim_service::create(settings, store, time, "a")));
  routers.push_back(std::move(*claim_service::create(settings, store, time, "b")));

  const auto work = [&](int number) {
    claim_service& service = *routers.at(static_cast<std::size_t>(number) % routers.size());
    for (std::size_t key = 0; key < keys; ++key) {
      service.claim({"w", std::to_string(key), "f", ""}, [&, key](const claim_outcome& outcome) {
        if (const auto* claim = std::get_if<owned>(&outcome)) {
          runs.at(key) += service.begin_dispatch(claim->token) ? 1 : 0;
          service.record(claim->token, {200, "t", "x"}, [](bool) {});
        }
        ++answered;
      });
      service.tick();
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int number = 0; number < threads; ++number) {
    workers.emplace_back(work, number);
  }
  for (std::thread& worker : workers) {
    worker.join();
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
