#include "hawthornnotch/ctl/command.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <map>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch::ctl {

const char* const usage = R"(Drives hawthornnotch: workspaces, VMs, processes.

Usage:
  hawthornnotchctl [options] config validate <file> [--template-file FILE]
  hawthornnotchctl [options] config show <name> [--template]
  hawthornnotchctl [options] config set <file> [--base-revision N] [--wait]
  hawthornnotchctl [options] config status <name>
  hawthornnotchctl [options] config find <edit-id>
  hawthornnotchctl [options] vm announce <file>
  hawthornnotchctl [options] vm leave <id>
  hawthornnotchctl [options] vm list
  hawthornnotchctl [options] dump <address>
  hawthornnotchctl [options] explain <request-id>
  hawthornnotchctl [options] drain <address> [--wait]
  hawthornnotchctl (-h | --help)

Options:
  --settings FILE       Settings of this tool [default: hawthornnotchctl.json].
  --output FORMAT       table or json [default: table].
  --template            Show a template, not a workspace.
  --template-file FILE  Expand with this template, not with the stored one.
  --base-revision N     The revision that the change was made from.
  --wait                Return once the change is in force or the process has ended.
  -h --help             Show this.

Exit codes: 0 done; 2 refused input; 3 conflict; 4 unreachable; 5 unknown outcome;
6 not in force or finished in time; 7 absent.  See docs/CTL.md.
)";

namespace {

using arguments_by_name = std::map<std::string, docopt::value>;
using parsed_command = result<command, command_failure>;

failed<command_failure> refuse(std::string detail) {
  return failed{command_failure{exit_code::bad_input, std::move(detail)}};
}

bool flag(const arguments_by_name& arguments, const std::string& name) {
  const auto found = arguments.find(name);
  return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

std::string text(const arguments_by_name& arguments, const std::string& name) {
  const auto found = arguments.find(name);
  return found != arguments.end() && found->second.isString() ? found->second.asString() : "";
}

// The id is inserted into a URL path without escaping.
bool is_request_id(std::string_view id) {
  constexpr std::string_view allowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
  return !id.empty() && id.find_first_not_of(allowed) == std::string_view::npos;
}

parsed_command parse_set(const arguments_by_name& arguments) {
  config_set set{text(arguments, "<file>"), {}, flag(arguments, "--wait")};
  const std::string base = text(arguments, "--base-revision");
  if (!base.empty()) {
    std::uint64_t revision = 0;
    const auto [end, error] = std::from_chars(base.data(), base.data() + base.size(), revision);
    if (error != std::errc() || end != base.data() + base.size()) {
      return refuse("--base-revision: '" + base + "' is not a whole number");
    }
    set.base_revision = revision;
  }
  return command(std::move(set));
}

parsed_command parse_config(const arguments_by_name& arguments) {
  if (flag(arguments, "validate")) {
    return command(config_validate{text(arguments, "<file>"), text(arguments, "--template-file")});
  }
  if (flag(arguments, "show")) {
    return command(config_show{text(arguments, "<name>"), flag(arguments, "--template")});
  }
  if (flag(arguments, "set")) {
    return parse_set(arguments);
  }
  if (flag(arguments, "status")) {
    return command(config_status{text(arguments, "<name>")});
  }
  return command(config_find{text(arguments, "<edit-id>")});
}

parsed_command parse_vm(const arguments_by_name& arguments) {
  if (flag(arguments, "announce")) {
    return command(vm_announce{text(arguments, "<file>")});
  }
  if (flag(arguments, "leave")) {
    return command(vm_leave{text(arguments, "<id>")});
  }
  return command(vm_list{});
}

parsed_command parse_process(const arguments_by_name& arguments) {
  if (flag(arguments, "explain")) {
    const std::string id = text(arguments, "<request-id>");
    if (!is_request_id(id)) {
      return refuse("'" + id + "' is not a request id");
    }
    return command(request_explain{id});
  }
  const std::string address = text(arguments, "<address>");
  const auto parsed = parse_endpoint(address);
  if (!parsed) {
    return refuse("'" + address + "' is not of the form address:port");
  }
  if (flag(arguments, "dump")) {
    return command(process_dump{*parsed});
  }
  return command(process_drain{*parsed, flag(arguments, "--wait")});
}

parsed_command parse_command(const arguments_by_name& arguments) {
  if (flag(arguments, "config")) {
    return parse_config(arguments);
  }
  if (flag(arguments, "vm")) {
    return parse_vm(arguments);
  }
  return parse_process(arguments);
}

}  // namespace

result<std::variant<command_line, help_requested>, command_failure> parse_command_line(
    const std::vector<std::string>& arguments) {
  arguments_by_name parsed;
  try {
    parsed = docopt::docopt_parse(usage, arguments);
  } catch (const docopt::DocoptExitHelp&) {
    return std::variant<command_line, help_requested>(help_requested{});
  } catch (const std::exception&) {
    return refuse("no such command; see hawthornnotchctl --help");
  }
  const std::string format = text(parsed, "--output");
  if (format != "table" && format != "json") {
    return refuse("--output: '" + format + "' is neither table nor json");
  }
  auto requested = parse_command(parsed);
  if (!requested) {
    return failed{requested.last_reason()};
  }
  return std::variant<command_line, help_requested>(
      command_line{std::move(*requested), text(parsed, "--settings"),
                   format == "json" ? output_format::json : output_format::table});
}

}  // namespace hawthornnotch::ctl
