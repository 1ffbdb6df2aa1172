#include "config_world.h"

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
constexpr duration relay_time{3};
constexpr duration restart_time{1'000};
constexpr duration setup_length{2'000};
// Until everything settled, without and with a long pause.
constexpr duration short_run{40'000};
constexpr duration long_run{150'000};
constexpr duration rival_lag{15};
constexpr editor_settings impatient{.timeout = duration{2'000}, .retry_pause = duration{200}};

// A marker that tells one edit's content from another's.
workspace_parameters content(const std::string& workspace, std::uint32_t marker) {
  workspace_parameters made;
  made.workspace = workspace;
  made.default_class = "c";
  made.classes.resize(1);
  made.classes.front().name = "c";
  made.retry_percent = marker;
  return made;
}

enum class edit_fate : std::uint8_t { open, accepted, rejected };

struct made_edit {
  std::string workspace;
  std::uint32_t marker = 0;
  edit_fate fate = edit_fate::open;
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
  std::vector<std::function<void()>> held;
  // One of the two, by role.
  std::unique_ptr<config_editor> editor;
  std::unique_ptr<config_follower> follower;
  config_follower::table_entry table;
  std::map<std::string, std::uint64_t> seen;
};
using process_ptr = std::shared_ptr<process>;

class world {
 public:
  explicit world(config_plan plan)
      : plan_(std::move(plan)), store_(time_), random_(plan_.random_seed), start_(time_.now()) {
    for (std::size_t index = 0; index < follower_count; ++index) {
      followers_.push_back(make_follower(index));
    }
    first_ = make_editor("e1");
    second_ = make_editor("e2");
    settler_ = make_editor("e3");
  }

  findings run() {
    edit(settler_, "w", 0, 1);
    edit(settler_, "v", 0, 2);
    run_for(setup_length);
    armed_ = true;
    start_ = time_.now();
    if (plan_.random_seed != 0) {
      schedule_random_edits();
    } else {
      edit(first_, "w", 1, 11);
      if (plan_.second != rival::none) {
        const std::string workspace = plan_.second == rival::same_workspace ? "w" : "v";
        store_.events().after(rival_lag, [this, workspace] { edit(second_, workspace, 1, 22); });
      }
    }
    run_for(has_pause() ? long_run : short_run);
    return check();
  }

 private:
  static constexpr std::size_t follower_count = 3;
  // The last follower has no platform: only peers feed it.
  static constexpr std::size_t fed_by_peers = 2;
  static constexpr duration random_phase{20'000};

  bool has_pause() const {
    const auto pauses = [](const config_injection& one) { return one.what == fault::long_pause; };
    return plan_.random_seed != 0 ||
           std::any_of(plan_.injections.begin(), plan_.injections.end(), pauses);
  }

  void run_for(duration span) {
    const time_point end = time_.now() + span;
    while (time_.now() < end) {
      time_.advance(armed_ ? step_at(time_.now() - start_) : duration{10});
      store_.run_due();
      tick_all();
    }
  }

  void tick_all() {
    for (const process_ptr& one : {first_, second_, settler_}) {
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
    made->editor = config_editor::create(impatient, *made->port, time_, incarnation);
    return made;
  }

  process_ptr make_follower(std::size_t index) {
    auto made = make_process();
    made->follower =
        config_follower::create({}, *made->port, time_, 7 + index, made->table,
                                [this, weak = std::weak_ptr(made)] { changed(weak.lock()); });
    if (index != fed_by_peers) {
      made->follower->start();
    }
    return made;
  }

  // Runs in the process: not once it crashed, later while it is paused.
  static void in_process(const process_ptr& self, const std::function<void()>& what) {
    if (self->alive && self->paused) {
      self->held.push_back(what);
    } else if (self->alive) {
      what();
    }
  }

  // --- faults ---

  std::optional<fault> take(config_step at) {
    for (std::size_t index = 0; armed_ && index < plan_.injections.size(); ++index) {
      if (plan_.injections[index].at == at) {
        const fault what = plan_.injections[index].what;
        plan_.injections.erase(plan_.injections.begin() + static_cast<std::ptrdiff_t>(index));
        return what;
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
    if (!armed_ || followers_.size() < follower_count) {
      return call_fault::none;
    }
    if (plan_.random_seed != 0) {
      return random_call_fault(self);
    }
    const auto at = step_of(self, info);
    const auto what = at ? take(*at) : std::nullopt;
    if (!what) {
      return fault_in(self->mode);
    }
    if (const auto chosen = call_fault_of(*what)) {
      return *chosen;
    }
    strike(self, *what);
    return *what == fault::crash_before ? call_fault::request_lost : fault_in(self->mode);
  }

  call_fault random_call_fault(const process_ptr& self) {
    constexpr int fault_kinds = 9;
    if (time_.now() - start_ > random_phase) {
      return call_fault::none;
    }
    const auto dice = random_.below(100);
    if (dice < 4 && self->follower) {
      strike(self, static_cast<fault>(random_.below(fault_names.size())));
    }
    return dice < 40 ? static_cast<call_fault>(random_.below(fault_kinds)) : fault_in(self->mode);
  }

  void strike(const process_ptr& self, fault what) {
    if (const auto mode = mode_of(what)) {
      const bool all = what == fault::platform_down || what == fault::platform_slow;
      for (const process_ptr& one : everybody()) {
        if (all || one == self) {
          disturb(one, *mode);
        }
      }
    }
    if (what == fault::cut_from_peers) {
      self->peers_cut = true;
      store_.events().after(outage_length, [self] { self->peers_cut = false; });
    } else if (what == fault::one_way_cut) {
      self->outgoing_cut = true;
      store_.events().after(outage_length, [self] { self->outgoing_cut = false; });
    } else if (what == fault::long_pause) {
      pause(self);
    } else if (what == fault::crash_before || what == fault::crash_after) {
      crash(self);
    }
  }

  std::vector<process_ptr> everybody() const {
    std::vector<process_ptr> all = followers_;
    all.insert(all.end(), {first_, second_, settler_});
    return all;
  }

  void disturb(const process_ptr& self, port_mode mode) {
    self->mode = mode;
    if (mode == port_mode::down) {
      self->port->break_watches();
    }
    store_.events().after(outage_length, [self] { self->mode = port_mode::healthy; });
  }

  void pause(const process_ptr& self) {
    self->paused = true;
    self->port->pause();
    store_.events().after(pause_length, [self] {
      self->paused = false;
      if (!self->alive) {
        self->held.clear();
        return;
      }
      self->port->resume();
      for (const auto& one : std::exchange(self->held, {})) {
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
    store_.events().after(restart_time, [this, self] {
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
      std::optional<fault> what;
      const workspace_table_update sent = self->follower->table();
      const auto w = sent.workspaces.find("w");
      const bool is_step = self == followers_.front() && to == followers_.back() &&
                           w != sent.workspaces.end() && w->second.revision > 1;
      if (is_step) {
        what = take(config_step::relay);
      } else if (plan_.random_seed != 0 && armed_ && random_.below(100) < 20) {
        what = static_cast<fault>(random_.below(5));
      }
      send_table(self, to, sent, what);
    }
  }

  void send_table(const process_ptr& self, const process_ptr& to,
                  const workspace_table_update& sent, const std::optional<fault>& what) {
    if (what == fault::request_lost || what == fault::crash_before) {
      if (what == fault::crash_before) {
        crash(self);
      }
      return;
    }
    if (what && !call_fault_of(*what)) {
      strike(self, *what);
    }
    if (self->peers_cut || to->peers_cut || self->outgoing_cut) {
      return;
    }
    const bool late = what == fault::delayed || what == fault::reordered;
    deliver_table(to, sent, late ? stepped_platform::long_delay : relay_time);
    if (what == fault::doubled) {
      deliver_table(to, sent, stepped_platform::long_delay);
    }
  }

  void deliver_table(const process_ptr& to, const workspace_table_update& sent, duration wait) {
    store_.events().after(
        wait, [to, sent] { in_process(to, [to, sent] { to->follower->merge(sent); }); });
  }

  // --- operators ---

  void edit(const process_ptr& by, const std::string& workspace, std::uint64_t base,
            std::uint32_t marker) {
    const std::size_t number = edits_.size();
    edits_.push_back({workspace, marker, edit_fate::open, 0, {}});
    by->editor->submit(content(workspace, marker), base, [this, number](const edit_outcome& how) {
      std::visit(
          overloaded{
              [&](const edit_accepted& done) { accepted(number, done.revision); },
              [&](const edit_conflict&) { edits_[number].fate = edit_fate::rejected; },
              [&](const edit_invalid&) { violations_.emplace_back("a valid edit was refused"); },
              [&](const edit_unknown& lost) { settle(number, lost.edit_id); },
              [&](const edit_unreachable&) { edits_[number].fate = edit_fate::rejected; }},
          how);
    });
  }

  void accepted(std::size_t number, std::uint64_t revision) {
    edits_[number].fate = edit_fate::accepted;
    edits_[number].revision = revision;
    edits_[number].decided_at = time_.now();
  }

  void settle(std::size_t number, const std::string& edit_id) {
    settler_->editor->find(edit_id, [this, number, edit_id](const find_outcome& how) {
      std::visit(
          overloaded{[&](const edit_accepted& done) { accepted(number, done.revision); },
                     [&](const edit_not_accepted&) { edits_[number].fate = edit_fate::rejected; },
                     [&](const edit_too_old&) { violations_.emplace_back("an edit id was lost"); },
                     [&](const edit_unreachable&) {
                       store_.events().after(duration{100},
                                             [this, number, edit_id] { settle(number, edit_id); });
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

  // --- the invariants ---

  void changed(const process_ptr& self) {
    if (!self) {
      return;
    }
    const auto table = self->table.read();
    for (const auto& [name, now] : *table) {
      std::uint64_t& before = self->seen[name];
      if (now.revision < before) {
        violations_.push_back("the revision of " + name + " went back");
      }
      before = now.revision;
      in_force_.emplace(now.retry_percent, now.revision);
      first_seen_[now.retry_percent].emplace(self.get(), time_.now());
    }
    if (armed_ && self->follower->ready() && table->size() < 2) {
      violations_.emplace_back("ready without a complete table");
    }
    if (armed_ && followers_.size() == follower_count && self == followers_.front() &&
        self->seen["w"] > 1) {
      if (const auto what = take(config_step::apply)) {
        strike(self, *what);
      }
    }
  }

  findings check() {
    findings found;
    found.reached = plan_.injections.empty();
    found.violations = violations_;
    check_edits(found);
    check_followers(found);
    return found;
  }

  void check_edits(findings& found) const {
    std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> winners;
    for (const made_edit& one : edits_) {
      const bool seen = in_force_.contains(one.marker);
      if (one.fate == edit_fate::rejected && seen) {
        found.violations.emplace_back("a rejected edit was in force");
      }
      if (one.fate != edit_fate::accepted) {
        continue;
      }
      if (!winners.emplace(std::pair(one.workspace, one.revision), one.marker).second) {
        found.violations.emplace_back("two edits were accepted as the same revision");
      }
      note_slowest(one, found);
      if (in_force_.contains(one.marker) && in_force_.at(one.marker) != one.revision) {
        found.violations.emplace_back("in force under another revision than accepted");
      }
    }
    found.outcome = edits_.size() > 2 && edits_[2].fate == edit_fate::accepted   ? "accepted"
                    : edits_.size() > 2 && edits_[2].fate == edit_fate::rejected ? "rejected"
                                                                                 : "no answer";
  }

  void note_slowest(const made_edit& one, findings& found) const {
    const auto seen = first_seen_.find(one.marker);
    if (seen == first_seen_.end()) {
      return;
    }
    for (const auto& [who, when] : seen->second) {
      found.in_force_after = std::max(found.in_force_after, when - one.decided_at);
    }
  }

  void check_followers(findings& found) const {
    for (const process_ptr& one : followers_) {
      const auto table = one->table.read();
      if (!one->follower->ready() || !table) {
        found.violations.emplace_back("a follower isn't ready after the faults ended");
        continue;
      }
      for (const made_edit& edit : edits_) {
        const workspace_parameters& now = table->at(edit.workspace);
        const bool superseded = now.revision > edit.revision;
        if (edit.fate == edit_fate::accepted && !superseded &&
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
  bool armed_ = false;
  std::vector<process_ptr> followers_;
  process_ptr first_;
  process_ptr second_;
  // Makes the first edits and looks up lost ones.
  process_ptr settler_;
  std::vector<made_edit> edits_;
  // Revision under which each marker was seen at any follower.
  std::map<std::uint32_t, std::uint64_t> in_force_;
  std::map<std::uint32_t, std::map<const process*, time_point>> first_seen_;
  std::vector<std::string> violations_;
};

}  // namespace

std::optional<std::string_view> config_cell_excluded(config_step at, fault what) {
  const bool by_tool = at == config_step::write_version || at == config_step::move_head;
  if (by_tool && what == fault::cut_from_peers) {
    return "the operators' tool has no peers";
  }
  if (at == config_step::apply && call_fault_of(what)) {
    return "a step inside one process sends nothing";
  }
  if (what == fault::answer_lost && (at == config_step::watch || at == config_step::relay)) {
    return "one message without an answer: see request lost";
  }
  return std::nullopt;
}

findings run_config_plan(const config_plan& plan) { return world(plan).run(); }

}  // namespace hawthornnotch::test
