/// \file
/// Backend servers of one failure domain, merged from several sources with different lag.
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
  /// How long an announced incarnation takes precedence over a different listed one.
  duration announcement_lead{120'000};
  /// How long a leaving server is kept after it was last listed.
  duration retention{600'000};
  std::size_t max_servers = 4096;
  std::size_t max_retired = 4096;
};

/// Merge rules: an incarnation is leaving as soon as one source says so, and never stops leaving; a
/// replaced incarnation never comes back; an unreadable or empty list changes nothing.
///
/// Records beyond `max_servers` are dropped and counted by `refused`; the oldest retired
/// incarnations beyond `max_retired` are forgotten.
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

  /// Applies a complete snapshot of the platform's list; servers of other failure domains are
  /// skipped.  A server missing from two consecutive lists is leaving.
  void apply_list(const std::vector<backend_server>& listed);
  /// Applies an operator's announcement; without an incarnation it refers to the known one.
  /// \param revision store revision of the announcement; an older one is ignored, except that
  /// it may still mark the known incarnation as leaving.
  void apply_announcement(const backend_server& announced, std::int64_t revision);
  /// Merges a peer's record.
  void merge(const backend_record& incoming, std::string_view origin);
  /// Merges a peer's report that an incarnation is gone.
  void retire(const retired_incarnation& gone, std::string_view origin);
  /// Drops servers that have been leaving and unlisted for the retention time.
  void expire();

  [[nodiscard]] const backend_record* find(const std::string& id) const;
  [[nodiscard]] bool is_retired(const std::string& id, const std::string& incarnation) const;
  [[nodiscard]] std::vector<backend_server> servers() const;
  [[nodiscard]] std::size_t size() const { return servers_.size(); }
  /// \returns how many records were rejected because the table was full.
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
