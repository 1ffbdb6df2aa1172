#include "hawthornnotch/observe/log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/core/record_view.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "hawthornnotch/policy/token_bucket.h"

namespace hawthornnotch::observe {

namespace {

constexpr std::size_t backlog_lines = 8192;
constexpr int nothing_is_logged = 100;
// Lines of one event that are written in a second, and in a moment: bounds the share of the
// processor that a storm of one kind can take for its log.
constexpr double lines_per_second = 150;
constexpr double burst_lines = 600;

std::atomic<std::uint64_t>& dropped_count() {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

// Drops lines that do not fit into the backlog, and counts them.
struct drop_and_count {
  template <class Lock>
  static bool on_overflow(const boost::log::record_view& /*line*/, Lock& /*lock*/) {
    ++dropped_count();
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using line_queue = boost::log::sinks::bounded_fifo_queue<backlog_lines, drop_and_count>;
using line_sink =
    boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend, line_queue>;

// What stands in every line of this process.
struct process_settings {
  log_format format = log_format::json;
  std::string program;
  std::string vm;
};

// How many lines of one event may still be written, and how many were not.
struct event_allowance {
  policy::token_bucket lines{0};
  std::uint64_t suppressed = 0;
};

struct process_log {
  std::atomic<int> threshold{nothing_is_logged};
  std::mutex mutex;
  std::shared_ptr<const process_settings> settings;
  boost::shared_ptr<line_sink> sink;
  std::map<std::string, event_allowance, std::less<>> allowances;
};

process_log& this_process() {
  static process_log log;
  return log;
}

boost::shared_ptr<line_sink> make_sink() {
  auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<line_sink>(backend);
  sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
  return sink;
}

// \returns whether a line of the event may be written now; `suppressed` is how many were not since
// the last one.
bool allow(process_log& log, std::string_view event, std::uint64_t& suppressed) {
  auto found = log.allowances.find(event);
  if (found == log.allowances.end()) {
    found = log.allowances.emplace(std::string(event), event_allowance{}).first;
  }
  event_allowance& allowance = found->second;
  allowance.lines.fill(lines_per_second, burst_lines, system_clock().now());
  if (!allowance.lines.take()) {
    ++allowance.suppressed;
    return false;
  }
  suppressed = std::exchange(allowance.suppressed, 0);
  return true;
}

void write_line(const std::string& line) {
  boost::log::sources::logger source;
  BOOST_LOG(source) << line;
}

}  // namespace

void start_logging(log_settings settings, std::string_view program, std::string_view vm) {
  process_log& log = this_process();
  const std::lock_guard lock(log.mutex);
  log.settings = std::make_shared<const process_settings>(
      process_settings{settings.format, std::string(program), std::string(vm)});
  if (!log.sink) {
    log.sink = make_sink();
    boost::log::core::get()->add_sink(log.sink);
    static const int registered = std::atexit(stop_logging);
    (void)registered;
  }
  log.threshold = static_cast<int>(settings.threshold);
}

void stop_logging() {
  process_log& log = this_process();
  log.threshold = nothing_is_logged;
  const std::lock_guard lock(log.mutex);
  if (!log.sink) {
    return;
  }
  boost::log::core::get()->remove_sink(log.sink);
  log.sink->stop();
  log.sink->flush();
  log.sink.reset();
}

bool is_logged(level severity) {
  return static_cast<int>(severity) >= this_process().threshold.load(std::memory_order_relaxed);
}

std::uint64_t dropped_lines() { return dropped_count().load(); }

void log_event(level severity, std::string_view event, std::initializer_list<field> fields) {
  if (!is_logged(severity)) {
    return;
  }
  std::shared_ptr<const process_settings> settings;
  std::uint64_t suppressed = 0;
  {
    process_log& log = this_process();
    const std::lock_guard lock(log.mutex);
    settings = log.settings;
    if (!settings || !allow(log, event, suppressed)) {
      return;
    }
  }
  const line_origin origin{settings->program, settings->vm, system_clock().wall()};
  write_line(format_line(settings->format, origin, severity, event, fields));
  if (suppressed > 0) {
    write_line(format_line(settings->format, origin, level::warning, "lines_suppressed",
                           {{"of_event", event}, {"lines", suppressed}}));
  }
}

}  // namespace hawthornnotch::observe
