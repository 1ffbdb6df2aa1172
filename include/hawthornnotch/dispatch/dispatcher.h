/// \file
/// Chooses the backend server of each request.
#ifndef HAWTHORNNOTCH_DISPATCH_DISPATCHER_H_
#define HAWTHORNNOTCH_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornnotch/base/clock.h"
#include "hawthornnotch/base/random.h"
#include "hawthornnotch/base/result.h"
#include "hawthornnotch/dispatch/prompt.h"
#include "hawthornnotch/dispatch/server_state.h"
#include "hawthornnotch/relay/exchange.h"
#include "hawthornnotch/servers/server_list.h"

namespace hawthornnotch::dispatch {

namespace internal {
struct candidate;
}

/// What the choice depends on.
struct placement_query {
  std::string_view service;
  /// Empty for a service that is no model engine.
  std::span<const prompt_prefix> prefixes;
  /// Time to the answer, or to its first event, that the caller expects.
  duration target_latency;
  /// Longest pause between events that the caller expects; 0 for none.
  duration target_gap;
  /// True for a stream whose caller bears shorter pauses than long prompts beside it cause.
  bool gap_sensitive = false;
  /// Events that the answer probably has; 0 where nothing is known.
  double expected_events = 0;
  /// Time until the request is given up.
  duration time_left;
  /// Servers that this request was sent to before.
  std::span<const std::string> tried;
  time_point now;
};

/// A chosen server and why.
struct placement {
  servers::server_entry server;
  /// Tokens that the server probably has to read.
  std::uint32_t uncached_tokens = 0;
  /// Estimated time to the first event, in ms.
  double expected_ms = 0;
  /// Part of the request's value that is expected to be lost: what the choice minimizes.
  double loss = 0;
  /// The server that the shared parts are copied from; none where they are read.
  std::optional<endpoint> fetch_from;
  /// Place of the server in the rendezvous order of the shared prefix, 0 the first.
  std::uint32_t rank = 0;
  /// Whether the request is a stream whose caller bears only short pauses.
  bool gap_sensitive = false;
  /// Whether the server is kept for such streams.
  bool reserved_for_streams = false;
  /// Requests known to run there.
  std::uint32_t running = 0;
  /// Servers compared.
  std::uint32_t candidates = 0;
};

enum class placement_failure : std::uint8_t {
  /// The service has no server that takes work.
  no_server,
  /// All servers were tried.
  none_left,
  /// All servers that could be tried want nothing for now.
  all_paused,
};

/// One sending of a request, from `sent` to `ended`.
struct attempt {
  std::string server;
  std::string failure_domain;
  std::int64_t start_time_ms = 0;
  std::uint32_t uncached_tokens = 0;
  std::vector<prompt_prefix> prefixes;
  time_point sent_at;
  time_point last_event_at;
  bool first_event_seen = false;
  bool gap_sensitive = false;
};

/// How sendings to one failure domain went: when its links are cut, each server there would
/// otherwise have to fail by itself before it is left.
struct reachability {
  /// Age at which a connection or its absence counts half.
  static constexpr duration half_life{1'500};
  static constexpr double prior_weight = 1.0;
  policy::decaying_mean missing{half_life, 0.0, prior_weight};
  time_point last_missing;
};

/// Work of one service in the whole fleet, of late.
struct service_load {
  /// Age at which a count counts half.
  static constexpr duration half_life{3'000};
  /// Running streams whose callers bear only short pauses.
  policy::decaying_mean streams{half_life, 0.0, no_weight};
  /// Prompt tokens that wait at a server in the mean.
  policy::decaying_mean waiting_tokens{half_life, 0.0, no_weight};
};

/// Shown in logs and metrics.
struct server_summary {
  std::string id;
  std::uint32_t running = 0;
  std::uint64_t prefill_tokens = 0;
  double usual_gap_ms = 0;
  double failure_share = 0;
  /// How much longer the server wants nothing; 0 where it takes work.
  duration paused_for;
};

/// Chooses the server at which the least of a request's value is expected to be lost, by a late or
/// failed answer or by prompt parts that are read again.
///
/// A prompt goes where its shared parts are: to the server that a rendezvous hash names, which all
/// entry VMs compute alike without talking, unless the answer would probably be late there.  The
/// load patterns it answers: long shared prompts, a part that many ask for at once, servers of
/// unlike and changing speed, servers that fail some of their requests.
///
/// Example:
///     auto chosen = dispatcher.choose(query);
///     sending sent = dispatcher.sent(*chosen, prefixes, now);
///     dispatcher.events(sent, 1, now);
///     dispatcher.ended(sent, send_end::completed, now);
/// Ownership: refers to the list, which outlives it.  Thread safety: none.
class dispatcher {
 public:
  dispatcher(const servers::server_list& list, std::string failure_domain, std::uint64_t seed);

  [[nodiscard]] result<placement, placement_failure> choose(const placement_query& query);
  /// The request goes to the chosen server now.
  [[nodiscard]] attempt sent(const placement& chosen, std::vector<prompt_prefix> prefixes,
                             time_point now);
  /// Events of the answer arrived; for a whole answer, call once with 1.
  void events(attempt& what, std::uint32_t count, time_point now);
  void ended(const attempt& what, attempt_end end, time_point now);
  /// The server wants nothing more from this VM for that time.
  void pause(const attempt& what, duration time, time_point now);
  /// \returns whether a server that was chosen a moment ago still takes work: it neither leaves nor
  /// wants nothing for now.
  [[nodiscard]] bool accepts_requests(const servers::server_entry& server, time_point now) const;
  /// \returns how long it takes until the first paused server of a service takes work again; none
  /// where none is paused.
  [[nodiscard]] std::optional<duration> shortest_remaining_pause(std::string_view service,
                                                                 time_point now) const;
  /// Work of other entry VMs, which replaces what was known of it.
  void apply_peer_work(const std::map<std::string, relay::server_work, std::less<>>& work);
  /// What another entry VM has seen of servers' speed.
  void apply_peer_paces(std::span<const relay::server_pace> paces, time_point now);
  /// \returns some of what this process has seen lately, each time the next in turn, at most
  /// `most`.
  [[nodiscard]] std::vector<relay::server_pace> local_paces(std::size_t most, time_point now);
  /// Servers that another entry VM found gone.
  void apply_absences(std::span<const relay::server_absence> absences, time_point now);
  /// \returns the servers that are passed over as gone, by own or others' sendings.
  [[nodiscard]] std::vector<relay::server_absence> absences(time_point now) const;
  /// Forgets servers that are gone; call after the list changed.
  void drop_removed_servers(time_point now);
  /// \returns own work by server, for peers.
  [[nodiscard]] std::vector<relay::server_work> local_work() const;
  [[nodiscard]] std::vector<server_summary> summary(time_point now) const;

 private:
  server_state& state_of(const servers::server_entry& server);
  server_state* state_of(const attempt& what);
  [[nodiscard]] double usual_gap_of_fleet(time_point now) const;
  /// Time that one prompt token takes on a server, in ms.
  [[nodiscard]] double token_ms(const server_state& state, double fleet_gap, time_point now) const;
  /// \returns whether the server is passed over while others can take the request.
  [[nodiscard]] bool avoided(const servers::server_entry& server, const server_state& state,
                             time_point now) const;
  /// \returns the servers of the query's service that take work now, not ranked yet.
  std::vector<internal::candidate> candidates_for(const placement_query& query);
  void weigh_engine(const placement_query& query, const internal::candidate& at, double fleet_gap,
                    placement& out) const;
  void weigh_service(const placement_query& query, const internal::candidate& at,
                     placement& out) const;
  /// \returns the probability that the answer is not whole when its time is over.
  [[nodiscard]] double unfinished_share(const placement_query& query, const server_state& state,
                                        double first_event_ms) const;
  [[nodiscard]] double loss_by_failure(const servers::server_entry& server,
                                       const server_state& state, time_point now) const;
  /// Ranks a prompt's servers, after those are marked that are kept for streams.
  void rank_engines(const placement_query& query, double fleet_gap,
                    std::span<internal::candidate> candidates);
  void learn_reachability(const attempt& what, attempt_end end, time_point now);
  [[nodiscard]] double unreachable_share(std::string_view failure_domain, time_point now) const;
  void learn_prefill(const attempt& what, const server_state& state, time_point now);

  const servers::server_list& list_;
  std::string failure_domain_;
  random_source random_;
  std::map<std::string, server_state, std::less<>> states_;
  /// Share of recent sendings to each failure domain that got no connection.
  std::map<std::string, reachability, std::less<>> domains_;
  /// The last server that `local_paces` gave.
  std::string last_pace_;
  /// By service.
  std::map<std::string, service_load, std::less<>> loads_;
  /// Prompt tokens that a server of usual speed reads in a millisecond.
  double tokens_per_ms_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_DISPATCHER_H_
