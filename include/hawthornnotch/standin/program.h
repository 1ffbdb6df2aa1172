/// \file
/// What the stand-in programs share: command line, JSON answers, the serving loop.
#ifndef HAWTHORNNOTCH_STANDIN_PROGRAM_H_
#define HAWTHORNNOTCH_STANDIN_PROGRAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/net/http_message.h"
#include "hawthornnotch/net/http_server.h"
#include "hawthornnotch/standin/faults.h"

namespace hawthornnotch::standin {

/// A checked command line.  A bad one ends the program with code 2 and the usage on stderr.
///
/// Example: `const command_line line(usage, argc, argv); line.number("--slots", 1, 4096);`
/// Ownership: a value.  Thread safety: read only.
class command_line {
 public:
  command_line(const std::string& usage, int argc, const char* const* argv);
  [[nodiscard]] std::string text(const std::string& option) const;
  [[nodiscard]] double number(const std::string& option, double low, double high) const;
  /// Milliseconds, with fractions.
  [[nodiscard]] std::chrono::microseconds milliseconds(const std::string& option) const;
  [[nodiscard]] bool flag(const std::string& option) const;
  /// A list parted by commas.
  [[nodiscard]] std::vector<std::string> list(const std::string& option) const;

 private:
  std::string usage_;
  std::vector<std::pair<std::string, std::string>> values_;
};

net::http_response json_answer(unsigned status, std::string body);
/// \returns the member's text, empty where there is none.
std::string text_of(const boost::json::object& object, std::string_view key);
/// Numbers may stand as JSON strings, as 64-bit numbers do in the JSON form of protocol buffers.
double number_of(const boost::json::object& object, std::string_view key, double fallback);
std::int64_t integer_of(const boost::json::object& object, std::string_view key);
/// \returns the object, empty if the text is not one.
boost::json::object object_of(std::string_view text);

/// Sends a whole answer; a peer that has gone is no concern of a stand-in.
boost::asio::awaitable<void> reply(net::response_writer& writer, net::http_response response);

boost::asio::awaitable<void> sleep_for(std::chrono::microseconds span);

/// Serves on `--listen` until SIGINT or SIGTERM.  \returns the program's exit code.
int serve(boost::asio::io_context& context, const command_line& line,
          std::shared_ptr<fault_switches> faults, net::request_handler handler);

}  // namespace hawthornnotch::standin

#endif  // HAWTHORNNOTCH_STANDIN_PROGRAM_H_
