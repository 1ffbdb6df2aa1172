#include <unistd.h>

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include "hawthornnotch/ctl/run.h"
#include "hawthornnotch/net/http_server.h"
#include "standin_platform.h"
#include "test_case.h"

namespace {

using namespace hawthornnotch;
using namespace hawthornnotch::ctl;

// A file that is there as long as the object.
class given_file {
 public:
  explicit given_file(const std::string& text) { std::ofstream(path_) << text; }
  given_file(const given_file&) = delete;
  given_file& operator=(const given_file&) = delete;
  ~given_file() { std::remove(path_.c_str()); }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  static inline std::atomic<int> made{0};
  std::string path_ = "ctl_test_" + std::to_string(::getpid()) + "_" + std::to_string(made++);
};

// A process that answers each request with what a function makes of its target and its number.
class fake_process {
 public:
  using answerer = std::function<std::string(const std::string& target, int asked_before)>;

  explicit fake_process(answerer make_body) : make_body_(std::move(make_body)) {
    auto made =
        net::http_server::listen(context_.get_executor(), {"127.0.0.1", 0}, {},
                                 [this](net::http_request request, net::response_writer& writer) {
                                   return answer(std::move(request), writer);
                                 });
    server_ = std::move(*made);
    thread_ = std::thread([this] { context_.run(); });
  }
  fake_process(const fake_process&) = delete;
  fake_process& operator=(const fake_process&) = delete;
  ~fake_process() {
    context_.stop();
    thread_.join();
  }
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }
  [[nodiscard]] int asked() const { return asked_; }

 private:
  boost::asio::awaitable<void> answer(net::http_request request, net::response_writer& writer) {
    net::http_response made;
    made.body = make_body_(request.target, asked_++);
    [[maybe_unused]] const auto sent = co_await writer.send(std::move(made));
  }

  boost::asio::io_context context_;
  answerer make_body_;
  std::atomic<int> asked_{0};
  std::unique_ptr<net::http_server> server_;
  std::thread thread_;
};

// An agent's dump; its router applies what it has.
std::string dump_at(int revision) {
  const std::string revisions =
      R"("revisions":{"bayangol-office":)" + std::to_string(revision) + "}";
  return "{" + revisions + R"(,"router":{)" + revisions + "}}";
}

struct ended {
  exit_code code;
  std::string out;
  std::string err;
};

ended run_command(command what, const settings& with) {
  std::ostringstream out;
  std::ostringstream err;
  const exit_code code =
      run(command_line{std::move(what), "", output_format::table}, with, out, err, false);
  return {code, out.str(), err.str()};
}

settings settings_for(const test::standin_platform& platform) {
  settings with;
  with.platform = {platform.address()};
  with.wait = {500};
  return with;
}

constexpr auto workspace_text =
    R"({"workspace":"bayangol-office","default_class":"lookup",
        "classes":[{"name":"lookup","tier":0,"completion_ms":900}]})";
constexpr auto vm_text =
    R"({"kind":"backend_server","id":"b1","incarnation":"i1","failure_domain":"bayangol",
        "address":"127.0.0.1:81","serves":["m"]})";

TEST_THAT(set_command, waits_until_the_agents_report_the_revision) {
  auto platform = test::standin_platform::start();
  fake_process agent([](const std::string&, int asked_before) { return dump_at(asked_before); });
  settings with = settings_for(*platform);
  with.wait = {60'000};
  with.failure_domains["bayangol"].agents = {agent.address()};
  const given_file file(workspace_text);
  const ended set = run_command(config_set{file.path(), {}, true}, with);
  CPPUNIT_ASSERT_MESSAGE(set.err, set.code == exit_code::done);
  CPPUNIT_ASSERT_EQUAL(2, agent.asked());
}

TEST_THAT(set_command, names_the_failure_domain_that_is_not_reached_in_time) {
  auto platform = test::standin_platform::start();
  settings with = settings_for(*platform);
  with.failure_domains["khan-uul"].agents = {test::closed_address()};
  const given_file file(workspace_text);
  const ended set = run_command(config_set{file.path(), {}, true}, with);
  CPPUNIT_ASSERT(set.code == exit_code::not_in_time);
  CPPUNIT_ASSERT(set.err.find("khan-uul") != std::string::npos);
}

TEST_THAT(set_command, refuses_to_wait_where_it_could_ask_nobody) {
  auto platform = test::standin_platform::start();
  const given_file file(workspace_text);
  const ended set = run_command(config_set{file.path(), {}, true}, settings_for(*platform));
  CPPUNIT_ASSERT(set.code == exit_code::bad_input);
  const ended show = run_command(config_show{"bayangol-office", false}, settings_for(*platform));
  CPPUNIT_ASSERT(show.code == exit_code::absent);
}

TEST_THAT(set_command, conflicts_for_the_later_of_two_from_the_same_revision) {
  auto platform = test::standin_platform::start();
  const settings with = settings_for(*platform);
  const given_file file(workspace_text);
  CPPUNIT_ASSERT(run_command(config_set{file.path(), 0, false}, with).code == exit_code::done);
  const ended second = run_command(config_set{file.path(), 0, false}, with);
  CPPUNIT_ASSERT(second.code == exit_code::conflict);
  CPPUNIT_ASSERT(second.err.find("current revision 1") != std::string::npos);
}

TEST_THAT(set_command, takes_back_what_show_printed) {
  auto platform = test::standin_platform::start();
  const settings with = settings_for(*platform);
  const given_file file(workspace_text);
  CPPUNIT_ASSERT(run_command(config_set{file.path(), {}, false}, with).code == exit_code::done);
  const given_file printed(run_command(config_show{"bayangol-office", false}, with).out);
  CPPUNIT_ASSERT(run_command(config_set{printed.path(), {}, false}, with).code == exit_code::done);
  const ended stale = run_command(config_set{printed.path(), {}, false}, with);
  CPPUNIT_ASSERT(stale.code == exit_code::conflict);
}

TEST_THAT(announce_command, is_whole_after_a_lost_answer) {
  auto platform = test::standin_platform::start();
  platform->fault(R"({"kind":"lose_answer","count":1,"path":"/v3/kv/txn"})");
  const given_file file(vm_text);
  const ended announce = run_command(vm_announce{file.path()}, settings_for(*platform));
  CPPUNIT_ASSERT_MESSAGE(announce.err, announce.code == exit_code::done);
  CPPUNIT_ASSERT(announce.out.find("announced") != std::string::npos);
}

TEST_THAT(announce_command, is_unknown_while_every_answer_is_lost) {
  auto platform = test::standin_platform::start();
  platform->fault(R"({"kind":"lose_request","path":"/v3/kv/txn"})");
  const given_file file(vm_text);
  const ended announce = run_command(vm_announce{file.path()}, settings_for(*platform));
  CPPUNIT_ASSERT(announce.code == exit_code::unknown);
}

TEST_THAT(vm_commands, show_a_leaving_vm_and_keep_it_leaving) {
  auto platform = test::standin_platform::start();
  const settings with = settings_for(*platform);
  const given_file file(vm_text);
  CPPUNIT_ASSERT(run_command(vm_announce{file.path()}, with).code == exit_code::done);
  CPPUNIT_ASSERT(run_command(vm_leave{"b1"}, with).code == exit_code::done);
  CPPUNIT_ASSERT(run_command(vm_announce{file.path()}, with).code == exit_code::conflict);
  const ended list = run_command(vm_list{}, with);
  CPPUNIT_ASSERT(list.code == exit_code::done);
  CPPUNIT_ASSERT(list.out.find("leaving") != std::string::npos);
  CPPUNIT_ASSERT(run_command(vm_leave{"b2"}, with).code == exit_code::absent);
}

TEST_THAT(explain_command, finds_the_router_that_decided_about_the_request) {
  fake_process router([](const std::string& target, int) -> std::string {
    return target == "/explain/r-1" ? R"({"steps":[{"event":"queued"}],"scheduler":[]})"
                                    : R"({"steps":[],"scheduler":[]})";
  });
  settings with;
  with.platform = {test::closed_address()};
  with.failure_domains["khan-uul"].routers = {router.address()};
  const ended known = run_command(request_explain{"r-1"}, with);
  CPPUNIT_ASSERT(known.code == exit_code::done);
  CPPUNIT_ASSERT(known.out.find("queued") != std::string::npos);
  CPPUNIT_ASSERT(run_command(request_explain{"r-2"}, with).code == exit_code::absent);
}

TEST_THAT(every_command, says_unreachable_where_nobody_listens) {
  settings with;
  with.platform = {test::closed_address()};
  with.failure_domains["khan-uul"].routers = {test::closed_address()};
  const command commands[] = {vm_list{}, vm_leave{"b1"}, process_dump{test::closed_address()},
                              request_explain{"r1"}, process_drain{test::closed_address(), false}};
  for (const command& what : commands) {
    CPPUNIT_ASSERT(run_command(what, with).code == exit_code::unreachable);
  }
}

}  // namespace
