#include "hawthornnotch/config/edit.h"

#include <optional>

#include "stepped_platform.h"
#include "test_case.h"

namespace hawthornnotch {
namespace {

using test::stepped_platform;

struct editor_fixture {
  stepped_clock time;
  stepped_platform store{time};
  stepped_platform::port& port = store.connect();
  std::unique_ptr<config_editor> editor = config_editor::create({}, port, time, "e");

  template <class Outcome>
  Outcome wait(const std::function<void(std::function<void(Outcome)>)>& call) {
    std::optional<Outcome> seen;
    call([&](Outcome outcome) { seen = std::move(outcome); });
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
  workspace_parameters next;
  next.workspace = name;
  next.default_class = "c";
  next.classes.resize(1);
  next.classes.front().name = "c";
  return next;
}

TEST_THAT(config_editor, gives_a_stale_base_the_current_revision) {
  editor_fixture fixture;
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(fixture.submit(minimal("a"), 0)));
  const edit_outcome again = fixture.submit(minimal("a"), 0);
  CPPUNIT_ASSERT(std::holds_alternative<edit_conflict>(again));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, std::get<edit_conflict>(again).current_revision);
}

TEST_THAT(config_editor, writes_nothing_for_invalid_parameters) {
  editor_fixture fixture;
  workspace_parameters wrong = minimal("a");
  wrong.default_class = "none";
  CPPUNIT_ASSERT(std::holds_alternative<edit_invalid>(fixture.submit(wrong, 0)));
  CPPUNIT_ASSERT(fixture.store.content().empty());
}

TEST_THAT(config_editor, answers_too_old_for_an_edit_that_left_the_record) {
  editor_fixture fixture;
  const edit_outcome first = fixture.submit(minimal("a"), 0);
  const std::string id = std::get<edit_accepted>(first).edit_id;
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(fixture.find(id)));
  for (std::uint64_t base = 1; base <= config_head::max_recent_edits; ++base) {
    fixture.submit(minimal("a"), base);
  }
  CPPUNIT_ASSERT(std::holds_alternative<edit_too_old>(fixture.find(id)));
}

TEST_THAT(config_editor, versions_templates_apart_from_workspaces) {
  editor_fixture fixture;
  traffic_template next;
  next.name = "a";
  const auto outcome =
      fixture.wait<edit_outcome>([&](auto done) { fixture.editor->submit(next, 0, done); });
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(outcome));
  CPPUNIT_ASSERT(std::holds_alternative<edit_accepted>(fixture.submit(minimal("a"), 0)));
  const auto read = fixture.wait<result<stored_version, read_failure>>([&](auto done) {
    fixture.editor->read({config_subject::kind::traffic_template, "a"}, done);
  });
  CPPUNIT_ASSERT(read.has_value());
  CPPUNIT_ASSERT(parse_template(read->body).has_value());
}

}  // namespace
}  // namespace hawthornnotch
