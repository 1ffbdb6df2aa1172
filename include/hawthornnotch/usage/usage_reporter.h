/// \file
/// Decides which usage report the holder of the duties fixes and sends next.
#ifndef HAWTHORNNOTCH_USAGE_USAGE_REPORTER_H_
#define HAWTHORNNOTCH_USAGE_USAGE_REPORTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/duties/control_call.h"
#include "hawthornnotch/usage/report_log.h"
#include "hawthornnotch/usage/report_memory.h"

namespace hawthornnotch::usage {

struct usage_settings {
  duration window{5'000};
  /// Time from the end of a window until its report is due.
  duration delay{10'000};
};

/// What the fleet has counted, as known to this process.
class usage_view {
 public:
  virtual ~usage_view() = default;
  [[nodiscard]] virtual time_point true_time(time_point now) const = 0;
  [[nodiscard]] virtual std::map<std::string, std::int64_t> totals(std::int64_t window,
                                                                   time_point now) = 0;
  /// \returns since when, in true time, the fleet has been running.
  [[nodiscard]] virtual time_point running_since(time_point now) const = 0;
  /// \returns whether this process knows the other processes' counts, so far as it can tell.
  [[nodiscard]] virtual bool is_complete(time_point now) const = 0;
};

/// Nothing to do now; ask again shortly.
struct idle {};
/// Read the stored log, then call `begin_term`.
struct read_log {};
/// Write `text` as the stored log, in a transaction that succeeds only if the lease key and the log
/// are unchanged since they were last read or written, then call `on_fixed`.
struct fix_log {
  std::uint64_t step = 0;
  std::string text;
};
/// Send `report`, then call `on_sent`.
struct send_report {
  std::uint64_t step = 0;
  duties::usage_report report;
};
using report_step = std::variant<idle, read_log, fix_log, send_report>;

/// Gives the holder of the duties its next step for usage reports, one at a time.
///
/// Never lets two different contents be sent for one window, by this holder or by a later one:
/// - Only content that is in the stored log, written under the lease, is sent; a later holder reads
///   the log first.
/// - Windows are fixed in ascending order, and none below `report_log::next_window()`.
/// - A write whose outcome is unknown ends the term until the log has been read again.
/// - The log names the store's era.  If the era has changed since, the log may lack reports that
///   were sent: windows that ended before the restore was noticed are sent only as the log or an
///   entry VM remembers them, and not at all where these differ.
///
/// Example:
///     reporter.begin_term(stored_text, era, now);
///     report_step step = reporter.next(now);   // carry it out, call on_fixed or on_sent, repeat
/// Ownership: refers to the view and the memory, which outlive it.  Thread safety: none.
class usage_reporter {
 public:
  usage_reporter(usage_settings settings, usage_view& view, report_memory& memory)
      : settings_(settings), view_(view), memory_(memory) {}

  /// Starts or resumes a term with the stored log.
  /// \param stored_log empty if the key is absent.
  /// \param era that of the store when it answered.
  void begin_term(std::string_view stored_log, std::int64_t era, time_point now);
  /// The lease has ended.  The result of a step in progress is ignored, also in a later term.
  void end_term();
  [[nodiscard]] report_step next(time_point now);
  /// \param step that of the `fix_log`.
  /// \param applied false also if the outcome is unknown.
  void on_fixed(std::uint64_t step, bool applied, time_point now);
  /// \param step that of the `send_report`.
  void on_sent(std::uint64_t step, duties::call_outcome outcome, time_point now);
  /// The store was restored from a backup.  Call it before `on_fixed` if the answer to that write
  /// shows the restore.  Ends the term.
  /// \param era the new era.
  void on_store_restored(std::int64_t era, time_point now);

  /// \returns how many windows were given up unsent, or left out since contents differed.
  [[nodiscard]] std::uint64_t withheld() const { return withheld_; }
  /// \returns the newest window that was accepted in this process's terms; -1 if none was.
  [[nodiscard]] std::int64_t last_sent() const { return last_sent_; }

 private:
  enum class phase : std::uint8_t { no_log, ready, fixing, sending };
  /// Doubles with each failure in a row.
  class backoff {
   public:
    void on_failure(time_point now);
    void on_success() { *this = backoff(); }
    [[nodiscard]] bool is_over(time_point now) const { return now >= until_; }

   private:
    duration next_{200};
    time_point until_;
  };
  struct restore {
    std::int64_t era = 0;
    std::int64_t first_window = 0;
  };

  [[nodiscard]] time_point end_of(std::int64_t window) const;
  [[nodiscard]] time_point gives_up_at(std::int64_t window) const;
  [[nodiscard]] bool is_countable(std::int64_t window, time_point now) const;
  [[nodiscard]] bool is_ready(std::int64_t window, time_point now) const;
  [[nodiscard]] std::int64_t first_window_after_restore(std::int64_t era, time_point now);
  void merge_remembered(report_log& log, bool restored, time_point now);
  [[nodiscard]] fixed_report* oldest_unsent(time_point now);
  [[nodiscard]] std::optional<report_step> next_fix(time_point now);
  void mark_sent(std::int64_t window);

  usage_settings settings_;
  usage_view& view_;
  report_memory& memory_;
  phase phase_ = phase::no_log;
  // As in the store, but for marks and remembered reports that the next write adds.
  report_log log_;
  // Being written.
  report_log proposed_;
  std::int64_t sending_window_ = 0;
  // The log must be written in this era of the store before anything is sent.
  bool must_write_ = false;
  // The last restore that this process noticed, or found out at the start of a term.
  std::optional<restore> restore_;
  // Of the step in progress, or the last one.
  std::uint64_t step_ = 0;
  // Windows that need not be sent again by this process.
  std::set<std::int64_t> done_;
  backoff store_pause_;
  backoff send_pause_;
  std::uint64_t withheld_ = 0;
  std::int64_t last_sent_ = -1;
};

}  // namespace hawthornnotch::usage

#endif  // HAWTHORNNOTCH_USAGE_USAGE_REPORTER_H_
