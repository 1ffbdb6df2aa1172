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
#include "hawthornnotch/dispatch/brittle_quota.h"
#include "hawthornnotch/dispatch/prompt.h"
#include "hawthornnotch/dispatch/server_limits.h"
#include "hawthornnotch/dispatch/server_state.h"
#include "hawthornnotch/dispatch/shared_service.h"
#include "hawthornnotch/relay/exchange.h"
#include "hawthornnotch/servers/server_list.h"

namespace hawthornnotch::dispatch {

namespace internal {
struct candidate;
enum class suitability : std::uint8_t;
}  // namespace internal

/// The request properties that placement depends on.
struct placement_query {
  std::string_view service;
  /// Empty if the service is not a model engine.
  std::span<const prompt_prefix> prefixes;
  /// Target time to the answer, or to the first event of a stream.
  duration target_latency;
  /// Target for the longest gap between events; 0 for none.
  duration target_gap;
  /// True for a stream that misses its target gap when long prompts are prefilled beside it.
  bool gap_sensitive = false;
  /// Expected number of events of the answer; 0 if unknown.
  double expected_events = 0;
  /// Time until the request's deadline.
  duration time_left;
  /// Servers that were already tried for this request; they are not chosen again.
  std::span<const std::string> tried;
  /// Software version of the servers that may be chosen; any if none.
  std::optional<std::string_view> software_version;
  time_point now;
};

/// A chosen server and the inputs of the decision.
struct placement {
  servers::server_entry server;
  /// Estimated prompt tokens that the server has to prefill.
  std::uint32_t uncached_tokens = 0;
  /// Estimated time to the first event, in ms.
  double expected_ms = 0;
  /// The server has failed lately or can't be reached; no other one was left to choose.
  bool avoided = false;
  /// Expected loss, as a fraction of the request's value; placement minimizes it.
  double loss = 0;
  /// The server to fetch the KV cache of the shared parts from; none if they are prefilled.
  std::optional<endpoint> fetch_from;
  /// Rank of the server in the rendezvous order of the shared prefix, 0 for the first.
  std::uint32_t rank = 0;
  /// Whether the request is a gap-sensitive stream.
  bool gap_sensitive = false;
  /// Whether the server is reserved for gap-sensitive streams.
  bool reserved_for_streams = false;
  /// Requests known to be running there.
  std::uint32_t running = 0;
  /// Number of servers compared.
  std::uint32_t candidates = 0;
  /// Number of servers passed over, because they name a limit and this VM has no permit now, or are
  /// brittle and have no place for it.
  std::uint32_t at_limit = 0;
};

enum class placement_failure : std::uint8_t {
  /// The service has no available server.
  no_server,
  /// Every server that could take the request was already tried.
  all_tried,
  /// Every available server has asked for a pause, names a limit that is used up, or is brittle and
  /// has no place.
  all_paused,
  /// No available server has the software version that the query names.
  no_server_of_version,
};

/// One attempt to run a request on a server, from `begin_attempt` to `end_attempt`.
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
  /// Whether this VM's part of the server's limit allowed the attempt when it began.
  permit allowance = permit::unlimited;
};

/// Connection outcomes of one failure domain.  When a network partition cuts the domain off, all
/// its servers are avoided at once rather than after each has failed by itself.
struct domain_reachability {
  /// Age at which an outcome has half its weight.
  static constexpr duration half_life{1'500};
  static constexpr double prior_weight = 1.0;
  policy::decaying_mean connect_failures{half_life, 0.0, prior_weight};
  time_point last_connect_failure;
};

/// Smoothed fleet-wide load of one service.
struct service_load {
  /// Age at which a sample has half its weight.
  static constexpr duration half_life{3'000};
  /// Running gap-sensitive streams.
  policy::decaying_mean streams{half_life, 0.0, negligible_weight};
  /// Mean prompt tokens waiting for prefill per server.
  policy::decaying_mean waiting_tokens{half_life, 0.0, negligible_weight};
  /// Estimated uncached tokens of a prompt.
  policy::decaying_mean prompt_tokens{half_life, 0.0, negligible_weight};
  shared_service shared;
};

/// A server's slowness as one VM tells the others.
struct server_speed {
  std::string server;
  double slowness = 1.0;
  /// Time since the server reported it.
  duration age;
};

/// What is known of a server by its reports, for logs.
struct report_inputs {
  /// The service's servers report how slow they are.
  bool shared = false;
  std::optional<reported_speed::report> speed;
  /// None while what gossip says is used.
  std::optional<reported_work> work;
};

/// State of one server for logs and metrics.
struct server_summary {
  std::string id;
  std::uint32_t running = 0;
  std::uint64_t prefill_tokens = 0;
  double usual_gap_ms = 0;
  double failure_share = 0;
  /// Remaining time of the pause that the server asked for; 0 if it accepts requests.
  duration paused_for;
};

/// Chooses the server with the lowest expected loss for a request: by a late or failed answer, by
/// repeated prefill of shared prompt parts, or by interference with other streams.
///
/// A prompt goes to the server that probably caches its shared parts, given by a rendezvous hash
/// that all entry VMs compute alike without coordination, unless the answer would probably be late
/// there.  This covers long shared prompts, hot prompt parts, servers of different and changing
/// speed, and servers that fail part of their requests.
///
/// `choose` fails if the service has no server to try (see `placement_failure`).  The other calls
/// do not fail; those on an attempt whose server has restarted or been dropped affect no server.
///
/// Example:
///     auto chosen = dispatcher.choose(query);
///     attempt sent = dispatcher.begin_attempt(*chosen, prefixes, now);
///     dispatcher.record_events(sent, 1, now);
///     dispatcher.end_attempt(sent, attempt_end::completed, now);
/// Ownership: refers to the list, which outlives it.  Thread safety: none.
class dispatcher {
 public:
  dispatcher(const servers::server_list& list, std::string failure_domain, std::uint64_t seed);

  /// \returns the untried server with the lowest expected loss; an avoided one only if there is no
  /// other.
  [[nodiscard]] result<placement, placement_failure> choose(const placement_query& query);
  /// Records that the request is sent to the chosen server now.
  [[nodiscard]] attempt begin_attempt(const placement& chosen, std::vector<prompt_prefix> prefixes,
                                      time_point now);
  /// Records `count` events of the answer; for an answer that is not a stream, call once with 1.
  void record_events(attempt& tracked, std::uint32_t count, time_point now);
  /// Records the end of the attempt; call exactly once per attempt.
  void end_attempt(const attempt& tracked, attempt_end end, time_point now);
  /// Records that the server asked this VM to send it no requests for `time`.
  void pause(const attempt& tracked, duration time, time_point now);
  /// \returns whether the request may be sent now that the connection is open: the server still
  /// accepts requests, and a limit that it has named meanwhile allows one more.
  [[nodiscard]] bool may_send(attempt& tracked, const servers::server_entry& server,
                              time_point now);
  /// \returns whether a previously chosen server still accepts requests: the incarnation is listed,
  /// is not leaving and has not asked for a pause.
  [[nodiscard]] bool accepts_requests(const servers::server_entry& server, time_point now) const;
  /// \returns the time until the first paused or limited server of a service accepts requests
  /// again; none if there is no such server.
  [[nodiscard]] std::optional<duration> shortest_remaining_pause(std::string_view service,
                                                                 time_point now) const;
  /// Replaces the known work of other entry VMs, by server id.
  void apply_peer_work(const std::map<std::string, relay::server_work, std::less<>>& work);
  /// Merges stream gaps that another entry VM has observed; ignores unknown incarnations.
  void apply_peer_paces(std::span<const relay::server_pace> paces, time_point now);
  /// \returns up to `limit` recent local observations, taken from the servers in turn over
  /// successive calls.
  [[nodiscard]] std::vector<relay::server_pace> local_paces(std::size_t limit, time_point now);
  /// Marks servers that another entry VM found absent.
  void apply_absences(std::span<const relay::server_absence> absences, time_point now);
  /// \returns the servers avoided as absent, by local attempts or reports of other entry VMs.
  [[nodiscard]] std::vector<relay::server_absence> absences(time_point now) const;
  /// Drops the state of servers that are no longer listed, have no running requests and no pending
  /// pause; call after the list changed.
  void drop_removed_servers(time_point now);
  /// \returns the requests of this process running on each server, for gossip.
  [[nodiscard]] std::vector<relay::server_work> local_work() const;
  [[nodiscard]] std::vector<server_summary> summary(time_point now) const;
  /// Records what an answer says of its server's load and of the rejections a second that it bears.
  /// \param bearable_rejections none if the server is not brittle.
  /// \returns whether its service was not known as brittle.
  bool record_room(const attempt& tracked, std::string_view service,
                   std::optional<std::uint32_t> bearable_rejections,
                   const std::optional<reported_load>& load, time_point now);
  /// Records the load that the attempt's server reports; call when its answer's head has arrived.
  /// A report without a slowness changes nothing.
  void record_report(const attempt& tracked, std::string_view service, const reported_load& load,
                     time_point now);
  /// \returns the servers whose own report is recent and unusual, or usual again.
  [[nodiscard]] std::vector<server_speed> speeds_to_share(time_point now);
  /// Merges what another VM told; ignores unknown servers.
  void apply_peer_speeds(std::span<const server_speed> speeds, time_point now);
  [[nodiscard]] report_inputs inputs_of(const servers::server_entry& server, time_point now) const;
  /// Records that a server rejected the attempt for want of room; call before `end_attempt`.
  void record_rejection(const attempt& tracked, std::string_view service, time_point now);
  /// \returns the limits that servers name for all entry VMs together.
  [[nodiscard]] server_limits& limits() { return limits_; }
  /// \returns the measured prefill speed of a typical server.
  [[nodiscard]] double prefill_tokens_per_ms() const { return prefill_tokens_per_ms_; }

 private:
  /// What holds for all servers that are compared for one request.
  struct comparison {
    double fleet_gap = 0;
    /// The service's servers report how slow they are.
    bool shared = false;
    /// A reserved server that the query may use is not slow at the moment.
    bool has_fast_reserved = false;
    /// Mean uncached tokens of a prompt.
    double prompt_tokens = 0;
    /// Servers that may have the shared parts of the prompt cached.
    std::vector<endpoint> sources;
  };
  server_state& state_of(const servers::server_entry& server);
  server_state* state_of(const attempt& tracked);
  [[nodiscard]] double median_fleet_gap(time_point now) const;
  /// \returns a server's slowness as learned from its gaps, 1.0 for the fleet's median.
  [[nodiscard]] static double learned_slowness(const server_state& state, double fleet_gap,
                                               time_point now);
  /// \returns whether the server is chosen only if no other can take the request.
  [[nodiscard]] bool avoided(const servers::server_entry& server, const server_state& state,
                             time_point now) const;
  /// \returns what this VM has under way and may send at the servers of a brittle service.
  [[nodiscard]] service_size size_of(std::span<const servers::server_entry* const> serving);
  /// \returns the servers of the query's service that accept requests now, not ranked yet.
  /// \param at_limit is increased by the number of servers whose limit is used up.
  std::vector<internal::candidate> candidates_for(const placement_query& query,
                                                  std::uint32_t& at_limit);
  void score_engine(const placement_query& query, const internal::candidate& at,
                    const comparison& among, placement& out) const;
  void score_service(const placement_query& query, const internal::candidate& at,
                     placement& out) const;
  /// \returns the probability that the answer is incomplete at the request's deadline.
  [[nodiscard]] static double timeout_probability(const placement_query& query, double gap_ms,
                                                  double first_event_ms);
  /// \returns the loss by failures, distance and reachability of the server.
  [[nodiscard]] double failure_loss(const servers::server_entry& server, const server_state& state,
                                    time_point now) const;
  /// Marks the servers reserved for streams, then ranks the candidates for the prompt.
  comparison rank_engines(const placement_query& query, std::span<internal::candidate> candidates);
  [[nodiscard]] service_load& load_of(std::string_view service);
  /// \returns the estimates and loss for the query; its server is not set.
  [[nodiscard]] placement score(const placement_query& query, const internal::candidate& at,
                                const comparison& among) const;
  [[nodiscard]] static internal::suitability suitability_of(const placement_query& query,
                                                            const internal::candidate& at,
                                                            const comparison& among,
                                                            const placement& there);
  void update_reachability(const attempt& tracked, attempt_end end, time_point now);
  /// \returns the fraction of recent connections to the domain that failed; 0 if none failed
  /// lately.
  [[nodiscard]] double unreachable_fraction(std::string_view failure_domain, time_point now) const;
  void update_prefill_speed(const attempt& tracked, const server_state& state, time_point now);

  const servers::server_list& list_;
  std::string failure_domain_;
  random_source random_;
  std::map<std::string, server_state, std::less<>> states_;
  server_limits limits_;
  brittle_quota brittle_;
  /// By failure domain.
  std::map<std::string, domain_reachability, std::less<>> domains_;
  /// The last server that `local_paces` visited.
  std::string last_shared_pace_;
  /// By service.
  std::map<std::string, service_load, std::less<>> loads_;
  /// Prefill speed of a typical server, in tokens per millisecond.
  double prefill_tokens_per_ms_;
};

}  // namespace hawthornnotch::dispatch

#endif  // HAWTHORNNOTCH_DISPATCH_DISPATCHER_H_
