#include "hawthornnotch/config/edit.h"

#include <utility>

#include "edit_engine.h"

namespace hawthornnotch {

std::unique_ptr<config_editor> config_editor::create(editor_settings settings,
                                                     platform::client& platform, const clock& time,
                                                     std::string incarnation) {
  auto held = std::make_shared<engine>(settings, platform, time, std::move(incarnation));
  return std::unique_ptr<config_editor>(new config_editor(std::move(held)));
}

config_editor::config_editor(std::shared_ptr<engine> held) : engine_(std::move(held)) {}

config_editor::~config_editor() = default;

void config_editor::submit(workspace_parameters next, std::uint64_t base_revision,
                           outcome_callback done) {
  if (auto reason = validate(next)) {
    done(edit_invalid{*reason});
    return;
  }
  next.revision = base_revision + 1;
  auto what = std::make_shared<edit_operation>();
  what->subject = {config_subject::kind::workspace, next.workspace};
  what->body = to_json(next);
  what->base_revision = base_revision;
  what->decided = std::move(done);
  engine_->start(std::move(what));
}

void config_editor::submit(const traffic_template& next, std::uint64_t base_revision,
                           outcome_callback done) {
  auto what = std::make_shared<edit_operation>();
  what->body = to_json(next);
  if (const auto checked = parse_template(what->body); !checked) {
    done(edit_invalid{checked.last_reason()});
    return;
  }
  what->subject = {config_subject::kind::traffic_template, next.name};
  what->base_revision = base_revision;
  what->decided = std::move(done);
  engine_->start(std::move(what));
}

void config_editor::find(std::string edit_id, find_callback done) {
  auto what = std::make_shared<edit_operation>();
  what->after_head = edit_operation::step::close_edit;
  what->edit_id = std::move(edit_id);
  what->found = std::move(done);
  engine_->start(std::move(what));
}

void config_editor::read(config_subject subject, read_callback done) {
  auto what = std::make_shared<edit_operation>();
  what->after_head = edit_operation::step::read_version;
  what->subject = std::move(subject);
  what->was_read = std::move(done);
  engine_->start(std::move(what));
}

void config_editor::tick() { engine_->tick(); }

}  // namespace hawthornnotch
