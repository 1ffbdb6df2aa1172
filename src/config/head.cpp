#include "hawthornnotch/config/head.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/error_code.hpp>

#include "hawthornnotch/config/json_reader.h"

namespace hawthornnotch {

namespace {

namespace json = boost::json;

constexpr std::string_view workspace_prefix = "ws/";
constexpr std::string_view template_prefix = "template/";
constexpr integer_range count_range{0, INT64_MAX};

std::string subject_path(const config_subject& subject) {
  switch (subject.what) {
    case config_subject::kind::workspace:
      return std::string(workspace_prefix) + subject.name;
    case config_subject::kind::traffic_template:
      return std::string(template_prefix) + subject.name;
  }
  return subject.name;
}

std::optional<config_subject> parse_subject(std::string_view path) {
  if (path.starts_with(workspace_prefix)) {
    return config_subject{config_subject::kind::workspace,
                          std::string(path.substr(workspace_prefix.size()))};
  }
  if (path.starts_with(template_prefix)) {
    return config_subject{config_subject::kind::traffic_template,
                          std::string(path.substr(template_prefix.size()))};
  }
  return std::nullopt;
}

bool read_subjects(const json::object& from, config_head& into) {
  for (const auto& member : from) {
    const auto subject = parse_subject(member.key());
    const auto* object = member.value().if_object();
    if (!subject || object == nullptr) {
      return false;
    }
    json_reader reader(*object, std::string(member.key()));
    config_pointer pointer;
    pointer.revision = static_cast<std::uint64_t>(reader.integer("revision", count_range));
    pointer.key = reader.text("key");
    if (reader.finish()) {
      return false;
    }
    into.subjects[*subject] = std::move(pointer);
  }
  return true;
}

bool read_recent(const std::vector<const json::object*>& from, config_head& into) {
  for (const json::object* object : from) {
    json_reader reader(*object, "recent");
    edit_record edit;
    edit.id = reader.text("id");
    edit.accepted = reader.boolean("accepted");
    edit.revision = static_cast<std::uint64_t>(reader.integer("revision", count_range));
    if (reader.finish()) {
      return false;
    }
    into.recent.push_back(std::move(edit));
  }
  return true;
}

}  // namespace

void config_head::record_edit(edit_record edit) {
  ++edit_count;
  recent.push_back(std::move(edit));
  if (recent.size() > max_recent_edits) {
    recent.pop_front();
  }
}

const edit_record* config_head::find(std::string_view edit_id) const {
  const auto found = std::find_if(recent.begin(), recent.end(),
                                  [&](const edit_record& edit) { return edit.id == edit_id; });
  return found == recent.end() ? nullptr : &*found;
}

config_pointer config_head::pointer(const config_subject& subject) const {
  const auto found = subjects.find(subject);
  return found == subjects.end() ? config_pointer{} : found->second;
}

std::string to_text(const config_head& head) {
  json::object subjects;
  for (const auto& [subject, pointer] : head.subjects) {
    subjects[subject_path(subject)] =
        json::object{{"revision", pointer.revision}, {"key", pointer.key}};
  }
  json::array recent;
  for (const edit_record& edit : head.recent) {
    recent.emplace_back(
        json::object{{"id", edit.id}, {"accepted", edit.accepted}, {"revision", edit.revision}});
  }
  return json::serialize(json::object{{"subjects", std::move(subjects)},
                                      {"edit_count", head.edit_count},
                                      {"recent", std::move(recent)}});
}

std::optional<config_head> parse_head(std::string_view text) {
  boost::system::error_code failure;
  const json::value value = json::parse(json::string_view(text), failure);
  if (failure || !value.is_object()) {
    return std::nullopt;
  }
  json_reader reader(value.get_object(), "head");
  config_head into;
  into.edit_count = static_cast<std::uint64_t>(reader.integer("edit_count", count_range));
  const json::object* subjects = reader.object("subjects", true);
  const auto recent = reader.objects("recent", true);
  if (reader.finish() || !read_subjects(*subjects, into) || !read_recent(recent, into)) {
    return std::nullopt;
  }
  return into;
}

std::string version_key(const config_subject& subject, std::uint64_t revision,
                        std::string_view edit_id) {
  return "hn/config/" + subject_path(subject) + "/" + std::to_string(revision) + "-" +
         std::string(edit_id);
}

}  // namespace hawthornnotch
