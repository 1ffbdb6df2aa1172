/// \file
/// Index of the known loads and their origins, used to forward them within a byte budget.
#ifndef HAWTHORNNOTCH_MEMBER_LOAD_INDEX_H_
#define HAWTHORNNOTCH_MEMBER_LOAD_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace hawthornnotch::member {

enum class load_kind : std::uint8_t { heartbeat, report, waiting };
inline constexpr std::size_t load_kind_count = 3;

struct load_key {
  load_kind kind = load_kind::heartbeat;
  std::string id;
};

/// Loads change constantly and are therefore not acknowledged: each message continues round-robin
/// where the previous one stopped, so that none is starved however small the budget is.
///
/// Example:
///     index.visit_round_robin(load_kind::report, last_sent, [](const auto& id, const auto& origin)
///     {
///       return add(id);
///     });
/// Ownership: owns its keys.  Thread safety: none.
class load_index {
 public:
  /// Adds or updates a load.
  /// \param origin peer from which the load was received; empty if it originated in this process.
  void touch(const load_key& key, std::string_view origin) {
    group(key.kind)[key.id] = std::string(origin);
  }
  void forget(const load_key& key) { group(key.kind).erase(key.id); }
  /// Visits each load of one kind once in cyclic order, starting after `after`, until `visit`
  /// returns false.
  template <class Visit>
  void visit_round_robin(load_kind kind, const std::string& after, const Visit& visit) const {
    const auto& loads = groups_.at(static_cast<std::size_t>(kind));
    auto next = loads.upper_bound(after);
    for (std::size_t count = 0; count < loads.size(); ++count) {
      if (next == loads.end()) {
        next = loads.begin();
      }
      if (!visit(next->first, next->second)) {
        return;
      }
      ++next;
    }
  }

 private:
  using origin_by_id = std::map<std::string, std::string>;
  origin_by_id& group(load_kind kind) { return groups_.at(static_cast<std::size_t>(kind)); }

  std::array<origin_by_id, load_kind_count> groups_;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_LOAD_INDEX_H_
