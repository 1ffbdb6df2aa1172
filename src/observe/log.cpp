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

constexpr std::size_t max_queued_lines = 8192;
constexpr int logging_disabled = 100;
// Rate and burst of lines per event name; bounds the CPU time that a storm of one event can spend
// on logging.
constexpr double lines_per_second = 150;
constexpr double burst_lines = 600;

std::atomic<std::uint64_t>& dropped_count() {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

// Overflow policy: drops lines that do not fit into the queue and counts them.
struct drop_and_count {
  template <class Lock>
  static bool on_overflow(const boost::log::record_view& /*line*/, Lock& /*lock*/) {
    ++dropped_count();
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using line_queue = boost::log::sinks::bounded_fifo_queue<max_queued_lines, drop_and_count>;
using line_sink =
    boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend, line_queue>;

// Settings shared by all lines of this process.
struct process_settings {
  log_format format = log_format::json;
  std::string program;
  std::string vm;
};

// Rate limit of one event, and the number of lines suppressed since the last one written.
struct event_rate_limit {
  policy::token_bucket lines{0};
  std::uint64_t suppressed = 0;
};

struct process_log {
  std::atomic<int> threshold{logging_disabled};
  std::mutex mutex;
  std::shared_ptr<const process_settings> settings;
  boost::shared_ptr<line_sink> sink;
  std::map<std::string, event_rate_limit, std::less<>> rate_limits;
};

process_log& process_logger() {
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

// Returns whether a line of the event may be written now; if so, sets `suppressed` to the number of
// lines suppressed since the last one written.
bool acquire_line(process_log& log, std::string_view event, std::uint64_t& suppressed) {
  auto found = log.rate_limits.find(event);
  if (found == log.rate_limits.end()) {
    found = log.rate_limits.emplace(std::string(event), event_rate_limit{}).first;
  }
  event_rate_limit& limit = found->second;
  limit.lines.fill(lines_per_second, burst_lines, system_clock().now());
  if (!limit.lines.take()) {
    ++limit.suppressed;
    return false;
  }
  suppressed = std::exchange(limit.suppressed, 0);
  return true;
}

void write_line(const std::string& line) {
  boost::log::sources::logger source;
  BOOST_LOG(source) << line;
}

}  // namespace

void start_logging(log_settings settings, std::string_view program, std::string_view vm) {
  process_log& log = process_logger();
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
  process_log& log = process_logger();
  log.threshold = logging_disabled;
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
  return static_cast<int>(severity) >= process_logger().threshold.load(std::memory_order_relaxed);
}

std::uint64_t dropped_lines() { return dropped_count().load(); }

void log_event(level severity, std::string_view event, std::initializer_list<field> fields) {
  if (!is_logged(severity)) {
    return;
  }
  std::shared_ptr<const process_settings> settings;
  std::uint64_t suppressed = 0;
  {
    process_log& log = process_logger();
    const std::lock_guard lock(log.mutex);
    settings = log.settings;
    if (!settings || !acquire_line(log, event, suppressed)) {
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
