#include "hawthornnotch/config/edit.h"

#include <optional>

#include "stepped_platform.h"
#include "test_case.h"

namespace hawthornnotch {
namespace {

using test::stepped_platform;

struct tool {
  stepped_clock time;
  stepped_platform store{time};
  stepped_platform::port& port = store.connect();
  std::unique_ptr<config_editor> editor = config_editor::create({}, port, time, "e");

  template <class Outcome>
  Outcome wait(const std::function<void(std::function<void(Outcome)>)>& call) {
    std::optional<Outcome> seen;
    call([&](Outcome how) { seen = std::move(how); });
    constexpr int steps = 1'200;
    for (int step = 0; step < steps && !seen; ++step) {
      time.advance(duration{10});
      store.run_due();
      editor->tick();
    }
    CPPUNIT_ASSERT(seen.has_value());
    return *seen;
  }
  edit_outcome submit(const workspace_parameters& next, std::uint64_t base) {
    return wait<edit_outcome>([&](auto done) { editor->submit(next, base, done); });
  }
  find_outcome find(const std::string& id) {
    return wait<find_outcome>([&](auto done) { editor->find(id, done); });
  }
};

workspace_parameters minimal(const std::string& name) {
  workspace_parameters made;
  made.workspace = name;
  made.default_class = "c";
  made.classes.resize(1);
  made.classes.front().name = "c";
  return made;
}

TEST_THAT(config_editor, gives_a_stale_base_the_current_revision) {
  tool by;
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(by.submit(minimal("a"), 0)));
  const edit_outcome again = by.submit(minimal("a"), 0);
  CPPUNIT_ASSERT(std::holds_alternative<edit_conflict>(again));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, std::get<edit_conflict>(again).current_revision);
}

TEST_THAT(config_editor, writes_nothing_for_invalid_parameters) {
  tool by;
  workspace_parameters wrong = minimal("a");
  wrong.default_class = "none";
  CPPUNIT_ASSERT(std::holds_alternative<edit_invalid>(by.submit(wrong, 0)));
  CPPUNIT_ASSERT(by.store.content().empty());
}

TEST_THAT(config_editor, never_calls_an_edit_refused_that_it_has_forgotten) {
  tool by;
  const edit_outcome first = by.submit(minimal("a"), 0);
  const std::string id = std::get<edit_accepted>(first).edit_id;
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(by.find(id)));
  for (std::uint64_t base = 1; base <= config_head::decided_edits_kept; ++base) {
    by.submit(minimal("a"), base);
  }
  CPPUNIT_ASSERT(std::holds_alternative<edit_too_old>(by.find(id)));
}

TEST_THAT(config_editor, versions_templates_apart_from_workspaces) {
  tool by;
  traffic_template made;
  made.name = "a";
  const auto how = by.wait<edit_outcome>([&](auto done) { by.editor->submit(made, 0, done); });
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(how));
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(by.submit(minimal("a"), 0)));
  const auto read = by.wait<result<stored_version, read_failure>>([&](auto done) {
    by.editor->read({config_subject::kind::traffic_template, "a"}, done);
  });
  CPPUNIT_ASSERT(read.has_value());
  CPPUNIT_ASSERT(parse_template(read->body).has_value());
}

}  // namespace
}  // namespace hawthornnotch
