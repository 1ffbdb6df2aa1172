#include "hawthornnotch/quarantine/fingerprint.h"

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::quarantine {

std::vector<fingerprint> shared_part_fingerprints(std::string_view service,
                                                  const dispatch::prompt_shape& prompt) {
  std::vector<fingerprint> out;
  const std::uint64_t seed = stable_hash(service);
  for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
    const std::uint64_t& id = prompt.parts[index].id;
    const std::string_view bytes(reinterpret_cast<const char*>(&id), sizeof id);
    out.push_back({digest_of(bytes, seed)});
  }
  return out;
}

std::string to_text(std::span<const fingerprint> fingerprints) {
  std::string text;
  for (const fingerprint& each : fingerprints) {
    text += (text.empty() ? "" : ",") + to_hex(each.digest);
  }
  return text;
}

}  // namespace hawthornnotch::quarantine
