#include "hawthornnotch/ctl/text_file.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace hawthornnotch::ctl {
namespace {

std::string read_all(std::istream& input) {
  return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

}  // namespace

std::optional<std::string> read_text_file(const std::string& path) {
  if (path == "-") {
    return read_all(std::cin);
  }
  std::ifstream file(path);
  if (!file) {
    return {};
  }
  return read_all(file);
}

}  // namespace hawthornnotch::ctl
