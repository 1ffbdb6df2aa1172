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

constexpr std::chrono::milliseconds poll_interval{200};
constexpr unsigned status_ok = 200;

failed<command_failure> fail(exit_code code, std::string detail) {
  return failed{command_failure{code, std::move(detail)}};
}

failed<command_failure> refuse(const std::string& file, const settings_failure& reason) {
  return fail(exit_code::bad_input, file + ": " + describe(reason));
}

// Blocking wrapper of `config_editor` that ticks it while waiting.
class blocking_editor {
 public:
  explicit blocking_editor(session& remote)
      : remote_(remote),
        editor_(config_editor::create({}, remote.platform(), clock_, make_incarnation())) {}

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
    return call<T>(remote_.progress_line(), "waiting for the platform", std::move(start),
                   [this] { editor_->tick(); });
  }

  session& remote_;
  system_clock clock_;
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

// A parsed workspace or template file. `revision` is the base revision that the file carries.
struct config_change {
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
                                                        blocking_editor& editor) {
  boost::json::object body;
  std::string origin = template_file;
  if (template_file.empty()) {
    const config_subject subject{config_subject::kind::traffic_template, name};
    auto stored = editor.read(subject);
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

// Removes `revision`, which `config show` adds, from the object and returns its value.
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

// The output of `config show` is already expanded and contains `deleted`. Any other object that
// names a template has to be expanded.
bool names_template(const boost::json::object& object) {
  const boost::json::value* name = object.if_contains("template");
  return name != nullptr && name->is_string() && !name->as_string().empty() &&
         !object.contains("deleted");
}

result<config_change, command_failure> read_workspace(const std::string& file,
                                                      const boost::json::object& object,
                                                      const std::string& template_file,
                                                      blocking_editor& editor) {
  if (!names_template(object)) {
    auto parsed = parse_workspace(object);
    if (!parsed) {
      return refuse(file, parsed.last_reason());
    }
    const config_subject subject{config_subject::kind::workspace, parsed->workspace};
    return config_change{subject, std::move(*parsed), {}};
  }
  const std::string name(object.at("template").as_string());
  const auto from = find_template(name, template_file, editor);
  if (!from) {
    return failed{from.last_reason()};
  }
  auto expanded = expand(*from, object);
  if (!expanded) {
    return refuse(file, expanded.last_reason());
  }
  const config_subject subject{config_subject::kind::workspace, expanded->workspace};
  return config_change{subject, std::move(*expanded), {}};
}

result<config_change, command_failure> read_change(const std::string& file,
                                                   const std::string& template_file,
                                                   blocking_editor& editor) {
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
    return config_change{subject, std::move(*parsed), revision};
  }
  auto read = read_workspace(file, *object, template_file, editor);
  if (read) {
    read->revision = revision;
  }
  return read;
}

result<std::uint64_t, command_failure> resolve_base_revision(const config_set& arguments,
                                                             const config_change& change,
                                                             blocking_editor& editor) {
  if (arguments.base_revision) {
    return *arguments.base_revision;
  }
  if (change.revision) {
    return *change.revision;
  }
  const auto current = editor.read(change.subject);
  if (current) {
    return current->revision;
  }
  if (current.last_reason() == read_failure::absent) {
    return std::uint64_t{0};
  }
  return fail(change.subject, current.last_reason());
}

std::vector<agent_state> query_agents(const std::string& workspace, session& remote) {
  std::vector<agent_state> states;
  std::vector<endpoint> agents;
  for (const auto& [name, processes] : remote.tool_settings().failure_domains) {
    for (const endpoint& agent : processes.agents) {
      states.push_back({name, agent, {}});
      agents.push_back(agent);
    }
  }
  const auto responses = remote.fetch_all(agents, "/dump");
  for (std::size_t index = 0; index < states.size(); ++index) {
    const auto& response = responses[index];
    if (response && response->status == status_ok) {
      states[index].revision = revision_in_dump(response->body, workspace);
    }
  }
  return states;
}

command_result wait_until_in_force(const std::string& workspace, std::uint64_t revision,
                                   session& remote) {
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(remote.tool_settings().wait_timeout.ms);
  while (true) {
    const auto states = query_agents(workspace, remote);
    const auto lagging = lagging_agents(states, revision);
    if (lagging.empty()) {
      return report{describe(states, revision), exit_code::done, ""};
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return report{describe(states, revision), exit_code::not_in_time,
                    "accepted at revision " + std::to_string(revision) +
                        ", not known to be in force at: " + format_agents(lagging)};
    }
    remote.progress_line().show("revision " + std::to_string(revision) + " of " + workspace +
                                " is not yet in force at " + format_agents(lagging));
    std::this_thread::sleep_for(poll_interval);
  }
}

// Without agents to query, a wait would succeed at once without confirming anything.
std::optional<command_failure> refuse_wait(const config_set& arguments, const config_change& change,
                                           const settings& tool_settings) {
  if (!arguments.wait) {
    return {};
  }
  if (change.subject.what == config_subject::kind::traffic_template) {
    return command_failure{
        exit_code::bad_input,
        "--wait: not supported for templates; a template takes effect when a workspace is "
        "next set from it"};
  }
  if (tool_settings.failure_domains.empty()) {
    return command_failure{exit_code::bad_input, "--wait: the settings name no failure domains"};
  }
  return {};
}

command_result report_accepted(const edit_accepted& edit, const config_set& arguments,
                               const config_change& change, session& remote) {
  if (arguments.wait) {
    return wait_until_in_force(change.subject.name, edit.revision, remote);
  }
  table result_table{
      {"name", "revision", "edit_id", "result"},
      {{change.subject.name, std::to_string(edit.revision), edit.edit_id, "accepted"}}};
  return report{std::move(result_table), exit_code::done, ""};
}

command_result report_outcome(const edit_outcome& outcome, const config_set& arguments,
                              const config_change& change, session& remote) {
  return std::visit(
      overloaded{[&](const edit_accepted& edit) {
                   return report_accepted(edit, arguments, change, remote);
                 },
                 [&](const edit_conflict& edit) -> command_result {
                   return fail(exit_code::conflict, change.subject.name +
                                                        ": changed meanwhile; current revision " +
                                                        std::to_string(edit.current_revision));
                 },
                 [&](const edit_invalid& edit) -> command_result {
                   return refuse(arguments.file, edit.reason);
                 },
                 [](const edit_unknown& edit) -> command_result {
                   return fail(
                       exit_code::unknown,
                       "edit " + edit.edit_id +
                           " may have been accepted; ask again: hawthornnotchctl config find " +
                           edit.edit_id);
                 },
                 [](const edit_unreachable&) -> command_result {
                   return fail(exit_code::unreachable,
                               "the platform does not answer; nothing was changed");
                 }},
      outcome);
}

}  // namespace

command_result run(const config_validate& arguments, session& remote) {
  blocking_editor editor(remote);
  auto change = read_change(arguments.file, arguments.template_file, editor);
  if (!change) {
    return failed{change.last_reason()};
  }
  return std::visit(
      [](const auto& next) -> command_result {
        return report{boost::json::value(to_json(next)), exit_code::done, "valid"};
      },
      change->next);
}

command_result run(const config_show& arguments, session& remote) {
  blocking_editor editor(remote);
  const config_subject subject{arguments.is_template ? config_subject::kind::traffic_template
                                                     : config_subject::kind::workspace,
                               arguments.name};
  auto stored = editor.read(subject);
  if (!stored) {
    return fail(subject, stored.last_reason());
  }
  stored->body["revision"] = stored->revision;
  return report{boost::json::value(std::move(stored->body)), exit_code::done, ""};
}

command_result run(const config_set& arguments, session& remote) {
  blocking_editor editor(remote);
  auto change = read_change(arguments.file, "", editor);
  if (!change) {
    return failed{change.last_reason()};
  }
  if (auto refused = refuse_wait(arguments, *change, remote.tool_settings())) {
    return failed{std::move(*refused)};
  }
  const auto base = resolve_base_revision(arguments, *change, editor);
  if (!base) {
    return failed{base.last_reason()};
  }
  const edit_outcome outcome =
      std::visit([&](const auto& next) { return editor.submit(next, *base); }, change->next);
  return report_outcome(outcome, arguments, *change, remote);
}

command_result run(const config_status& arguments, session& remote) {
  blocking_editor editor(remote);
  const config_subject subject{config_subject::kind::workspace, arguments.workspace};
  const auto stored = editor.read(subject);
  if (!stored) {
    return fail(subject, stored.last_reason());
  }
  const auto states = query_agents(arguments.workspace, remote);
  const bool everywhere = !states.empty() && lagging_agents(states, stored->revision).empty();
  return report{describe(states, stored->revision),
                everywhere ? exit_code::done : exit_code::not_in_time,
                "accepted revision: " + std::to_string(stored->revision)};
}

command_result run(const config_find& arguments, session& remote) {
  blocking_editor editor(remote);
  const find_outcome outcome = editor.find(arguments.edit_id);
  return std::visit(
      overloaded{[&](const edit_accepted& edit) -> command_result {
                   table result_table{{"edit_id", "revision", "result"},
                                      {{edit.edit_id, std::to_string(edit.revision), "accepted"}}};
                   return report{std::move(result_table), exit_code::done, ""};
                 },
                 [&](const edit_not_accepted&) -> command_result {
                   return fail(exit_code::conflict,
                               arguments.edit_id + ": not accepted, and it can't be any more");
                 },
                 [&](const edit_too_old&) -> command_result {
                   return fail(exit_code::unknown,
                               arguments.edit_id +
                                   ": outcome unknown; too many later edits have been accepted");
                 },
                 [](const edit_unreachable&) -> command_result {
                   return fail(exit_code::unreachable, "the platform does not answer");
                 }},
      outcome);
}

}  // namespace hawthornnotch::ctl
