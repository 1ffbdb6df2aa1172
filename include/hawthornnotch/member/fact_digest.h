/// \file
/// Digests by which two agents detect equal sets of facts without sending them.
#ifndef HAWTHORNNOTCH_MEMBER_FACT_DIGEST_H_
#define HAWTHORNNOTCH_MEMBER_FACT_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "hawthornnotch/member/gossip.h"

namespace hawthornnotch::member {

/// \returns the bucket of a fact; the same in every agent.
std::size_t bucket_of(const fact_key& key);

/// Digests of all facts of an agent, one per bucket, independent of the order of the facts.
///
/// Two agents whose digests of a bucket are equal have the same facts in it.  Facts are replaced
/// only by newer ones, so a digest received earlier still proves that the peer has those facts or
/// newer.
///
/// Example:
///     digests.add(key, what);
///     if (digests.matches(peer_digests, bucket_of(key))) { skip(); }
/// Ownership: a value.  Thread safety: none.
class fact_digests {
 public:
  /// Adds a fact; each must be added only once.
  void add(const fact_key& key, const fact& what);
  [[nodiscard]] const digest_list& buckets() const { return buckets_; }
  /// \param other a peer's digests; no bucket matches if it is empty.
  [[nodiscard]] bool matches(const digest_list& other, std::size_t bucket) const {
    return other.size() == buckets_.size() && other.at(bucket) == buckets_.at(bucket);
  }

 private:
  digest_list buckets_ = digest_list(digest_buckets, 0);
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_FACT_DIGEST_H_
