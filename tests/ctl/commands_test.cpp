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

// A file that is removed by the destructor.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text) { std::ofstream(path_) << text; }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  ~temporary_file() { std::remove(path_.c_str()); }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  static inline std::atomic<int> created{0};
  std::string path_ = "ctl_test_" + std::to_string(::getpid()) + "_" + std::to_string(created++);
};

// An HTTP server whose response bodies come from a function of the target and the number of
// previous requests.
class fake_process {
 public:
  using body_function =
      std::function<std::string(const std::string& target, int previous_requests)>;

  explicit fake_process(body_function make_body) : make_body_(std::move(make_body)) {
    auto created =
        net::http_server::listen(context_.get_executor(), {"127.0.0.1", 0}, {},
                                 [this](net::http_request request, net::response_writer& writer) {
                                   return respond(std::move(request), writer);
                                 });
    server_ = std::move(*created);
    thread_ = std::thread([this] { context_.run(); });
  }
  fake_process(const fake_process&) = delete;
  fake_process& operator=(const fake_process&) = delete;
  ~fake_process() {
    context_.stop();
    thread_.join();
  }
  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_->port()}; }
  [[nodiscard]] int request_count() const { return request_count_; }

 private:
  boost::asio::awaitable<void> respond(net::http_request request, net::response_writer& writer) {
    net::http_response response;
    response.body = make_body_(request.target, request_count_++);
    [[maybe_unused]] const auto sent = co_await writer.send(std::move(response));
  }

  boost::asio::io_context context_;
  body_function make_body_;
  std::atomic<int> request_count_{0};
  std::unique_ptr<net::http_server> server_;
  std::thread thread_;
};

// Dump of an agent whose router has applied the same revision.
std::string dump_at(int revision) {
  const std::string revisions =
      R"("revisions":{"bayangol-office":)" + std::to_string(revision) + "}";
  return "{" + revisions + R"(,"router":{)" + revisions + "}}";
}

struct command_outcome {
  exit_code code;
  std::string out;
  std::string err;
};

command_outcome run_command(command requested, const settings& tool_settings) {
  std::ostringstream out;
  std::ostringstream err;
  const exit_code code = run(command_line{std::move(requested), "", output_format::table},
                             tool_settings, out, err, false);
  return {code, out.str(), err.str()};
}

settings settings_for(const test::standin_platform& platform) {
  settings tool_settings;
  tool_settings.platform = {platform.address()};
  tool_settings.wait_timeout = {500};
  return tool_settings;
}

constexpr auto workspace_text =
    R"({"workspace":"bayangol-office","default_class":"lookup",
        "classes":[{"name":"lookup","tier":0,"completion_ms":900}]})";
constexpr auto vm_text =
    R"({"kind":"backend_server","id":"b1","incarnation":"i1","failure_domain":"bayangol",
        "address":"127.0.0.1:81","serves":["m"]})";

TEST_THAT(set_command, waits_until_the_agents_report_the_revision) {
  auto platform = test::standin_platform::start();
  fake_process agent(
      [](const std::string&, int previous_requests) { return dump_at(previous_requests); });
  settings tool_settings = settings_for(*platform);
  tool_settings.wait_timeout = {60'000};
  tool_settings.failure_domains["bayangol"].agents = {agent.address()};
  const temporary_file file(workspace_text);
  const command_outcome set = run_command(config_set{file.path(), {}, true}, tool_settings);
  CPPUNIT_ASSERT_MESSAGE(set.err, set.code == exit_code::done);
  CPPUNIT_ASSERT_EQUAL(2, agent.request_count());
}

TEST_THAT(set_command, names_the_failure_domain_that_is_not_reached_in_time) {
  auto platform = test::standin_platform::start();
  settings tool_settings = settings_for(*platform);
  tool_settings.failure_domains["khan-uul"].agents = {test::closed_address()};
  const temporary_file file(workspace_text);
  const command_outcome set = run_command(config_set{file.path(), {}, true}, tool_settings);
  CPPUNIT_ASSERT(set.code == exit_code::not_in_time);
  CPPUNIT_ASSERT(set.err.find("khan-uul") != std::string::npos);
}

TEST_THAT(set_command, refuses_to_wait_without_agents_to_query) {
  auto platform = test::standin_platform::start();
  const temporary_file file(workspace_text);
  const command_outcome set =
      run_command(config_set{file.path(), {}, true}, settings_for(*platform));
  CPPUNIT_ASSERT(set.code == exit_code::bad_input);
  const command_outcome show =
      run_command(config_show{"bayangol-office", false}, settings_for(*platform));
  CPPUNIT_ASSERT(show.code == exit_code::absent);
}

TEST_THAT(set_command, rejects_the_second_of_two_edits_with_the_same_base_revision) {
  auto platform = test::standin_platform::start();
  const settings tool_settings = settings_for(*platform);
  const temporary_file file(workspace_text);
  CPPUNIT_ASSERT(run_command(config_set{file.path(), 0, false}, tool_settings).code ==
                 exit_code::done);
  const command_outcome second = run_command(config_set{file.path(), 0, false}, tool_settings);
  CPPUNIT_ASSERT(second.code == exit_code::conflict);
  CPPUNIT_ASSERT(second.err.find("current revision 1") != std::string::npos);
}

TEST_THAT(set_command, accepts_the_output_of_show) {
  auto platform = test::standin_platform::start();
  const settings tool_settings = settings_for(*platform);
  const temporary_file file(workspace_text);
  CPPUNIT_ASSERT(run_command(config_set{file.path(), {}, false}, tool_settings).code ==
                 exit_code::done);
  const temporary_file printed(
      run_command(config_show{"bayangol-office", false}, tool_settings).out);
  CPPUNIT_ASSERT(run_command(config_set{printed.path(), {}, false}, tool_settings).code ==
                 exit_code::done);
  const command_outcome stale = run_command(config_set{printed.path(), {}, false}, tool_settings);
  CPPUNIT_ASSERT(stale.code == exit_code::conflict);
}

TEST_THAT(announce_command, succeeds_after_a_lost_response) {
  auto platform = test::standin_platform::start();
  platform->fault(R"({"kind":"lose_answer","count":1,"path":"/v3/kv/txn"})");
  const temporary_file file(vm_text);
  const command_outcome announce = run_command(vm_announce{file.path()}, settings_for(*platform));
  CPPUNIT_ASSERT_MESSAGE(announce.err, announce.code == exit_code::done);
  CPPUNIT_ASSERT(announce.out.find("announced") != std::string::npos);
}

TEST_THAT(announce_command, is_unknown_if_every_response_is_lost) {
  auto platform = test::standin_platform::start();
  platform->fault(R"({"kind":"lose_request","path":"/v3/kv/txn"})");
  const temporary_file file(vm_text);
  const command_outcome announce = run_command(vm_announce{file.path()}, settings_for(*platform));
  CPPUNIT_ASSERT(announce.code == exit_code::unknown);
}

TEST_THAT(vm_commands, show_a_leaving_vm_and_refuse_to_bring_it_back) {
  auto platform = test::standin_platform::start();
  const settings tool_settings = settings_for(*platform);
  const temporary_file file(vm_text);
  CPPUNIT_ASSERT(run_command(vm_announce{file.path()}, tool_settings).code == exit_code::done);
  CPPUNIT_ASSERT(run_command(vm_leave{"b1"}, tool_settings).code == exit_code::done);
  CPPUNIT_ASSERT(run_command(vm_announce{file.path()}, tool_settings).code == exit_code::conflict);
  const command_outcome list = run_command(vm_list{}, tool_settings);
  CPPUNIT_ASSERT(list.code == exit_code::done);
  CPPUNIT_ASSERT(list.out.find("leaving") != std::string::npos);
  CPPUNIT_ASSERT(run_command(vm_leave{"b2"}, tool_settings).code == exit_code::absent);
}

TEST_THAT(explain_command, finds_the_router_that_decided_about_the_request) {
  fake_process router([](const std::string& target, int) -> std::string {
    return target == "/explain/r-1" ? R"({"steps":[{"event":"queued"}],"scheduler":[]})"
                                    : R"({"steps":[],"scheduler":[]})";
  });
  settings tool_settings;
  tool_settings.platform = {test::closed_address()};
  tool_settings.failure_domains["khan-uul"].routers = {router.address()};
  const command_outcome known = run_command(request_explain{"r-1"}, tool_settings);
  CPPUNIT_ASSERT(known.code == exit_code::done);
  CPPUNIT_ASSERT(known.out.find("queued") != std::string::npos);
  CPPUNIT_ASSERT(run_command(request_explain{"r-2"}, tool_settings).code == exit_code::absent);
}

TEST_THAT(every_command, reports_unreachable_if_nothing_listens) {
  settings tool_settings;
  tool_settings.platform = {test::closed_address()};
  tool_settings.failure_domains["khan-uul"].routers = {test::closed_address()};
  const command commands[] = {vm_list{}, vm_leave{"b1"}, process_dump{test::closed_address()},
                              request_explain{"r1"}, process_drain{test::closed_address(), false}};
  for (const command& requested : commands) {
    CPPUNIT_ASSERT(run_command(requested, tool_settings).code == exit_code::unreachable);
  }
}

}  // namespace
