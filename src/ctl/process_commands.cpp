#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <thread>

#include "hawthornnotch/config/json_reader.h"
#include "hawthornnotch/ctl/run.h"
#include "hawthornnotch/member/fleet_codec.h"

namespace hawthornnotch::ctl {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_found = 404;
constexpr std::chrono::milliseconds poll_interval{200};

failed<command_failure> fail(exit_code code, std::string detail) {
  return failed{command_failure{code, std::move(detail)}};
}

std::string describe(const net::net_failure& failure) {
  return std::string(net::to_string(failure.kind));
}

boost::json::value parse_or_text(const std::string& body) {
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(body, error);
  return error ? boost::json::value(body) : parsed;
}

// A router responds to any id; for an unknown one, it returns no decisions.
bool has_decisions(const boost::json::value& explained) {
  if (!explained.is_object()) {
    return false;
  }
  const boost::json::object& object = explained.as_object();
  return std::any_of(object.begin(), object.end(), [](const auto& member) {
    return member.value().is_array() && !member.value().as_array().empty();
  });
}

// Returns true once connecting to the process fails, false on timeout.
bool wait_for_exit(const endpoint& address, session& remote) {
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(remote.tool_settings().wait_timeout.ms);
  while (std::chrono::steady_clock::now() < deadline) {
    const auto response = remote.fetch(address, "GET", "/healthz");
    if (!response && response.last_reason().kind == net::net_failure_kind::connect) {
      return true;
    }
    remote.progress_line().show("waiting for " + to_text(address) + " to end its work");
    std::this_thread::sleep_for(poll_interval);
  }
  return false;
}

}  // namespace

command_result run(const process_dump& arguments, session& remote) {
  const auto response = remote.fetch(arguments.address, "GET", "/dump");
  if (!response) {
    return fail(exit_code::unreachable,
                to_text(arguments.address) + ": " + describe(response.last_reason()));
  }
  if (response->status != status_ok) {
    return fail(exit_code::absent,
                to_text(arguments.address) + " answered " + std::to_string(response->status));
  }
  return report{parse_or_text(response->body), exit_code::done, ""};
}

command_result run(const request_explain& arguments, session& remote) {
  std::vector<endpoint> routers;
  for (const auto& [name, processes] : remote.tool_settings().failure_domains) {
    routers.insert(routers.end(), processes.routers.begin(), processes.routers.end());
  }
  const auto responses = remote.fetch_all(routers, "/explain/" + arguments.request_id);
  boost::json::array found;
  std::string unanswered;
  for (std::size_t index = 0; index < routers.size(); ++index) {
    const auto& response = responses[index];
    if (!response || (response->status != status_ok && response->status != status_not_found)) {
      unanswered += (unanswered.empty() ? "" : ", ") + to_text(routers[index]);
      continue;
    }
    boost::json::value decisions = parse_or_text(response->body);
    if (response->status == status_ok && has_decisions(decisions)) {
      found.push_back(boost::json::object{{"router", to_text(routers[index])},
                                          {"decisions", std::move(decisions)}});
    }
  }
  if (found.empty() && !unanswered.empty()) {
    return fail(exit_code::unreachable,
                "no responding router knows the request; no usable response from: " + unanswered);
  }
  if (found.empty()) {
    return fail(exit_code::absent, "no router knows request " + arguments.request_id);
  }
  return report{std::move(found), exit_code::done,
                unanswered.empty() ? "" : "no usable response from: " + unanswered};
}

command_result run(const process_drain& arguments, session& remote) {
  const auto response = remote.fetch(arguments.address, "POST", "/drain");
  if (!response) {
    const bool may_have_been_sent = response.last_reason().request_may_have_been_sent;
    return fail(may_have_been_sent ? exit_code::unknown : exit_code::unreachable,
                to_text(arguments.address) + ": " + describe(response.last_reason()) +
                    (may_have_been_sent ? "; the same command may be repeated" : ""));
  }
  if (response->status != status_ok && response->status != status_accepted) {
    return fail(response->status == status_not_found ? exit_code::absent : exit_code::conflict,
                to_text(arguments.address) + " answered " + std::to_string(response->status));
  }
  table process_table{{"process", "state"}, {{to_text(arguments.address), "draining"}}};
  if (!arguments.wait) {
    return report{std::move(process_table), exit_code::done, ""};
  }
  if (!wait_for_exit(arguments.address, remote)) {
    return report{std::move(process_table), exit_code::not_in_time,
                  "the process is still draining"};
  }
  process_table.rows[0][1] = "stopped";
  return report{std::move(process_table), exit_code::done, ""};
}

}  // namespace hawthornnotch::ctl
