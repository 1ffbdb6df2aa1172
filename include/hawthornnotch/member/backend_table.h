/// \file
/// Backend servers of one failure domain, merged from several sources that lag differently.
#ifndef HAWTHORNNOTCH_MEMBER_BACKEND_TABLE_H_
#define HAWTHORNNOTCH_MEMBER_BACKEND_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/member/gossip.h"

namespace hawthornnotch::member {

struct backend_table_settings {
  /// How long an announced incarnation may differ from the listed one before the list counts.
  duration announcement_lead{120'000};
  /// How long a server that is leaving stays known after the list lost it.
  duration retention{600'000};
  std::size_t servers = 4096;
  std::size_t retired = 4096;
};

/// Merge rules: the first source that says leaving wins and an incarnation never stops leaving; a
/// replaced incarnation never comes back; an unreadable or empty list changes nothing.
///
/// Example:
///     backend_table table("zg-istok", {}, log, time);
///     table.apply_list(listed);
///     table.apply_announcement(announced, mod_revision);
/// Ownership: refers to the log and the clock.  Thread safety: none.
class backend_table {
 public:
  backend_table(std::string failure_domain, backend_table_settings settings, fact_log& log,
                const clock& time);

  /// One whole reading of the platform's list; servers of other failure domains are skipped.  A
  /// server that two readings in a row no longer show is leaving.
  void apply_list(const std::vector<backend_server>& listed);
  /// An operator's announcement; with no incarnation it speaks of the one that is known.
  /// \param revision store revision of the announcement; one that is not newer is ignored.
  void apply_announcement(const backend_server& announced, std::int64_t revision);
  /// A peer's record.
  void merge(const backend_record& incoming, std::string_view origin);
  /// A peer's word that an incarnation is gone.
  void retire(const retired_incarnation& gone, std::string_view origin);
  /// Drops what has been leaving and unlisted for the retention time.
  void expire();

  [[nodiscard]] const backend_record* find(const std::string& id) const;
  [[nodiscard]] bool is_retired(const std::string& id, const std::string& incarnation) const;
  [[nodiscard]] std::vector<backend_server> servers() const;
  [[nodiscard]] std::size_t size() const { return servers_.size(); }
  /// \returns how many records were refused because the table was full.
  [[nodiscard]] std::size_t refused() const { return refused_; }

 private:
  struct state {
    backend_record record;
    time_point first_known;
    time_point last_listed;
    bool listed = false;
    int missed_lists = 0;
  };

  void apply_listed(const backend_server& server);
  void mark_absent(const std::set<std::string>& present);
  void mark_leaving(state& known, std::string_view origin);
  void replace(state& known, const backend_record& by, std::string_view origin);
  state* add(const backend_record& record, std::string_view origin);
  void update(state& known, const backend_record& newer, std::string_view origin);
  void touch(const std::string& id, std::string_view origin);

  std::string failure_domain_;
  backend_table_settings settings_;
  fact_log& log_;
  const clock& time_;
  std::map<std::string, state> servers_;
  std::set<retired_incarnation> retired_;
  std::deque<retired_incarnation> retired_order_;
  std::size_t refused_ = 0;
};

}  // namespace hawthornnotch::member

#endif  // HAWTHORNNOTCH_MEMBER_BACKEND_TABLE_H_
