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

// Bounds retries after conflicts with other operators and after lost responses.
constexpr int max_attempts = 5;

failed<command_failure> fail(exit_code code, std::string detail) {
  return failed{command_failure{code, std::move(detail)}};
}

std::optional<fleet_vm> parse_stored(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(text, error);
  return error ? std::nullopt : parse_fleet_vm(parsed);
}

// Announcement in the store, and the revision that a write is conditional on. `vm` is empty if the
// key is absent or its value is malformed.
struct stored_announcement {
  std::optional<fleet_vm> vm;
  std::int64_t mod_revision = 0;
};

enum class change_result : std::uint8_t { announced, unchanged };

// Writes one announcement by compare-and-swap. It fails with `conflict` if other writers win every
// attempt, `unreachable` if nothing was written, and `unknown` if a write may have taken effect.
//
// An attempt whose response was lost is safe to repeat: if it took effect, the next read sees it;
// otherwise both carry the same condition, of which at most one can succeed.
class announcement_change {
 public:
  using decide_function = std::function<announcement_decision(const std::optional<fleet_vm>&)>;

  announcement_change(session& remote, const std::string& failure_domain, std::string id,
                      decide_function decide)
      : remote_(remote),
        key_(announcement_key(failure_domain, id)),
        id_(std::move(id)),
        decide_(std::move(decide)) {}

  result<change_result, command_failure> run() {
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      const auto stored = read();
      if (!stored) {
        return unavailable_failure();
      }
      const announcement_decision decision = decide_(stored->vm);
      if (const auto* next = std::get_if<announcement_write>(&decision)) {
        const auto written = write(*next, stored->mod_revision);
        if (written && written->applied) {
          return change_result::announced;
        }
        if (!written && !written.last_reason().may_have_taken_effect) {
          return unavailable_failure();
        }
        may_have_written_ = may_have_written_ || !written;
        continue;
      }
      return conclude(decision);
    }
    return may_have_written_
               ? unavailable_failure()
               : fail(exit_code::conflict, id_ + ": repeated conflicts with other writers");
  }

 private:
  result<change_result, command_failure> conclude(const announcement_decision& decision) const {
    using change_outcome = result<change_result, command_failure>;
    return std::visit(
        overloaded{
            [](const announcement_write&) -> change_outcome { return change_result::announced; },
            [this](const announcement_unchanged&) -> change_outcome {
              return may_have_written_ ? change_result::announced : change_result::unchanged;
            },
            [this](const announcement_already_leaving&) -> change_outcome {
              return fail(
                  exit_code::conflict,
                  id_ + ": this incarnation is leaving; announce a new incarnation instead");
            },
            [this](const announcement_absent&) -> change_outcome {
              return fail(exit_code::absent, id_ + ": not announced");
            }},
        decision);
  }

  failed<command_failure> unavailable_failure() const {
    if (may_have_written_) {
      return fail(exit_code::unknown,
                  id_ + ": the platform's answer was lost; repeat the command, which is safe");
    }
    return fail(exit_code::unreachable,
                id_ + ": the platform does not answer; nothing was written");
  }

  std::optional<stored_announcement> read() {
    const auto outcome = call<read_result>(
        remote_.progress_line(), "waiting for the platform",
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
    platform::transaction request;
    if (base == 0) {
      request.conditions.emplace_back(platform::must_be_absent{key_});
    } else {
      request.conditions.emplace_back(platform::must_be_unchanged{key_, base});
    }
    request.effects.emplace_back(platform::put{key_, next.text, 0});
    return call<transaction_result>(remote_.progress_line(), "waiting for the platform",
                                    [&](platform::transaction_callback done) {
                                      remote_.platform().transact(std::move(request),
                                                                  std::move(done));
                                    });
  }

  session& remote_;
  std::string key_;
  std::string id_;
  decide_function decide_;
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

std::string_view result_text(change_result state) {
  switch (state) {
    case change_result::announced:
      return "announced";
    case change_result::unchanged:
      return "unchanged";
  }
  return "";
}

std::string address_of(const fleet_vm& vm) {
  return std::visit(overloaded{[](const backend_server& server) { return to_text(server.address); },
                               [](const entry_vm& entry) { return to_text(entry.agent); }},
                    vm);
}

std::string role_of(const fleet_vm& vm) {
  return std::visit(overloaded{[](const backend_server& server) {
                                 return server.kind == backend_kind::service ? "service" : "engine";
                               },
                               [](const entry_vm&) { return "entry"; }},
                    vm);
}

// One incarnation of a VM as announced in the store and as in the platform's VM list.
struct vm_record {
  std::optional<fleet_vm> announced;
  std::optional<fleet_vm> listed;
};

std::string state_of(const std::optional<fleet_vm>& vm) {
  if (!vm) {
    return "-";
  }
  return is_leaving(*vm) ? "leaving" : "live";
}

table describe(const std::map<std::pair<std::string, std::string>, vm_record>& records) {
  table vm_table{{"id", "incarnation", "role", "failure_domain", "address", "announced", "listed"},
                 {}};
  for (const auto& [name, vm] : records) {
    const fleet_vm& any = vm.announced ? *vm.announced : *vm.listed;
    vm_table.rows.push_back({name.first, name.second, role_of(any), failure_domain_of(any),
                             address_of(any), state_of(vm.announced), state_of(vm.listed)});
  }
  return vm_table;
}

}  // namespace

command_result run(const vm_announce& arguments, session& remote) {
  const auto vms = read_vms(arguments.file);
  if (!vms) {
    return failed{vms.last_reason()};
  }
  table vm_table{{"id", "incarnation", "result"}, {}};
  for (const fleet_vm& vm : *vms) {
    announcement_change change(
        remote, failure_domain_of(vm), id_of(vm),
        [&vm](const std::optional<fleet_vm>& stored) { return decide_announce(stored, vm); });
    const auto outcome = change.run();
    if (!outcome) {
      command_failure why = outcome.last_reason();
      why.detail += "; VMs processed before it: " + std::to_string(vm_table.rows.size());
      return failed{std::move(why)};
    }
    vm_table.rows.push_back({id_of(vm), incarnation_of(vm), std::string(result_text(*outcome))});
  }
  return report{std::move(vm_table), exit_code::done, ""};
}

namespace {

// Finds the failure domain by VM id, so that operators need not name it.
result<std::string, command_failure> find_failure_domain(const vm_leave& arguments,
                                                         session& remote) {
  const auto announced = call<read_result>(
      remote.progress_line(), "waiting for the platform", [&remote](platform::read_callback done) {
        remote.platform().read_prefix(std::string(announcement_prefix), std::move(done));
      });
  if (!announced) {
    return fail(exit_code::unreachable,
                arguments.id + ": the platform does not answer; nothing was written");
  }
  std::vector<std::string> found;
  for (const platform::key_value& stored : announced->found) {
    const auto vm = parse_stored(stored.value);
    if (vm && id_of(*vm) == arguments.id) {
      found.push_back(failure_domain_of(*vm));
    }
  }
  if (found.empty()) {
    return fail(exit_code::absent, arguments.id + ": not announced");
  }
  if (found.size() > 1) {
    return fail(exit_code::conflict, arguments.id + ": announced in more than one failure domain");
  }
  return found.front();
}

}  // namespace

command_result run(const vm_leave& arguments, session& remote) {
  const auto failure_domain = find_failure_domain(arguments, remote);
  if (!failure_domain) {
    return failed{failure_domain.last_reason()};
  }
  announcement_change change(remote, *failure_domain, arguments.id, decide_leave);
  const auto outcome = change.run();
  if (!outcome) {
    return failed{outcome.last_reason()};
  }
  table vm_table{{"id", "result"}, {{arguments.id, std::string(result_text(*outcome))}}};
  return report{std::move(vm_table), exit_code::done, ""};
}

command_result run(const vm_list& /*arguments*/, session& remote) {
  const auto announced = call<read_result>(
      remote.progress_line(), "waiting for the platform", [&remote](platform::read_callback done) {
        remote.platform().read_prefix(std::string(announcement_prefix), std::move(done));
      });
  const auto listed = call<list_result>(remote.progress_line(), "waiting for the platform",
                                        [&remote](platform::vm_list_callback done) {
                                          remote.platform().fetch_vm_list("", std::move(done));
                                        });
  if (!announced || !listed) {
    return fail(exit_code::unreachable, "the platform does not answer");
  }
  std::map<std::pair<std::string, std::string>, vm_record> records;
  for (const platform::key_value& stored : announced->found) {
    if (auto vm = parse_stored(stored.value)) {
      records[{id_of(*vm), incarnation_of(*vm)}].announced = std::move(vm);
    }
  }
  for (const fleet_vm& vm : *listed) {
    records[{id_of(vm), incarnation_of(vm)}].listed = vm;
  }
  return report{describe(records), exit_code::done, ""};
}

}  // namespace hawthornnotch::ctl
