#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <thread>

#include "hawthornnotch/ctl/run.h"
#include "hawthornnotch/member/fleet_codec.h"

namespace hawthornnotch::ctl {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_found = 404;
constexpr std::chrono::milliseconds poll_pause{200};

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

// A router answers for any id; one that it does not know has no decisions.
bool has_decisions(const boost::json::value& explained) {
  if (!explained.is_object()) {
    return false;
  }
  const boost::json::object& object = explained.as_object();
  return std::any_of(object.begin(), object.end(), [](const auto& member) {
    return member.value().is_array() && !member.value().as_array().empty();
  });
}

// True once the process no longer answers.
bool wait_for_exit(const endpoint& address, session& remote) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(remote.with().wait.ms);
  while (std::chrono::steady_clock::now() < end) {
    const auto answer = remote.fetch(address, "GET", "/healthz");
    if (!answer && answer.last_reason().kind == net::net_failure_kind::connect) {
      return true;
    }
    remote.shown().show("waiting for " + to_string(address) + " to end its work");
    std::this_thread::sleep_for(poll_pause);
  }
  return false;
}

}  // namespace

command_result run(const process_dump& what, session& remote) {
  const auto answer = remote.fetch(what.address, "GET", "/dump");
  if (!answer) {
    return fail(exit_code::unreachable,
                to_string(what.address) + ": " + describe(answer.last_reason()));
  }
  if (answer->status != status_ok) {
    return fail(exit_code::absent,
                to_string(what.address) + " answered " + std::to_string(answer->status));
  }
  return report{parse_or_text(answer->body), exit_code::done, ""};
}

command_result run(const request_explain& what, session& remote) {
  std::vector<endpoint> routers;
  for (const auto& [name, processes] : remote.with().failure_domains) {
    routers.insert(routers.end(), processes.routers.begin(), processes.routers.end());
  }
  const auto answers = remote.fetch_all(routers, "/explain/" + what.request_id);
  boost::json::array found;
  std::string silent;
  for (std::size_t index = 0; index < routers.size(); ++index) {
    const auto& answer = answers[index];
    if (!answer || (answer->status != status_ok && answer->status != status_not_found)) {
      silent += (silent.empty() ? "" : ", ") + to_string(routers[index]);
      continue;
    }
    boost::json::value decisions = parse_or_text(answer->body);
    if (answer->status == status_ok && has_decisions(decisions)) {
      found.push_back(boost::json::object{{"router", to_string(routers[index])},
                                          {"decisions", std::move(decisions)}});
    }
  }
  if (found.empty() && !silent.empty()) {
    return fail(exit_code::unreachable, "no router that answers knows it; not asked: " + silent);
  }
  if (found.empty()) {
    return fail(exit_code::absent, "no router knows request " + what.request_id);
  }
  return report{std::move(found), exit_code::done, silent.empty() ? "" : "not asked: " + silent};
}

command_result run(const process_drain& what, session& remote) {
  const auto answer = remote.fetch(what.address, "POST", "/drain");
  if (!answer) {
    const bool sent = answer.last_reason().request_may_have_been_sent;
    return fail(sent ? exit_code::unknown : exit_code::unreachable,
                to_string(what.address) + ": " + describe(answer.last_reason()) +
                    (sent ? "; the same command may be repeated" : ""));
  }
  if (answer->status != status_ok && answer->status != status_accepted) {
    return fail(answer->status == status_not_found ? exit_code::absent : exit_code::conflict,
                to_string(what.address) + " answered " + std::to_string(answer->status));
  }
  table shown{{"process", "state"}, {{to_string(what.address), "draining"}}};
  if (!what.wait) {
    return report{std::move(shown), exit_code::done, ""};
  }
  if (!wait_for_exit(what.address, remote)) {
    return report{std::move(shown), exit_code::not_in_time, "it still ends its work"};
  }
  shown.rows[0][1] = "stopped";
  return report{std::move(shown), exit_code::done, ""};
}

}  // namespace hawthornnotch::ctl
