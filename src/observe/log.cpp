#include "hawthornnotch/observe/log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <utility>

namespace hawthornnotch::observe {

namespace {

constexpr std::size_t backlog_lines = 8192;
constexpr int nothing_is_logged = 100;

using line_queue =
    boost::log::sinks::bounded_fifo_queue<backlog_lines, boost::log::sinks::drop_on_overflow>;
using line_sink =
    boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend, line_queue>;

// What stands in every line of this process.
struct process_settings {
  log_format format = log_format::json;
  std::string program;
  std::string vm;
};

struct process_log {
  std::atomic<int> threshold{nothing_is_logged};
  std::mutex mutex;
  std::shared_ptr<const process_settings> settings;
  boost::shared_ptr<line_sink> sink;
};

process_log& this_process() {
  static process_log log;
  return log;
}

boost::shared_ptr<line_sink> make_sink() {
  auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<line_sink>(backend);
  sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
  return sink;
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

void log_event(level severity, std::string_view event, std::initializer_list<field> fields) {
  if (!is_logged(severity)) {
    return;
  }
  std::shared_ptr<const process_settings> settings;
  {
    const std::lock_guard lock(this_process().mutex);
    settings = this_process().settings;
  }
  if (!settings) {
    return;
  }
  const line_origin origin{settings->program, settings->vm, system_clock().wall()};
  const std::string line = format_line(settings->format, origin, severity, event, fields);
  boost::log::sources::logger source;
  BOOST_LOG(source) << line;
}

}  // namespace hawthornnotch::observe
