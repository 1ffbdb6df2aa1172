#include "hawthornnotch/load/runner.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <thread>

#include "counters.h"
#include "exchange.h"
#include "hawthornnotch/base/random.h"

namespace hawthornnotch::load {

namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr std::size_t idle_connections = 512;
constexpr std::size_t run_id_length = 10;
constexpr std::size_t most_wrong_lines = 20;
constexpr std::int64_t ms_per_second = 1000;
constexpr duration progress_interval{2'000};
constexpr duration longest_poll{100};
// Time for cancelled work to end at the stand-ins before their counters are read.
constexpr duration settling{1'000};

awaitable<void> sleep(duration span) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(span.ms));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// One run from its first request to its last counter.
class load_run {
 public:
  load_run(const load_settings& settings, std::ostream& progress)
      : settings_(settings),
        progress_(progress),
        planned_(make_schedule(settings.mix, {settings.seed, settings.length, settings.base_rate,
                                              settings.routers.size()})),
        samples_(planned_.size()),
        client_(net::http_client::create(idle_connections)),
        shared_{settings_, *client_, time_, {}, make_incarnation().substr(0, run_id_length)} {}

  run_result run() {
    asio::co_spawn(context_, drive(), asio::detached);
    std::vector<std::jthread> others;
    for (std::size_t index = 1; index < settings_.threads; ++index) {
      others.emplace_back([this] { context_.run(); });
    }
    context_.run();
    others.clear();
    return summarise();
  }

 private:
  awaitable<void> drive() {
    before_ = co_await read_counters(settings_, *client_);
    shared_.started = time_.now();
    asio::co_spawn(context_, switch_faults(), asio::detached);
    co_await send_all();
    co_await wait_for_answers();
    co_await sleep(settling);
    after_ = co_await read_counters(settings_, *client_);
    context_.stop();
  }

  awaitable<void> wait_until(time_point at) {
    while (time_.now() < at) {
      co_await sleep(std::min(longest_poll, at - time_.now()));
      report();
    }
  }

  awaitable<void> send_all() {
    for (std::size_t index = 0; index < planned_.size(); ++index) {
      co_await wait_until(shared_.started + planned_[index].at);
      if (open_ >= settings_.open_requests) {
        continue;
      }
      ++open_;
      asio::co_spawn(asio::make_strand(context_), send(index), asio::detached);
    }
    co_await wait_until(shared_.started + settings_.length);
  }

  awaitable<void> send(std::size_t index) {
    sample done;
    co_await exchange(shared_, planned_[index], done);
    samples_[index] = std::move(done);
    --open_;
  }

  awaitable<void> wait_for_answers() {
    const time_point last = shared_.started + settings_.length + settings_.patience;
    while (open_ > 0 && time_.now() < last) {
      co_await sleep(longest_poll);
      report();
    }
    abandoned_ = open_;
  }

  awaitable<void> switch_faults() {
    for (const fault_order& fault : settings_.faults) {
      while (time_.now() < shared_.started + fault.at) {
        co_await sleep(std::min(longest_poll, shared_.started + fault.at - time_.now()));
      }
      co_await switch_fault(fault);
    }
  }

  awaitable<void> switch_fault(const fault_order& fault) {
    net::http_request request;
    request.method = "POST";
    request.target = "/standin/fault";
    request.body = boost::json::serialize(boost::json::object{{"kind", fault.kind},
                                                              {"value", fault.value},
                                                              {"count", fault.count},
                                                              {"path", fault.path}});
    const net::exchange_limits limits;
    auto answer = co_await client_->fetch(fault.target, std::move(request), limits);
    const bool accepted = answer && answer->status == 200;
    fault_lines_.push_back(std::to_string(fault.at.ms) + " ms " + fault.kind + " at port " +
                           std::to_string(fault.target.port) +
                           (accepted ? "" : " WAS NOT ACCEPTED"));
  }

  void report() {
    const duration since = time_.now() - shared_.started;
    if (since < next_report_) {
      return;
    }
    next_report_ = since + progress_interval;
    progress_ << since.ms / ms_per_second << " s of " << settings_.length.ms / ms_per_second
              << " s, " << open_ << " requests open" << std::endl;
  }

  void add_tokens(run_result& result) const {
    const auto whole = static_cast<double>(settings_.length.ms);
    const auto seconds = static_cast<std::uint32_t>(settings_.length.ms / ms_per_second);
    std::vector<double> useful(seconds, 0);
    for (const sample& done : samples_) {
      const bool answered = done.end == sample_end::in_target || done.end == sample_end::late;
      if (!answered) {
        continue;
      }
      result.tokens_useful += done.tokens;
      for (const auto& [second, tokens] : spread(done)) {
        if (second < seconds) {
          useful[second] += tokens;
        }
      }
    }
    double burst_seconds = 0;
    for (std::uint32_t second = 0; second < seconds; ++second) {
      const double capacity = capacity_at(settings_, second);
      const double at = static_cast<double>(second) * ms_per_second;
      result.useful_tokens_per_s += useful[second] / seconds;
      result.capacity_tokens_per_s += capacity / seconds;
      if (at >= settings_.mix.burst_begin * whole && at < settings_.mix.burst_end * whole) {
        burst_seconds += 1;
        result.burst_useful_tokens_per_s += useful[second];
        result.burst_capacity_tokens_per_s += capacity;
      }
    }
    result.burst_useful_tokens_per_s /= std::max(1.0, burst_seconds);
    result.burst_capacity_tokens_per_s /= std::max(1.0, burst_seconds);
  }

  // An answer that came whole counts in the second in which it came.
  static std::vector<std::pair<std::uint32_t, std::uint32_t>> spread(const sample& done) {
    if (!done.tokens_by_second.empty() || done.tokens == 0) {
      return done.tokens_by_second;
    }
    return {{done.ended_second, done.tokens}};
  }

  run_result summarise() const {
    run_result result;
    result.label = settings_.label;
    result.profile = settings_.mix.name;
    result.seed = settings_.seed;
    result.base_rate = settings_.base_rate;
    result.burst_load = settings_.burst_load;
    result.seconds = static_cast<double>(settings_.length.ms) / ms_per_second;
    result.classes = tally(settings_.mix, planned_, samples_, after_.tokens_by_request);
    result.tokens_generated = after_.tokens - before_.tokens;
    add_tokens(result);
    std::uint64_t in_target = 0;
    for (const class_row& row : result.classes) {
      in_target += row.count(sample_end::in_target);
    }
    result.answers_per_s = static_cast<double>(in_target) / result.seconds;
    if (!settings_.services.empty()) {
      check_orders(samples_, after_, result);
    }
    result.faults = fault_lines_;
    add_errors(result);
    add_wrong_lines(result);
    return result;
  }

  void add_errors(run_result& result) const {
    for (std::size_t index = 0; index < samples_.size(); ++index) {
      const sample& done = samples_[index];
      if (!done.error_code.empty()) {
        const std::string& name = settings_.mix.kinds.at(planned_[index].kind).class_name;
        ++result.errors[name + " " + done.error_code + " " + std::string(to_string(done.end))];
      }
    }
  }

  void add_wrong_lines(run_result& result) const {
    for (std::size_t index = 0; index < samples_.size(); ++index) {
      const sample& done = samples_[index];
      if (done.fault && result.wrong.size() < most_wrong_lines) {
        result.wrong.push_back(settings_.mix.kinds.at(planned_[index].kind).class_name + " " +
                               done.request_id + " " + std::string(to_string(*done.fault)) +
                               " after " + std::to_string(done.tokens) + " of " +
                               std::to_string(planned_[index].tokens) + " tokens");
      }
    }
    if (abandoned_ > 0) {
      result.wrong.push_back(std::to_string(abandoned_) + " requests were given up unanswered");
    }
  }

  const load_settings& settings_;
  std::ostream& progress_;
  system_clock time_;
  asio::io_context context_;
  std::vector<planned_request> planned_;
  std::vector<sample> samples_;
  std::unique_ptr<net::http_client> client_;
  run_context shared_;
  std::atomic<std::size_t> open_{0};
  std::size_t abandoned_ = 0;
  duration next_report_;
  standin_counters before_;
  standin_counters after_;
  std::vector<std::string> fault_lines_;
};

}  // namespace

run_result run_load(const load_settings& settings, std::ostream& progress) {
  load_run run(settings, progress);
  return run.run();
}

}  // namespace hawthornnotch::load
