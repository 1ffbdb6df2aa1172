/// \file
/// Files that operators hand to the tool.
#ifndef HAWTHORNNOTCH_CTL_TEXT_FILE_H_
#define HAWTHORNNOTCH_CTL_TEXT_FILE_H_

#include <optional>
#include <string>

namespace hawthornnotch::ctl {

/// \param path a file, or `-` for standard input.
/// \returns the content, or nothing if it can't be read.
std::optional<std::string> read_text_file(const std::string& path);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_TEXT_FILE_H_
