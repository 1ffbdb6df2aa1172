#include <chrono>
#include <thread>

#include "hawthornnotch/base/random.h"
#include "hawthornnotch/config/edit.h"
#include "hawthornnotch/ctl/in_force.h"
#include "hawthornnotch/ctl/run.h"
#include "hawthornnotch/ctl/text_file.h"

namespace hawthornnotch::ctl {
namespace {

using version_result = result<stored_version, read_failure>;

constexpr std::chrono::milliseconds poll_pause{200};
constexpr unsigned status_ok = 200;

failed<command_failure> fail(exit_code code, std::string detail) {
  return failed{command_failure{code, std::move(detail)}};
}

failed<command_failure> refuse(const std::string& file, const settings_failure& reason) {
  return fail(exit_code::bad_input, file + ": " + describe(reason));
}

// The editor with its clock, run while waiting.
class editing {
 public:
  explicit editing(session& remote)
      : remote_(remote),
        editor_(config_editor::create({}, remote.platform(), time_, make_incarnation())) {}

  version_result read(const config_subject& subject) {
    return wait<version_result>([&](auto done) { editor_->read(subject, std::move(done)); });
  }
  template <class Subject>
  edit_outcome submit(const Subject& next, std::uint64_t base) {
    return wait<edit_outcome>([&](auto done) { editor_->submit(next, base, std::move(done)); });
  }
  find_outcome find(const std::string& edit_id) {
    return wait<find_outcome>([&](auto done) { editor_->find(edit_id, std::move(done)); });
  }

 private:
  template <class T, class Start>
  T wait(Start start) {
    return call<T>(remote_.shown(), "waiting for the platform", std::move(start),
                   [this] { editor_->tick(); });
  }

  session& remote_;
  system_clock time_;
  std::unique_ptr<config_editor> editor_;
};

failed<command_failure> fail(const config_subject& subject, read_failure reason) {
  switch (reason) {
    case read_failure::absent:
      return fail(exit_code::absent, subject.name + ": there is none");
    case read_failure::unreachable:
      return fail(exit_code::unreachable, "the platform does not answer");
    case read_failure::malformed:
      return fail(exit_code::unreachable, subject.name + ": what is stored can't be read");
  }
  return fail(exit_code::unreachable, subject.name);
}

// A change as a file gives it.
struct change {
  config_subject subject;
  std::variant<workspace_parameters, traffic_template> next;
  std::optional<std::uint64_t> revision;
};

result<boost::json::object, command_failure> read_object(const std::string& file) {
  const auto text = read_text_file(file);
  if (!text) {
    return fail(exit_code::bad_input, file + ": can't be read");
  }
  auto object = parse_object(*text);
  if (!object) {
    return refuse(file, object.last_reason());
  }
  return std::move(*object);
}

result<traffic_template, command_failure> find_template(const std::string& name,
                                                        const std::string& template_file,
                                                        editing& edits) {
  boost::json::object body;
  std::string origin = template_file;
  if (template_file.empty()) {
    const config_subject subject{config_subject::kind::traffic_template, name};
    auto stored = edits.read(subject);
    if (!stored) {
      return fail(subject, stored.last_reason());
    }
    body = std::move(stored->body);
    origin = "stored template " + name;
  } else {
    auto object = read_object(template_file);
    if (!object) {
      return failed{object.last_reason()};
    }
    body = std::move(*object);
    body.erase("revision");
  }
  auto parsed = parse_template(body);
  if (!parsed) {
    return refuse(origin, parsed.last_reason());
  }
  return std::move(*parsed);
}

// The revision that a shown version carries; it is not part of what is set.
std::optional<std::uint64_t> take_revision(boost::json::object& object) {
  const boost::json::value* found = object.if_contains("revision");
  if (found == nullptr) {
    return {};
  }
  boost::system::error_code error;
  const auto revision = found->to_number<std::uint64_t>(error);
  object.erase("revision");
  return error ? std::nullopt : std::optional(revision);
}

// A shown version is whole and names `deleted`; anything else that names a template is expanded.
bool wants_template(const boost::json::object& object) {
  const boost::json::value* name = object.if_contains("template");
  return name != nullptr && name->is_string() && !name->as_string().empty() &&
         !object.contains("deleted");
}

result<change, command_failure> read_workspace(const std::string& file,
                                               const boost::json::object& object,
                                               const std::string& template_file, editing& edits) {
  if (!wants_template(object)) {
    auto parsed = parse_workspace(object);
    if (!parsed) {
      return refuse(file, parsed.last_reason());
    }
    const config_subject subject{config_subject::kind::workspace, parsed->workspace};
    return change{subject, std::move(*parsed), {}};
  }
  const std::string name(object.at("template").as_string());
  const auto from = find_template(name, template_file, edits);
  if (!from) {
    return failed{from.last_reason()};
  }
  auto expanded = expand(*from, object);
  if (!expanded) {
    return refuse(file, expanded.last_reason());
  }
  const config_subject subject{config_subject::kind::workspace, expanded->workspace};
  return change{subject, std::move(*expanded), {}};
}

result<change, command_failure> read_change(const std::string& file,
                                            const std::string& template_file, editing& edits) {
  auto object = read_object(file);
  if (!object) {
    return failed{object.last_reason()};
  }
  const auto revision = take_revision(*object);
  if (object->contains("body")) {
    auto parsed = parse_template(*object);
    if (!parsed) {
      return refuse(file, parsed.last_reason());
    }
    const config_subject subject{config_subject::kind::traffic_template, parsed->name};
    return change{subject, std::move(*parsed), revision};
  }
  auto read = read_workspace(file, *object, template_file, edits);
  if (read) {
    read->revision = revision;
  }
  return read;
}

result<std::uint64_t, command_failure> base_of(const config_set& what, const change& wanted,
                                               editing& edits) {
  if (what.base_revision) {
    return *what.base_revision;
  }
  if (wanted.revision) {
    return *wanted.revision;
  }
  const auto current = edits.read(wanted.subject);
  if (current) {
    return current->revision;
  }
  if (current.last_reason() == read_failure::absent) {
    return std::uint64_t{0};
  }
  return fail(wanted.subject, current.last_reason());
}

std::vector<agent_state> ask_agents(const std::string& workspace, session& remote) {
  std::vector<agent_state> states;
  std::vector<endpoint> agents;
  for (const auto& [name, processes] : remote.with().failure_domains) {
    for (const endpoint& agent : processes.agents) {
      states.push_back({name, agent, {}});
      agents.push_back(agent);
    }
  }
  const auto answers = remote.fetch_all(agents, "/dump");
  for (std::size_t index = 0; index < states.size(); ++index) {
    const auto& answer = answers[index];
    if (answer && answer->status == status_ok) {
      states[index].revision = revision_in_dump(answer->body, workspace);
    }
  }
  return states;
}

command_result wait_in_force(const std::string& workspace, std::uint64_t revision,
                             session& remote) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(remote.with().wait.ms);
  while (true) {
    const auto states = ask_agents(workspace, remote);
    const auto missing = not_reached(states, revision);
    if (missing.empty()) {
      return report{describe(states, revision), exit_code::done, ""};
    }
    if (std::chrono::steady_clock::now() >= end) {
      return report{describe(states, revision), exit_code::not_in_time,
                    "accepted at revision " + std::to_string(revision) +
                        ", not known to be in force at: " + names_of(missing)};
    }
    remote.shown().show("revision " + std::to_string(revision) + " of " + workspace +
                        " is not yet in force at " + names_of(missing));
    std::this_thread::sleep_for(poll_pause);
  }
}

// Without agents to ask, a wait would end at once and prove nothing.
std::optional<command_failure> refuse_wait(const config_set& what, const change& wanted,
                                           const settings& with) {
  if (!what.wait) {
    return {};
  }
  if (wanted.subject.what == config_subject::kind::traffic_template) {
    return command_failure{exit_code::bad_input,
                           "--wait: a template is in force where a workspace is set from it again"};
  }
  if (with.failure_domains.empty()) {
    return command_failure{exit_code::bad_input, "--wait: the settings name no failure domains"};
  }
  return {};
}

command_result accepted(const edit_accepted& how, const config_set& what, const change& wanted,
                        session& remote) {
  if (what.wait) {
    return wait_in_force(wanted.subject.name, how.revision, remote);
  }
  table shown{{"name", "revision", "edit_id", "result"},
              {{wanted.subject.name, std::to_string(how.revision), how.edit_id, "accepted"}}};
  return report{std::move(shown), exit_code::done, ""};
}

command_result conclude(const edit_outcome& outcome, const config_set& what, const change& wanted,
                        session& remote) {
  return std::visit(
      overloaded{
          [&](const edit_accepted& how) { return accepted(how, what, wanted, remote); },
          [&](const edit_conflict& how) -> command_result {
            return fail(exit_code::conflict, wanted.subject.name +
                                                 ": changed meanwhile; current revision " +
                                                 std::to_string(how.current_revision));
          },
          [&](const edit_invalid& how) -> command_result { return refuse(what.file, how.reason); },
          [](const edit_unknown& how) -> command_result {
            return fail(exit_code::unknown,
                        "edit " + how.edit_id +
                            " may have been accepted; ask again: hawthornnotchctl config find " +
                            how.edit_id);
          },
          [](const edit_unreachable&) -> command_result {
            return fail(exit_code::unreachable,
                        "the platform does not answer; nothing was changed");
          }},
      outcome);
}

}  // namespace

command_result run(const config_validate& what, session& remote) {
  editing edits(remote);
  auto wanted = read_change(what.file, what.template_file, edits);
  if (!wanted) {
    return failed{wanted.last_reason()};
  }
  return std::visit(
      [](const auto& next) -> command_result {
        return report{boost::json::value(to_json(next)), exit_code::done, "valid"};
      },
      wanted->next);
}

command_result run(const config_show& what, session& remote) {
  editing edits(remote);
  const config_subject subject{
      what.is_template ? config_subject::kind::traffic_template : config_subject::kind::workspace,
      what.name};
  auto stored = edits.read(subject);
  if (!stored) {
    return fail(subject, stored.last_reason());
  }
  stored->body["revision"] = stored->revision;
  return report{boost::json::value(std::move(stored->body)), exit_code::done, ""};
}

command_result run(const config_set& what, session& remote) {
  editing edits(remote);
  auto wanted = read_change(what.file, "", edits);
  if (!wanted) {
    return failed{wanted.last_reason()};
  }
  if (auto refused = refuse_wait(what, *wanted, remote.with())) {
    return failed{std::move(*refused)};
  }
  const auto base = base_of(what, *wanted, edits);
  if (!base) {
    return failed{base.last_reason()};
  }
  const edit_outcome outcome =
      std::visit([&](const auto& next) { return edits.submit(next, *base); }, wanted->next);
  return conclude(outcome, what, *wanted, remote);
}

command_result run(const config_status& what, session& remote) {
  editing edits(remote);
  const config_subject subject{config_subject::kind::workspace, what.workspace};
  const auto stored = edits.read(subject);
  if (!stored) {
    return fail(subject, stored.last_reason());
  }
  const auto states = ask_agents(what.workspace, remote);
  const bool everywhere = !states.empty() && not_reached(states, stored->revision).empty();
  return report{describe(states, stored->revision),
                everywhere ? exit_code::done : exit_code::not_in_time,
                "accepted revision: " + std::to_string(stored->revision)};
}

command_result run(const config_find& what, session& remote) {
  editing edits(remote);
  const find_outcome outcome = edits.find(what.edit_id);
  return std::visit(
      overloaded{[&](const edit_accepted& how) -> command_result {
                   table shown{{"edit_id", "revision", "result"},
                               {{how.edit_id, std::to_string(how.revision), "accepted"}}};
                   return report{std::move(shown), exit_code::done, ""};
                 },
                 [&](const edit_not_accepted&) -> command_result {
                   return fail(exit_code::conflict,
                               what.edit_id + ": not accepted, and it can't be any more");
                 },
                 [&](const edit_too_old&) -> command_result {
                   return fail(exit_code::unknown,
                               what.edit_id + ": too many edits came later to tell");
                 },
                 [](const edit_unreachable&) -> command_result {
                   return fail(exit_code::unreachable, "the platform does not answer");
                 }},
      outcome);
}

}  // namespace hawthornnotch::ctl
