#include <algorithm>
#include <boost/json/parse.hpp>
#include <map>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/ctl/announcement.h"
#include "hawthornnotch/ctl/run.h"
#include "hawthornnotch/ctl/text_file.h"

namespace hawthornnotch::ctl {
namespace {

using read_result = result<platform::read_outcome, platform::platform_failure>;
using transaction_result = result<platform::transaction_outcome, platform::platform_failure>;
using list_result = result<std::vector<platform::listed_vm>, platform::platform_failure>;

// Against other operators, and against answers that were lost.
constexpr int most_tries = 5;

failed<command_failure> fail(exit_code code, std::string detail) {
  return failed{command_failure{code, std::move(detail)}};
}

std::optional<fleet_vm> parse_stored(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(text, error);
  return error ? std::nullopt : parse_fleet_vm(parsed);
}

// What stands in the store, and the revision that a change is conditional on.
struct stored_announcement {
  std::optional<fleet_vm> vm;
  std::int64_t mod_revision = 0;
};

enum class change_state : std::uint8_t { announced, unchanged };

// Writes one announcement by compare-and-swap.  A try whose answer was lost is followed by another
// with the same condition, of which at most one can succeed; so the loop may simply go on.
class announcement_change {
 public:
  using decider = std::function<announcement_decision(const std::optional<fleet_vm>&)>;

  announcement_change(session& remote, const std::string& failure_domain, std::string id,
                      decider decide)
      : remote_(remote),
        key_(announcement_key(failure_domain, id)),
        id_(std::move(id)),
        decide_(std::move(decide)) {}

  result<change_state, command_failure> run() {
    for (int tries = 0; tries < most_tries; ++tries) {
      const auto stored = read();
      if (!stored) {
        return no_answer();
      }
      const announcement_decision decision = decide_(stored->vm);
      if (const auto* next = std::get_if<announcement_write>(&decision)) {
        const auto written = write(*next, stored->mod_revision);
        if (written && written->applied) {
          return change_state::announced;
        }
        if (!written && !written.last_reason().may_have_taken_effect) {
          return no_answer();
        }
        may_have_written_ = may_have_written_ || !written;
        continue;
      }
      return settled(decision);
    }
    return may_have_written_ ? no_answer() : fail(exit_code::conflict, id_ + ": others change it");
  }

 private:
  result<change_state, command_failure> settled(const announcement_decision& decision) const {
    using settled_result = result<change_state, command_failure>;
    return std::visit(
        overloaded{
            [](const announcement_write&) -> settled_result { return change_state::announced; },
            [this](const announcement_same&) -> settled_result {
              return may_have_written_ ? change_state::announced : change_state::unchanged;
            },
            [this](const announcement_left&) -> settled_result {
              return fail(exit_code::conflict,
                          id_ + ": this incarnation is leaving; a new start needs a new one");
            },
            [this](const announcement_absent&) -> settled_result {
              return fail(exit_code::absent, id_ + ": not announced");
            }},
        decision);
  }

  failed<command_failure> no_answer() const {
    if (may_have_written_) {
      return fail(exit_code::unknown,
                  id_ + ": the platform's answer was lost; repeat the command, which is safe");
    }
    return fail(exit_code::unreachable,
                id_ + ": the platform does not answer; nothing was written");
  }

  std::optional<stored_announcement> read() {
    const auto outcome = call<read_result>(
        remote_.shown(), "waiting for the platform",
        [this](platform::read_callback done) { remote_.platform().read(key_, std::move(done)); });
    if (!outcome) {
      return {};
    }
    if (outcome->found.empty()) {
      return stored_announcement{};
    }
    const platform::key_value& found = outcome->found.front();
    return stored_announcement{parse_stored(found.value), found.mod_revision};
  }

  transaction_result write(const announcement_write& next, std::int64_t base) {
    platform::transaction what;
    if (base == 0) {
      what.conditions.emplace_back(platform::must_be_absent{key_});
    } else {
      what.conditions.emplace_back(platform::must_be_unchanged{key_, base});
    }
    what.effects.emplace_back(platform::put{key_, next.text, 0});
    return call<transaction_result>(remote_.shown(), "waiting for the platform",
                                    [&](platform::transaction_callback done) {
                                      remote_.platform().transact(std::move(what), std::move(done));
                                    });
  }

  session& remote_;
  std::string key_;
  std::string id_;
  decider decide_;
  bool may_have_written_ = false;
};

result<std::vector<fleet_vm>, command_failure> read_vms(const std::string& file) {
  const auto text = read_text_file(file);
  if (!text) {
    return fail(exit_code::bad_input, file + ": can't be read");
  }
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(*text, error);
  if (error) {
    return fail(exit_code::bad_input, file + ": not JSON");
  }
  const boost::json::array list =
      parsed.is_array() ? parsed.as_array() : boost::json::array{parsed};
  std::vector<fleet_vm> vms;
  for (const boost::json::value& element : list) {
    auto vm = parse_fleet_vm(element);
    if (!vm || incarnation_of(*vm).empty() || failure_domain_of(*vm).empty()) {
      return fail(exit_code::bad_input, file + ": element " + std::to_string(vms.size()) +
                                            " is not a backend_server or entry_vm");
    }
    vms.push_back(std::move(*vm));
  }
  return vms;
}

std::string_view word_for(change_state state) {
  switch (state) {
    case change_state::announced:
      return "announced";
    case change_state::unchanged:
      return "unchanged";
  }
  return "";
}

std::string address_of(const fleet_vm& vm) {
  return std::visit(
      overloaded{[](const backend_server& server) { return to_string(server.address); },
                 [](const entry_vm& entry) { return to_string(entry.agent); }},
      vm);
}

std::string role_of(const fleet_vm& vm) {
  return std::visit(overloaded{[](const backend_server& server) {
                                 return server.kind == backend_kind::service ? "service" : "engine";
                               },
                               [](const entry_vm&) { return "entry"; }},
                    vm);
}

// One VM as the two sources know it.
struct known_vm {
  std::optional<fleet_vm> announced;
  std::optional<fleet_vm> listed;
};

std::string state_of(const std::optional<fleet_vm>& vm) {
  if (!vm) {
    return "-";
  }
  return is_leaving(*vm) ? "leaving" : "live";
}

table describe(const std::map<std::pair<std::string, std::string>, known_vm>& known) {
  table shown{{"id", "incarnation", "role", "failure_domain", "address", "announced", "listed"},
              {}};
  for (const auto& [name, vm] : known) {
    const fleet_vm& any = vm.announced ? *vm.announced : *vm.listed;
    shown.rows.push_back({name.first, name.second, role_of(any), failure_domain_of(any),
                          address_of(any), state_of(vm.announced), state_of(vm.listed)});
  }
  return shown;
}

}  // namespace

command_result run(const vm_announce& what, session& remote) {
  const auto vms = read_vms(what.file);
  if (!vms) {
    return failed{vms.last_reason()};
  }
  table shown{{"id", "incarnation", "result"}, {}};
  for (const fleet_vm& vm : *vms) {
    announcement_change change(
        remote, failure_domain_of(vm), id_of(vm),
        [&vm](const std::optional<fleet_vm>& stored) { return decide_announce(stored, vm); });
    const auto outcome = change.run();
    if (!outcome) {
      command_failure why = outcome.last_reason();
      why.detail += "; announced before it: " + std::to_string(shown.rows.size());
      return failed{std::move(why)};
    }
    shown.rows.push_back({id_of(vm), incarnation_of(vm), std::string(word_for(*outcome))});
  }
  return report{std::move(shown), exit_code::done, ""};
}

namespace {

// Where a VM is announced, so that an operator need not name its failure domain.
result<std::string, command_failure> find_failure_domain(const vm_leave& what, session& remote) {
  const auto announced = call<read_result>(
      remote.shown(), "waiting for the platform", [&remote](platform::read_callback done) {
        remote.platform().read_prefix(std::string(announcement_prefix), std::move(done));
      });
  if (!announced) {
    return fail(exit_code::unreachable,
                what.id + ": the platform does not answer; nothing was written");
  }
  std::vector<std::string> found;
  for (const platform::key_value& stored : announced->found) {
    const auto vm = parse_stored(stored.value);
    if (vm && id_of(*vm) == what.id) {
      found.push_back(failure_domain_of(*vm));
    }
  }
  if (found.empty()) {
    return fail(exit_code::absent, what.id + ": not announced");
  }
  if (found.size() > 1) {
    return fail(exit_code::conflict, what.id + ": announced in more than one failure domain");
  }
  return found.front();
}

}  // namespace

command_result run(const vm_leave& what, session& remote) {
  const auto failure_domain = find_failure_domain(what, remote);
  if (!failure_domain) {
    return failed{failure_domain.last_reason()};
  }
  announcement_change change(remote, *failure_domain, what.id, decide_leave);
  const auto outcome = change.run();
  if (!outcome) {
    return failed{outcome.last_reason()};
  }
  table shown{{"id", "result"}, {{what.id, std::string(word_for(*outcome))}}};
  return report{std::move(shown), exit_code::done, ""};
}

command_result run(const vm_list& /*what*/, session& remote) {
  const auto announced = call<read_result>(
      remote.shown(), "waiting for the platform", [&remote](platform::read_callback done) {
        remote.platform().read_prefix(std::string(announcement_prefix), std::move(done));
      });
  const auto listed = call<list_result>(remote.shown(), "waiting for the platform",
                                        [&remote](platform::vm_list_callback done) {
                                          remote.platform().fetch_vm_list("", std::move(done));
                                        });
  if (!announced || !listed) {
    return fail(exit_code::unreachable, "the platform does not answer");
  }
  std::map<std::pair<std::string, std::string>, known_vm> known;
  for (const platform::key_value& stored : announced->found) {
    if (auto vm = parse_stored(stored.value)) {
      known[{id_of(*vm), incarnation_of(*vm)}].announced = std::move(vm);
    }
  }
  for (const fleet_vm& vm : *listed) {
    known[{id_of(vm), incarnation_of(vm)}].listed = vm;
  }
  return report{describe(known), exit_code::done, ""};
}

}  // namespace hawthornnotch::ctl
