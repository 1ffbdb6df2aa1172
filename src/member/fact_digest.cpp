#include "hawthornnotch/member/fact_digest.h"

#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::member {

namespace {

// Builds a text that differs if two facts of the same key differ, and hashes it.
class fact_hasher {
 public:
  fact_hasher& add(std::string_view part) {
    text_.append(part);
    text_.push_back('\0');
    return *this;
  }
  fact_hasher& add(std::uint64_t number) { return add(std::to_string(number)); }
  fact_hasher& add(const std::vector<std::string>& parts) {
    for (const std::string& part : parts) {
      add(part);
    }
    return add(parts.size());
  }
  [[nodiscard]] std::uint64_t hash() const { return stable_hash(text_); }

 private:
  std::string text_;
};

std::uint64_t hash_of(const backend_record& record) {
  const backend_server& server = record.server;
  fact_hasher hasher;
  hasher.add(server.incarnation).add(server.failure_domain).add(to_text(server.address));
  hasher.add(static_cast<std::uint64_t>(server.kind)).add(server.serves);
  hasher.add(server.slots).add(server.leaving ? 1 : 0).add(server.checks_fencing ? 1 : 0);
  hasher.add(static_cast<std::uint64_t>(record.announced_at));
  return hasher.hash();
}

std::uint64_t hash_of(const vm_record& record) {
  const entry_vm& vm = record.vm;
  fact_hasher hasher;
  hasher.add(vm.incarnation).add(vm.failure_domain).add(to_text(vm.agent));
  hasher.add(to_text(vm.router)).add(vm.leaving ? 1 : 0).add(record.start_heartbeat);
  return hasher.hash();
}

std::uint64_t hash_of(const retired_incarnation& gone) {
  return fact_hasher().add(gone.incarnation).hash();
}

std::uint64_t hash_of(const suspicion& incoming) {
  return fact_hasher().add(incoming.heartbeat).hash();
}

// Excludes the time of the observation: the same models observed again are not a change.
std::uint64_t hash_of(const loaded_models& seen) {
  return fact_hasher().add(seen.incarnation).add(seen.models).hash();
}

std::uint64_t hash_of(const workspace_parameters& workspace) {
  return fact_hasher().add(workspace.revision).hash();
}

std::uint64_t hash_of(const fact_key& key) {
  return fact_hasher().add(static_cast<std::uint64_t>(key.kind)).add(key.id).add(key.detail).hash();
}

// Digests are encoded as JSON numbers, which hold 63 bits.
constexpr std::uint64_t digest_mask = 0x7FFF'FFFF'FFFF'FFFF;

}  // namespace

std::size_t bucket_of(const fact_key& key) { return hash_of(key) % digest_buckets; }

void fact_digests::add(const fact_key& key, const fact& what) {
  const std::uint64_t content = std::visit([](const auto& any) { return hash_of(any); }, what);
  const std::uint64_t key_hash = hash_of(key);
  const std::string both = std::to_string(key_hash) + ':' + std::to_string(content);
  buckets_.at(key_hash % digest_buckets) ^= stable_hash(both) & digest_mask;
}

}  // namespace hawthornnotch::member
