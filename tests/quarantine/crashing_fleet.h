// A fleet of entry VMs and servers on a stepped clock, in which some requests crash servers.
#ifndef HAWTHORNNOTCH_TESTS_QUARANTINE_CRASHING_FLEET_H_
#define HAWTHORNNOTCH_TESTS_QUARANTINE_CRASHING_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/quarantine/suspect_table.h"

namespace hawthornnotch::quarantine {

using namespace literals;

// The bound of the platform's rules: this many deadly requests may reach servers, sent by VMs that
// count, later than `stability` after the crash of this number.
inline constexpr std::size_t crashes_before_part = 5;
inline constexpr std::size_t crashes_before_request = 3;
inline constexpr duration stability{3'000};
inline constexpr std::size_t allowed_after = 3;

// A request's shared parts, from the first on, and the request itself.
using request_parts = std::vector<fingerprint>;

// \returns the fingerprint of a part by its number.
fingerprint part(std::uint64_t number);

struct fleet_options {
  std::size_t vms = 8;
  std::size_t servers = 18;
  // Requests per second of the whole fleet.
  double sound_per_s = 40;
  double deadly_per_s = 2;
  std::uint64_t seed = 1;
  // What crashes servers: a part, or one request that comes again.
  suspect_kind deadly = suspect_kind::prompt_part;
  // Position of the crashing part: 0 the first, 1 after a first part that sound requests share.
  std::size_t position = 1;
  // Part of the answers of sound requests whose connection closes although the server lives.
  double lost_answers = 0;
  // Popular first parts.
  std::size_t first_parts = 20;
};

class crashing_fleet {
 public:
  explicit crashing_fleet(const fleet_options& options);

  void run_for(duration time);
  // Crashes so large a fraction of the servers now, for another cause.
  void crash_servers(double fraction);
  // Cuts the VMs below `count` off from the others; 0 ends the cut.
  void cut_off(std::size_t count);
  // Ends a VM's process and starts it anew: it knows nothing.
  void restart(std::size_t vm);
  // Suspends a VM until `wake`.
  void freeze(std::size_t vm) { vms_[vm].frozen = true; }
  void wake(std::size_t vm);
  // Adds a second crashing part, on another service's servers as it were: other first parts.
  void add_second_part() { second_part_ = true; }
  void set_deadly_rate(double per_second) { options_.deadly_per_s = per_second; }

  [[nodiscard]] std::size_t crashes() const { return deadly_crashes_; }
  // \returns how many requests with the crashing part arrived after the bound.
  [[nodiscard]] std::size_t arrivals_after_bound() const { return arrivals_after_bound_; }
  // \returns the fraction of sound requests that were refused after the bound.
  [[nodiscard]] double refused_sound() const;
  // \returns the fraction of those with the first part of the deadly ones.
  [[nodiscard]] double refused_companions() const;
  [[nodiscard]] std::size_t quarantined_at(std::size_t vm) const {
    return vms_[vm].table.quarantined_count();
  }
  // \returns the number of messages that were sent at once, beside the regular ones.
  [[nodiscard]] std::size_t urgent_messages() const { return urgent_messages_; }
  suspect_table& table(std::size_t vm) { return vms_[vm].table; }
  [[nodiscard]] time_point now() const { return now_; }

 private:
  struct entry_vm {
    suspect_table table;
    bool frozen = false;
    time_point counts_from;
    time_point news_at;
  };
  struct pending_request {
    std::size_t vm = 0;
    request_parts parts;
    bool deadly = false;
    bool retried = false;
    time_point begins_at;
  };
  struct server {
    std::uint32_t incarnation = 0;
    std::optional<time_point> back_at;
    std::vector<pending_request> pending;
  };

  void arrive(bool deadly);
  void send(std::size_t vm, pending_request request);
  void run_server(server& at);
  void crash(server& at);
  void on_closed(const server& at, pending_request request);
  void gossip();
  void spread_news();
  void exchange(std::size_t from, std::size_t to);
  [[nodiscard]] bool reachable(std::size_t a, std::size_t b) const;
  [[nodiscard]] bool counts(std::size_t vm) const;
  [[nodiscard]] bool after_bound(duration since_bound = duration{0}) const;
  [[nodiscard]] request_parts draw_parts(bool deadly);

  struct ratio {
    std::size_t of = 0;
    std::size_t refused = 0;
    [[nodiscard]] double value() const {
      return of == 0 ? 0.0 : static_cast<double>(refused) / static_cast<double>(of);
    }
  };

  fleet_options options_;
  random_source random_;
  time_point now_{100'000};
  std::vector<entry_vm> vms_;
  std::vector<server> servers_;
  std::multimap<std::int64_t, std::function<void()>> delayed_;
  std::uint32_t incarnations_ = 0;
  std::uint64_t requests_ = 0;
  std::size_t cut_off_ = 0;
  bool second_part_ = false;
  std::size_t deadly_crashes_ = 0;
  std::optional<time_point> bound_;
  std::size_t arrivals_after_bound_ = 0;
  std::size_t urgent_messages_ = 0;
  ratio sound_;
  ratio companions_;
};

}  // namespace hawthornnotch::quarantine

#endif  // HAWTHORNNOTCH_TESTS_QUARANTINE_CRASHING_FLEET_H_
