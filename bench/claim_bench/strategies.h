// The ways to claim that are compared, one object per router.
#ifndef HAWTHORNNOTCH_BENCH_CLAIM_BENCH_STRATEGIES_H_
#define HAWTHORNNOTCH_BENCH_CLAIM_BENCH_STRATEGIES_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/claim/claim_service.h"
#include "store_model.h"

namespace hawthornnotch::bench {

enum class claim_end : std::uint8_t { may_run, refused, uncertain };
using claim_callback = std::function<void(claim_end)>;

class strategy {
 public:
  virtual ~strategy() = default;
  virtual void claim(const std::string& key, claim_callback done) = 0;
  // The run is over; stores its answer where the strategy does so.
  virtual void finish(const std::string& key) = 0;
  virtual void tick() = 0;
};

// One key per claim through the product's service, grouped or not.
class keyed final : public strategy {
 public:
  keyed(store_model& store, const clock& time, const std::string& incarnation,
        claim::claim_settings settings)
      : service_(std::move(*claim::claim_service::create(settings, store, time, incarnation))) {}

  void claim(const std::string& key, claim_callback done) override {
    service_->claim({"w", key, "fingerprint-0123", "request"},
                    [this, key, done](const claim::claim_outcome& seen) {
                      if (const auto* mine = std::get_if<claim::owned>(&seen)) {
                        tokens_[key] = mine->token;
                        done(claim_end::may_run);
                      } else if (std::holds_alternative<claim::not_run>(seen)) {
                        done(claim_end::refused);
                      } else {
                        done(claim_end::uncertain);
                      }
                    });
  }
  void finish(const std::string& key) override {
    const auto node = tokens_.extract(key);
    if (!node.empty() && service_->begin_dispatch(node.mapped())) {
      service_->record(node.mapped(), {200, "application/json", std::string(200, 'x')},
                       [](bool) {});
    }
  }
  void tick() override { service_->tick(); }

 private:
  std::unique_ptr<claim::claim_service> service_;
  std::map<std::string, claim::claim_token> tokens_;
};

// Claims of one hash range share a key that is rewritten whole.
class paged final : public strategy {
 public:
  static constexpr std::size_t page_count = 64;

  paged(store_model& store, std::string incarnation)
      : store_(store), incarnation_(std::move(incarnation)), pages_(page_count) {}

  void claim(const std::string& key, claim_callback done) override {
    const std::size_t number = stable_hash(key) % page_count;
    pages_[number].waiting.push_back({entry_of(key), std::move(done)});
    write(number);
  }
  void finish(const std::string& key) override {
    claim(key + ":done", [](claim_end) {});
  }
  void tick() override {
    for (std::size_t number = 0; number < pages_.size(); ++number) {
      write(number);
    }
  }

 private:
  struct waiting_claim {
    std::string entry;
    claim_callback done;
  };
  struct page {
    std::int64_t mod_revision = 0;
    std::string value;
    bool writing = false;
    std::vector<waiting_claim> waiting;
  };

  std::string entry_of(const std::string& key) const { return key + "=" + incarnation_ + ";"; }

  void write(std::size_t number) {
    page& one = pages_[number];
    if (one.writing || one.waiting.empty()) {
      return;
    }
    one.writing = true;
    const std::string key = "page/" + std::to_string(number);
    auto batch = std::make_shared<std::vector<waiting_claim>>(std::move(one.waiting));
    one.waiting.clear();
    std::string value = one.value;
    for (const waiting_claim& claim : *batch) {
      value += claim.entry;
    }
    platform::transaction what;
    if (one.mod_revision == 0) {
      what.conditions.emplace_back(platform::must_be_absent{key});
    } else {
      what.conditions.emplace_back(platform::must_be_unchanged{key, one.mod_revision});
    }
    what.effects.emplace_back(platform::put{key, value, 0});
    what.read_on_conflict.push_back(key);
    store_.transact(what, [this, number, batch, value](const auto& seen) {
      finished(number, *batch, value, seen);
    });
  }

  void finished(std::size_t number, std::vector<waiting_claim>& batch, const std::string& value,
                const result<platform::transaction_outcome, platform::platform_failure>& seen) {
    page& one = pages_[number];
    one.writing = false;
    if (!seen) {
      for (const waiting_claim& claim : batch) {
        claim.done(claim_end::refused);
      }
      return;
    }
    if (seen->applied) {
      one.mod_revision = seen->revision;
      one.value = value;
      for (const waiting_claim& claim : batch) {
        claim.done(claim_end::may_run);
      }
    } else {
      one.mod_revision = seen->current.empty() ? 0 : seen->current.front().mod_revision;
      one.value = seen->current.empty() ? "" : seen->current.front().value;
      one.waiting.insert(one.waiting.begin(), batch.begin(), batch.end());
    }
    write(number);
  }

  store_model& store_;
  const std::string incarnation_;
  std::vector<page> pages_;
};

// Blocks of tokens reserved ahead; a token names the router that may run it.
class blocks final : public strategy {
 public:
  static constexpr std::size_t block_size = 256;

  blocks(store_model& store, std::string incarnation)
      : store_(store), incarnation_(std::move(incarnation)) {}

  void claim(const std::string& key, claim_callback done) override {
    // Another router's token: only that router knows whether it ran.
    if (!seen_here_.insert(key).second) {
      done(claim_end::uncertain);
      return;
    }
    if (left_ == 0) {
      seen_here_.erase(key);
      done(claim_end::refused);
      return;
    }
    --left_;
    done(claim_end::may_run);
  }
  void finish(const std::string& /*key*/) override {}
  void tick() override {
    if (reserving_ || left_ > block_size / 2) {
      return;
    }
    reserving_ = true;
    const std::string key = "block/" + incarnation_ + "/" + std::to_string(++block_);
    platform::transaction what;
    what.conditions.emplace_back(platform::must_be_absent{key});
    what.effects.emplace_back(platform::put{key, incarnation_, 0});
    store_.transact(what, [this](const auto& seen) {
      reserving_ = false;
      left_ += seen ? block_size : 0;
    });
  }

 private:
  store_model& store_;
  const std::string incarnation_;
  std::set<std::string> seen_here_;
  std::size_t left_ = 0;
  std::size_t block_ = 0;
  bool reserving_ = false;
};

}  // namespace hawthornnotch::bench

#endif  // HAWTHORNNOTCH_BENCH_CLAIM_BENCH_STRATEGIES_H_
