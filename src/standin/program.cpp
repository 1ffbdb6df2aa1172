#include "hawthornnotch/standin/program.h"

#include <docopt/docopt.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <tuple>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::standin {
namespace {

constexpr double longest_ms = 3'600'000;
constexpr double us_per_ms = 1000;

[[noreturn]] void refuse(const std::string& reason, const std::string& usage) {
  std::cerr << reason << "\n" << usage;
  std::exit(exit_bad_settings);
}

}  // namespace

command_line::command_line(const std::string& usage, int argc, const char* const* argv)
    : usage_(usage) {
  try {
    const auto parsed = docopt::docopt_parse(usage, {argv + 1, argv + argc});
    for (const auto& [name, value] : parsed) {
      if (value.isBool()) {
        values_.emplace_back(name, value.asBool() ? "true" : "");
      } else if (value.isString()) {
        values_.emplace_back(name, value.asString());
      }
    }
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    std::exit(0);
  } catch (const std::exception& error) {
    refuse(error.what(), usage);
  }
}

std::string command_line::text(const std::string& option) const {
  for (const auto& [name, value] : values_) {
    if (name == option) {
      return value;
    }
  }
  return {};
}

double command_line::number(const std::string& option, double low, double high) const {
  const std::string value = text(option);
  char* end = nullptr;
  const double parsed = std::strtod(value.c_str(), &end);
  if (value.empty() || *end != '\0' || parsed < low || parsed > high) {
    std::ostringstream reason;
    reason << option << ": '" << value << "' is not a number from " << low << " to " << high;
    refuse(reason.str(), usage_);
  }
  return parsed;
}

std::chrono::microseconds command_line::milliseconds(const std::string& option) const {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(number(option, 0, longest_ms) * us_per_ms));
}

bool command_line::flag(const std::string& option) const { return !text(option).empty(); }

std::vector<std::string> command_line::list(const std::string& option) const {
  std::vector<std::string> items;
  std::istringstream stream(text(option));
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

net::http_response json_answer(unsigned status, std::string body) {
  net::http_response answer;
  answer.status = status;
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.body = std::move(body);
  return answer;
}

std::string text_of(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains(key);
  if (found == nullptr || !found->is_string()) {
    return {};
  }
  return std::string(found->as_string());
}

double number_of(const boost::json::object& object, std::string_view key, double fallback) {
  const boost::json::value* found = object.if_contains(key);
  if (found == nullptr) {
    return fallback;
  }
  if (found->is_string()) {
    return std::strtod(found->as_string().c_str(), nullptr);
  }
  return found->is_number() ? found->to_number<double>() : fallback;
}

std::int64_t integer_of(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains(key);
  if (found == nullptr) {
    return 0;
  }
  if (found->is_string()) {
    return std::strtoll(found->as_string().c_str(), nullptr, 10);
  }
  return found->is_int64() ? found->as_int64() : 0;
}

boost::json::object object_of(std::string_view text) {
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(text, error);
  if (error || !parsed.is_object()) {
    return {};
  }
  return std::move(parsed.as_object());
}

boost::asio::awaitable<void> reply(net::response_writer& writer, net::http_response response) {
  std::ignore = co_await writer.send(std::move(response));
}

boost::asio::awaitable<void> sleep_for(std::chrono::microseconds span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

int serve(boost::asio::io_context& context, const command_line& line,
          std::shared_ptr<fault_switches> faults, net::request_handler handler) {
  const auto at = parse_endpoint(line.text("--listen"));
  if (!at) {
    std::cerr << "--listen: not of the form address:port\n";
    return exit_bad_settings;
  }
  auto server = net::http_server::listen(context.get_executor(), *at, {},
                                         with_faults(std::move(faults), std::move(handler)));
  if (!server) {
    std::cerr << "--listen: " << net::to_string(server.last_reason().kind) << "\n";
    return 1;
  }
  std::cout << "listening on " << at->address << ":" << (*server)->port() << std::endl;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace hawthornnotch::standin
