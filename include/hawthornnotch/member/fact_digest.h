/// \file
/// Short sums of facts, by which two agents see that they know the same without telling each other.
#ifndef HAWTHORNNOTCH_MEMBER_FACT_DIGEST_H_
#define HAWTHORNNOTCH_MEMBER_FACT_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "hawthornnotch/member/gossip.h"

namespace hawthornnotch::member {

/// \returns the bucket of a fact, equal at every agent.
std::size_t bucket_of(const fact_key& key);

/// Sums of all facts of an agent, one for each bucket, whatever order they were learned in.
///
/// Two agents with equal sums of a bucket know the same facts in it.  Facts only ever give way to
/// newer ones, so what was known stays known and an old sum stays a proof.
///
/// Example:
///     digests.add(key, what);
///     if (digests.agrees_with(peer_sums, bucket_of(key))) { skip(); }
/// Ownership: a value.  Thread safety: none.
class fact_digests {
 public:
  /// Adds one fact; each fact is added once.
  void add(const fact_key& key, const fact& what);
  [[nodiscard]] const digest_list& sums() const { return sums_; }
  /// \param other a peer's sums; none agree where it sent none.
  [[nodiscard]] bool agrees_with(const digest_list& other, std::size_t bucket) const {
    return other.size() == sums_.size() && other.at(bucket) == sums_.at(bucket);
  }

 private:
  digest_list sums_ = digest_list(digest_buckets, 0);
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_FACT_DIGEST_H_
