/// \file
/// Reads input files of hawthornnotchctl.
#ifndef HAWTHORNNOTCH_CTL_TEXT_FILE_H_
#define HAWTHORNNOTCH_CTL_TEXT_FILE_H_

#include <optional>
#include <string>

namespace hawthornnotch::ctl {

/// \param path a file, or `-` for standard input.
/// \returns the content, or nothing if the file can't be opened.
std::optional<std::string> read_text_file(const std::string& path);

}  // namespace hawthornnotch::ctl

#endif  // HAWTHORNNOTCH_CTL_TEXT_FILE_H_
