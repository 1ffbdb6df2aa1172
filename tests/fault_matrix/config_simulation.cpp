#include "config_simulation.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/config/edit.h"
#include "hawthornnotch/config/follower.h"

namespace hawthornnotch::test {

namespace {

constexpr duration relay_period{500};
constexpr duration relay_latency{3};
constexpr duration restart_delay{1'000};
constexpr duration setup_duration{2'000};
// Time for all processes to converge, without and with a long pause.
constexpr duration short_run_duration{40'000};
constexpr duration long_run_duration{150'000};
constexpr duration concurrent_edit_delay{15};
constexpr editor_settings test_editor_settings{.timeout = duration{2'000},
                                               .retry_pause = duration{200}};

// \param marker  distinguishes the contents of different edits
workspace_parameters content(const std::string& workspace, std::uint32_t marker) {
  workspace_parameters made;
  made.workspace = workspace;
  made.default_class = "c";
  made.classes.resize(1);
  made.classes.front().name = "c";
  made.retry_percent = marker;
  return made;
}

enum class edit_state : std::uint8_t { open, accepted, rejected };

struct tracked_edit {
  std::string workspace;
  std::uint32_t marker = 0;
  edit_state state = edit_state::open;
  std::uint64_t revision = 0;
  time_point decided_at;
};

struct process {
  stepped_platform::port* port = nullptr;
  port_mode mode = port_mode::healthy;
  bool alive = true;
  bool paused = false;
  bool peers_cut = false;
  bool outgoing_cut = false;
  std::vector<std::function<void()>> deferred;
  // Exactly one of the two is set, by role.
  std::unique_ptr<config_editor> editor;
  std::unique_ptr<config_follower> follower;
  config_follower::table_entry table;
  std::map<std::string, std::uint64_t> last_revisions;
};
using process_ptr = std::shared_ptr<process>;

class simulation {
 public:
  explicit simulation(config_plan plan)
      : plan_(std::move(plan)), store_(time_), random_(plan_.random_seed), start_(time_.now()) {
    for (std::size_t index = 0; index < follower_count; ++index) {
      followers_.push_back(make_follower(index));
    }
    first_ = make_editor("e1");
    second_ = make_editor("e2");
    resolver_ = make_editor("e3");
  }

  run_result run() {
    edit(resolver_, "w", 0, 1);
    edit(resolver_, "v", 0, 2);
    run_for(setup_duration);
    faults_enabled_ = true;
    start_ = time_.now();
    if (plan_.random_seed != 0) {
      schedule_random_edits();
    } else {
      edit(first_, "w", 1, 11);
      if (plan_.concurrent != concurrent_edit::none) {
        const std::string workspace =
            plan_.concurrent == concurrent_edit::same_workspace ? "w" : "v";
        store_.events().after(concurrent_edit_delay,
                              [this, workspace] { edit(second_, workspace, 1, 22); });
      }
    }
    run_for(has_pause() ? long_run_duration : short_run_duration);
    return check();
  }

 private:
  static constexpr std::size_t follower_count = 3;
  // The last follower does not watch the platform; it receives tables only from peers.
  static constexpr std::size_t peer_fed_follower = 2;
  static constexpr duration random_phase{20'000};

  bool has_pause() const {
    const auto pauses = [](const config_injection& one) { return one.kind == fault::long_pause; };
    return plan_.random_seed != 0 ||
           std::any_of(plan_.injections.begin(), plan_.injections.end(), pauses);
  }

  void run_for(duration span) {
    const time_point end = time_.now() + span;
    while (time_.now() < end) {
      time_.advance(faults_enabled_ ? step_at(time_.now() - start_) : duration{10});
      store_.run_due();
      tick_all();
    }
  }

  void tick_all() {
    for (const process_ptr& one : {first_, second_, resolver_}) {
      if (one->alive && !one->paused) {
        one->editor->tick();
      }
    }
    const bool relay_now = time_.now() >= next_relay_;
    if (relay_now) {
      next_relay_ = time_.now() + relay_period;
    }
    for (const process_ptr& one : std::vector(followers_)) {
      if (one->alive && !one->paused) {
        one->follower->tick();
        if (relay_now) {
          relay_from(one);
        }
      }
    }
  }

  // --- processes ---

  process_ptr make_process() {
    auto made = std::make_shared<process>();
    made->port = &store_.connect();
    made->port->fault = [this, weak = std::weak_ptr(made)](const call_info& info) {
      const auto self = weak.lock();
      return self ? platform_fault(self, info) : call_fault::none;
    };
    return made;
  }

  process_ptr make_editor(const std::string& incarnation) {
    auto made = make_process();
    made->editor = config_editor::create(test_editor_settings, *made->port, time_, incarnation);
    return made;
  }

  process_ptr make_follower(std::size_t index) {
    auto made = make_process();
    made->follower = config_follower::create(
        {}, *made->port, time_, 7 + index, made->table,
        [this, weak = std::weak_ptr(made)] { on_table_change(weak.lock()); });
    if (index != peer_fed_follower) {
      made->follower->start();
    }
    return made;
  }

  // Runs the action in the process: dropped after a crash, deferred during a pause.
  static void run_in_process(const process_ptr& self, const std::function<void()>& action) {
    if (self->alive && self->paused) {
      self->deferred.push_back(action);
    } else if (self->alive) {
      action();
    }
  }

  // --- fault injection ---

  std::optional<fault> take_injection(config_step at) {
    for (std::size_t index = 0; faults_enabled_ && index < plan_.injections.size(); ++index) {
      if (plan_.injections[index].at == at) {
        const fault kind = plan_.injections[index].kind;
        plan_.injections.erase(plan_.injections.begin() + static_cast<std::ptrdiff_t>(index));
        return kind;
      }
    }
    return std::nullopt;
  }

  std::optional<config_step> step_of(const process_ptr& self, const call_info& info) const {
    const bool head = info.key == config_head_key;
    if (self == first_ && info.kind == call_kind::transact) {
      return head ? config_step::move_head : config_step::write_version;
    }
    if (self == followers_.front() && info.kind == call_kind::watch && head) {
      return config_step::watch;
    }
    if (self == followers_.front() && info.kind == call_kind::read && !head) {
      return config_step::read;
    }
    return std::nullopt;
  }

  call_fault platform_fault(const process_ptr& self, const call_info& info) {
    if (!faults_enabled_ || followers_.size() < follower_count) {
      return call_fault::none;
    }
    if (plan_.random_seed != 0) {
      return random_call_fault(self);
    }
    const auto at = step_of(self, info);
    const auto kind = at ? take_injection(*at) : std::nullopt;
    if (!kind) {
      return call_fault_in(self->mode);
    }
    if (const auto chosen = call_fault_of(*kind)) {
      return *chosen;
    }
    inject(self, *kind);
    return *kind == fault::crash_before ? call_fault::request_lost : call_fault_in(self->mode);
  }

  call_fault random_call_fault(const process_ptr& self) {
    constexpr int fault_kinds = 9;
    if (time_.now() - start_ > random_phase) {
      return call_fault::none;
    }
    const auto roll = random_.below(100);
    if (roll < 4 && self->follower) {
      inject(self, static_cast<fault>(random_.below(fault_names.size())));
    }
    return roll < 40 ? static_cast<call_fault>(random_.below(fault_kinds))
                     : call_fault_in(self->mode);
  }

  void inject(const process_ptr& self, fault kind) {
    if (const auto mode = port_mode_of(kind)) {
      const bool all = kind == fault::platform_down || kind == fault::platform_slow;
      for (const process_ptr& one : all_processes()) {
        if (all || one == self) {
          set_port_mode(one, *mode);
        }
      }
    }
    if (kind == fault::cut_from_peers) {
      self->peers_cut = true;
      store_.events().after(outage_duration, [self] { self->peers_cut = false; });
    } else if (kind == fault::one_way_cut) {
      self->outgoing_cut = true;
      store_.events().after(outage_duration, [self] { self->outgoing_cut = false; });
    } else if (kind == fault::long_pause) {
      pause(self);
    } else if (kind == fault::crash_before || kind == fault::crash_after) {
      crash(self);
    }
  }

  std::vector<process_ptr> all_processes() const {
    std::vector<process_ptr> all = followers_;
    all.insert(all.end(), {first_, second_, resolver_});
    return all;
  }

  void set_port_mode(const process_ptr& self, port_mode mode) {
    self->mode = mode;
    if (mode == port_mode::down) {
      self->port->break_watches();
    }
    store_.events().after(outage_duration, [self] { self->mode = port_mode::healthy; });
  }

  void pause(const process_ptr& self) {
    self->paused = true;
    self->port->pause();
    store_.events().after(pause_duration, [self] {
      self->paused = false;
      if (!self->alive) {
        self->deferred.clear();
        return;
      }
      self->port->resume();
      for (const auto& one : std::exchange(self->deferred, {})) {
        one();
      }
    });
  }

  void crash(const process_ptr& self) {
    if (!self->alive) {
      return;
    }
    self->alive = false;
    self->port->kill();
    store_.events().after(restart_delay, [this, self] {
      for (std::size_t index = 0; index < followers_.size(); ++index) {
        if (followers_[index] == self) {
          followers_[index] = make_follower(index);
        }
      }
    });
  }

  // --- relays ---

  void relay_from(const process_ptr& self) {
    for (const process_ptr& to : followers_) {
      if (to == self) {
        continue;
      }
      std::optional<fault> kind;
      const workspace_table_update sent = self->follower->table();
      const auto w = sent.workspaces.find("w");
      const bool is_step = self == followers_.front() && to == followers_.back() &&
                           w != sent.workspaces.end() && w->second.revision > 1;
      if (is_step) {
        kind = take_injection(config_step::relay);
      } else if (plan_.random_seed != 0 && faults_enabled_ && random_.below(100) < 20) {
        kind = static_cast<fault>(random_.below(5));
      }
      send_table(self, to, sent, kind);
    }
  }

  void send_table(const process_ptr& self, const process_ptr& to,
                  const workspace_table_update& sent, const std::optional<fault>& kind) {
    if (kind == fault::request_lost || kind == fault::crash_before) {
      if (kind == fault::crash_before) {
        crash(self);
      }
      return;
    }
    if (kind && !call_fault_of(*kind)) {
      inject(self, *kind);
    }
    if (self->peers_cut || to->peers_cut || self->outgoing_cut) {
      return;
    }
    const bool late = kind == fault::delayed || kind == fault::reordered;
    deliver_table(to, sent, late ? stepped_platform::long_delay : relay_latency);
    if (kind == fault::doubled) {
      deliver_table(to, sent, stepped_platform::long_delay);
    }
  }

  void deliver_table(const process_ptr& to, const workspace_table_update& sent, duration wait) {
    store_.events().after(
        wait, [to, sent] { run_in_process(to, [to, sent] { to->follower->merge(sent); }); });
  }

  // --- operators ---

  void edit(const process_ptr& by, const std::string& workspace, std::uint64_t base,
            std::uint32_t marker) {
    const std::size_t number = edits_.size();
    edits_.push_back({workspace, marker, edit_state::open, 0, {}});
    by->editor->submit(content(workspace, marker), base, [this, number](const edit_outcome& how) {
      std::visit(
          overloaded{
              [&](const edit_accepted& done) { accepted(number, done.revision); },
              [&](const edit_conflict&) { edits_[number].state = edit_state::rejected; },
              [&](const edit_invalid&) { violations_.emplace_back("a valid edit was refused"); },
              [&](const edit_unknown& lost) { resolve_unknown(number, lost.edit_id); },
              [&](const edit_unreachable&) { edits_[number].state = edit_state::rejected; }},
          how);
    });
  }

  void accepted(std::size_t number, std::uint64_t revision) {
    edits_[number].state = edit_state::accepted;
    edits_[number].revision = revision;
    edits_[number].decided_at = time_.now();
  }

  void resolve_unknown(std::size_t number, const std::string& edit_id) {
    resolver_->editor->find(edit_id, [this, number, edit_id](const find_outcome& how) {
      std::visit(
          overloaded{[&](const edit_accepted& done) { accepted(number, done.revision); },
                     [&](const edit_not_accepted&) { edits_[number].state = edit_state::rejected; },
                     [&](const edit_too_old&) { violations_.emplace_back("an edit id was lost"); },
                     [&](const edit_unreachable&) {
                       store_.events().after(duration{100}, [this, number, edit_id] {
                         resolve_unknown(number, edit_id);
                       });
                     }},
          how);
    });
  }

  void schedule_random_edits() {
    constexpr int edits = 12;
    for (int index = 0; index < edits; ++index) {
      const auto wait = static_cast<std::int64_t>(random_.below(15'000));
      const std::string workspace = random_.below(2) == 0 ? "w" : "v";
      const process_ptr by = random_.below(2) == 0 ? first_ : second_;
      const auto marker = static_cast<std::uint32_t>(100 + index);
      store_.events().after(duration{wait}, [this, by, workspace, marker] {
        by->editor->read({config_subject::kind::workspace, workspace},
                         [this, by, workspace, marker](const auto& seen) {
                           if (seen) {
                             edit(by, workspace, seen->revision, marker);
                           }
                         });
      });
    }
  }

  // --- invariants ---

  void on_table_change(const process_ptr& self) {
    if (!self) {
      return;
    }
    const auto table = self->table.read();
    for (const auto& [name, now] : *table) {
      std::uint64_t& before = self->last_revisions[name];
      if (now.revision < before) {
        violations_.push_back("the revision of " + name + " went back");
      }
      before = now.revision;
      effective_revisions_.emplace(now.retry_percent, now.revision);
      first_seen_[now.retry_percent].emplace(self.get(), time_.now());
    }
    if (faults_enabled_ && self->follower->ready() && table->size() < 2) {
      violations_.emplace_back("ready without a complete table");
    }
    if (faults_enabled_ && followers_.size() == follower_count && self == followers_.front() &&
        self->last_revisions["w"] > 1) {
      if (const auto kind = take_injection(config_step::apply)) {
        inject(self, *kind);
      }
    }
  }

  run_result check() {
    run_result found;
    found.reached = plan_.injections.empty();
    found.violations = violations_;
    check_edits(found);
    check_followers(found);
    return found;
  }

  void check_edits(run_result& found) const {
    std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> winners;
    for (const tracked_edit& one : edits_) {
      const bool seen = effective_revisions_.contains(one.marker);
      if (one.state == edit_state::rejected && seen) {
        found.violations.emplace_back("a rejected edit was in force");
      }
      if (one.state != edit_state::accepted) {
        continue;
      }
      if (!winners.emplace(std::pair(one.workspace, one.revision), one.marker).second) {
        found.violations.emplace_back("two edits were accepted as the same revision");
      }
      record_propagation_delay(one, found);
      if (effective_revisions_.contains(one.marker) &&
          effective_revisions_.at(one.marker) != one.revision) {
        found.violations.emplace_back("in force under another revision than accepted");
      }
    }
    found.outcome = edits_.size() > 2 && edits_[2].state == edit_state::accepted   ? "accepted"
                    : edits_.size() > 2 && edits_[2].state == edit_state::rejected ? "rejected"
                                                                                   : "no answer";
  }

  void record_propagation_delay(const tracked_edit& one, run_result& found) const {
    const auto seen = first_seen_.find(one.marker);
    if (seen == first_seen_.end()) {
      return;
    }
    for (const auto& [who, when] : seen->second) {
      found.max_propagation_delay = std::max(found.max_propagation_delay, when - one.decided_at);
    }
  }

  void check_followers(run_result& found) const {
    for (const process_ptr& one : followers_) {
      const auto table = one->table.read();
      if (!one->follower->ready() || !table) {
        found.violations.emplace_back("a follower isn't ready after the faults ended");
        continue;
      }
      for (const tracked_edit& edit : edits_) {
        const workspace_parameters& now = table->at(edit.workspace);
        const bool superseded = now.revision > edit.revision;
        if (edit.state == edit_state::accepted && !superseded &&
            (now.revision < edit.revision || now.retry_percent != edit.marker)) {
          found.violations.emplace_back("an accepted edit is not in force");
        }
      }
    }
  }

  config_plan plan_;
  stepped_clock time_;
  stepped_platform store_;
  random_source random_;
  time_point start_;
  time_point next_relay_;
  bool faults_enabled_ = false;
  std::vector<process_ptr> followers_;
  process_ptr first_;
  process_ptr second_;
  // Makes the initial edits and looks up edits whose outcome is unknown.
  process_ptr resolver_;
  std::vector<tracked_edit> edits_;
  // First revision under which any follower applied each marker.
  std::map<std::uint32_t, std::uint64_t> effective_revisions_;
  std::map<std::uint32_t, std::map<const process*, time_point>> first_seen_;
  std::vector<std::string> violations_;
};

}  // namespace

std::optional<std::string_view> config_cell_excluded(config_step at, fault kind) {
  const bool by_tool = at == config_step::write_version || at == config_step::move_head;
  if (by_tool && kind == fault::cut_from_peers) {
    return "the operators' tool has no peers";
  }
  if (at == config_step::apply && call_fault_of(kind)) {
    return "a step inside one process sends nothing";
  }
  if (kind == fault::answer_lost && (at == config_step::watch || at == config_step::relay)) {
    return "one message without an answer: see request lost";
  }
  return std::nullopt;
}

run_result run_config_plan(const config_plan& plan) { return simulation(plan).run(); }

}  // namespace hawthornnotch::test
