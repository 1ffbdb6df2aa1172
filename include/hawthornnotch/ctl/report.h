/// \file
/// Output of a command, printed as a table or as JSON, and progress messages while it waits.
///
/// Stream errors are not reported.
#ifndef HAWTHORNNOTCH_CTL_REPORT_H_
#define HAWTHORNNOTCH_CTL_REPORT_H_

#include <boost/json/value.hpp>
#include <chrono>
#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hawthornnotch/ctl/command.h"
#include "hawthornnotch/ctl/exit_code.h"

namespace hawthornnotch::ctl {

/// Rows of text; each row has as many cells as `columns`.
struct table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// A JSON value is printed as indented JSON in both formats.
using content = std::variant<table, boost::json::value>;

/// Result of a command. The note goes to standard error; it is set if `code` is not `done`.
struct report {
  content body;
  exit_code code = exit_code::done;
  std::string note;
};

/// In JSON format, a table is printed as an array of objects.
void print(const content& body, output_format format, std::ostream& out);

/// Reports what the tool waits for: a line that is overwritten on a terminal, else a new line at
/// intervals.
///
/// Ownership: refers to the stream.  Thread safety: none.
class progress {
 public:
  /// \param is_terminal whether `err` is a terminal, whose current line can be overwritten.
  progress(std::ostream& err, bool is_terminal) : err_(err), is_terminal_(is_terminal) {}
  /// Prints `message` and the elapsed time; does nothing within an interval after the last update.
  void show(std::string_view message);
  /// Terminates the current line if one is open.
  void close();

 private:
  std::ostream& err_;
  bool is_terminal_;
  bool line_open_ = false;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point next_update_ = started_;
};

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_REPORT_H_
