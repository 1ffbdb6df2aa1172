/// \file
/// What a command shows, as a table or as JSON.
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

/// Rows of texts; each row is as long as `columns`.
struct table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// A JSON document is shown indented, in both formats.
using content = std::variant<table, boost::json::value>;

/// The result of a command.  A code other than `done` comes with a note.
struct report {
  content what;
  exit_code code = exit_code::done;
  std::string note;
};

/// In JSON, a table is a list of objects.
void print(const content& what, output_format format, std::ostream& out);

/// One line on a terminal that says what is waited for; a new line each while elsewhere.
///
/// Ownership: refers to the stream.  Thread safety: none.
class progress {
 public:
  /// \param terminal whether the line can be written over.
  progress(std::ostream& err, bool terminal) : err_(err), terminal_(terminal) {}
  /// Shows what is waited for; does nothing when it has just done so.
  void show(std::string_view what);
  /// Ends the line if one was begun.
  void close();

 private:
  std::ostream& err_;
  bool terminal_;
  bool begun_ = false;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point next_ = started_;
};

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_REPORT_H_
