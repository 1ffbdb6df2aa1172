#include "hawthornnotch/config/edit.h"

#include <utility>

#include "edit_state_machine.h"

namespace hawthornnotch {

std::unique_ptr<config_editor> config_editor::create(editor_settings settings,
                                                     platform::client& platform, const clock& time,
                                                     std::string incarnation) {
  auto implementation =
      std::make_shared<state_machine>(settings, platform, time, std::move(incarnation));
  return std::unique_ptr<config_editor>(new config_editor(std::move(implementation)));
}

config_editor::config_editor(std::shared_ptr<state_machine> implementation)
    : state_machine_(std::move(implementation)) {}

config_editor::~config_editor() = default;

void config_editor::submit(workspace_parameters next, std::uint64_t base_revision,
                           outcome_callback done) {
  if (auto reason = validate(next)) {
    done(edit_invalid{*reason});
    return;
  }
  next.revision = base_revision + 1;
  auto op = std::make_shared<edit_operation>();
  op->subject = {config_subject::kind::workspace, next.workspace};
  op->body = to_json(next);
  op->base_revision = base_revision;
  op->submit_done = std::move(done);
  state_machine_->start(std::move(op));
}

void config_editor::submit(const traffic_template& next, std::uint64_t base_revision,
                           outcome_callback done) {
  auto op = std::make_shared<edit_operation>();
  op->body = to_json(next);
  if (const auto checked = parse_template(op->body); !checked) {
    done(edit_invalid{checked.last_reason()});
    return;
  }
  op->subject = {config_subject::kind::traffic_template, next.name};
  op->base_revision = base_revision;
  op->submit_done = std::move(done);
  state_machine_->start(std::move(op));
}

void config_editor::find(std::string edit_id, find_callback done) {
  auto op = std::make_shared<edit_operation>();
  op->step_after_head = edit_operation::step::reject_edit;
  op->edit_id = std::move(edit_id);
  op->find_done = std::move(done);
  state_machine_->start(std::move(op));
}

void config_editor::read(config_subject subject, read_callback done) {
  auto op = std::make_shared<edit_operation>();
  op->step_after_head = edit_operation::step::read_version;
  op->subject = std::move(subject);
  op->read_done = std::move(done);
  state_machine_->start(std::move(op));
}

void config_editor::tick() { state_machine_->tick(); }

}  // namespace hawthornnotch
