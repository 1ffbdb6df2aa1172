#include "hawthornnotch/dispatch/prompt.h"

#include <string_view>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::dispatch {

std::vector<prompt_prefix> prefixes_of(const prompt_shape& prompt) {
  std::vector<prompt_prefix> out;
  out.reserve(prompt.parts.size());
  prompt_prefix prefix;
  for (const prompt_part& part : prompt.parts) {
    const std::string_view id(reinterpret_cast<const char*>(&part.id), sizeof part.id);
    prefix.hash = stable_hash(id, prefix.hash);
    prefix.tokens += part.tokens;
    out.push_back(prefix);
  }
  return out;
}

}  // namespace hawthornnotch::dispatch
