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
    out.push_back({suspect_kind::prompt_part, digest_of(bytes, seed)});
  }
  return out;
}

fingerprint request_fingerprint(const request_identity& request) {
  // No field but the last can hold a line break.
  std::string text;
  for (const std::string_view field :
       {request.workspace, request.host, request.method, request.target}) {
    text.append(field).append("\n");
  }
  text += to_hex(digest_of(request.body));
  return {suspect_kind::request, digest_of(text)};
}

std::string_view to_string(suspect_kind kind) {
  return kind == suspect_kind::prompt_part ? "prompt_part" : "request";
}

std::string to_text(std::span<const fingerprint> fingerprints, suspect_kind kind) {
  std::string text;
  for (const fingerprint& each : fingerprints) {
    if (each.kind != kind) {
      continue;
    }
    text += (text.empty() ? "" : ",") + to_hex(each.digest);
  }
  return text;
}

}  // namespace hawthornnotch::quarantine
