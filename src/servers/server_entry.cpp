#include "hawthornnotch/servers/server_entry.h"

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::servers {

std::uint64_t digest_of(const std::vector<server_entry>& entries) {
  std::uint64_t digest = entries.size();
  for (const server_entry& entry : entries) {
    digest = stable_hash(entry.id, digest);
    digest = stable_hash(std::to_string(entry.start_time_ms), digest);
    digest = stable_hash(entry.service, digest);
    digest = stable_hash(entry.address.address, digest + entry.address.port);
    digest = stable_hash(entry.failure_domain, digest + entry.slots);
    digest += entry.leaving ? 1 : 0;
  }
  return digest;
}

}  // namespace hawthornnotch::servers
