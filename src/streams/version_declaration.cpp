#include "hawthornnotch/streams/version_declaration.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::streams {

namespace {

/// A process that follows more rules of earlier ones, as after restarts in a row, declares none.
constexpr std::size_t max_earlier_alternatives = 8;

// Keeps each of the shares once.
void remove_repeated(std::vector<version_shares>& alternatives) {
  std::vector<version_shares> kept;
  for (version_shares& each : alternatives) {
    if (std::find(kept.begin(), kept.end(), each) == kept.end()) {
      kept.push_back(std::move(each));
    }
  }
  alternatives = std::move(kept);
}

}  // namespace

void version_declaration::on_predecessor(std::optional<vm_declaration> declared) {
  predecessor_ = std::move(declared);
  if (!possible_ && predecessor_) {
    possible_ = {*predecessor_};
  }
}

void version_declaration::on_no_predecessor() {
  had_predecessor_ = false;
  predecessor_ = vm_declaration{};
}

void version_declaration::on_sending(const vm_declaration& sent) {
  if (possible_ && (possible_->empty() || possible_->back() != sent)) {
    std::erase(*possible_, sent);
    possible_->push_back(sent);
  }
}

void version_declaration::on_written(vm_declaration written, time_point composed_at) {
  possible_ = {written};
  recorded_ = std::move(written);
  composed_at_ = composed_at;
  if (demanded_at_ && *demanded_at_ < composed_at) {
    demanded_at_.reset();
  }
}

void version_declaration::on_foreign_record(const vm_declaration& found) { on_sending(found); }

void version_declaration::withdraw() {
  recorded_ = {};
  if (possible_) {
    possible_ = {vm_declaration{}};
  }
}

void version_declaration::let_expire() {
  recorded_ = {};
  on_sending(vm_declaration{});
}

bool version_declaration::is_leased(time_point now) const {
  return now - leased_at_ < declaration_renewal * 2;
}

bool version_declaration::covers(std::string_view service, time_point now) const {
  return is_leased(now) && recorded_.mixed.contains(service);
}

bool version_declaration::names_streams_until(std::string_view service, time_point began_at,
                                              time_point now) const {
  return covers(service, now) && composed_at_ > began_at;
}

begin_permission version_declaration::permission_by(const vm_declaration& held,
                                                    const new_stream& stream,
                                                    std::string_view version) {
  bool fits = false;
  if (held.may_declare(stream.service)) {
    const begin_rule rule = held.rule_of(stream.service);
    fits = rule.is_open() || rule.versions_for(stream.attempt).contains(std::string(version));
  } else if (!stream.base) {
    return begin_permission::unknown;
  } else {
    fits = *stream.base == version;
  }
  return fits ? begin_permission::allowed : begin_permission::needs_record;
}

begin_permission version_declaration::permission(const new_stream& stream, std::string_view version,
                                                 time_point now) const {
  if (!possible_) {
    return begin_permission::unknown;
  }
  std::vector<vm_declaration> held = *possible_;
  if (!is_leased(now)) {
    held.emplace_back();
  }
  begin_permission least = begin_permission::allowed;
  for (const vm_declaration& each : held) {
    const begin_permission by_this = permission_by(each, stream, version);
    if (by_this == begin_permission::unknown) {
      return by_this;
    }
    least = by_this == begin_permission::allowed ? least : by_this;
  }
  return least;
}

std::optional<std::string> version_declaration::preferred_version(const new_stream& stream,
                                                                  time_point now) const {
  if (!possible_) {
    return std::nullopt;
  }
  // The best comes last.
  std::vector<std::string> candidates;
  for (const vm_declaration& held : *possible_) {
    const begin_rule rule = held.rule_of(stream.service);
    for (const version_shares& shares : rule.alternatives) {
      candidates.push_back(shares.version_for(stream.attempt));
    }
  }
  const bool may_be_undeclared =
      !is_leased(now) || std::any_of(possible_->begin(), possible_->end(), [&](const auto& held) {
        return !held.may_declare(stream.service);
      });
  if (may_be_undeclared && stream.base) {
    candidates.insert(candidates.begin(), *stream.base);
  }
  const auto allowed =
      std::find_if(candidates.rbegin(), candidates.rend(), [&](const std::string& each) {
        return permission(stream, each, now) == begin_permission::allowed;
      });
  return allowed == candidates.rend() ? std::nullopt : std::optional(*allowed);
}

std::optional<begin_rule> version_declaration::predecessor_rule(
    std::string_view service, const std::optional<std::string>& base) const {
  if (!had_predecessor_) {
    return std::nullopt;
  }
  if (!predecessor_) {
    return begin_rule{};
  }
  if (predecessor_->may_declare(service)) {
    return predecessor_->rule_of(service);
  }
  begin_rule rule;
  if (base) {
    rule.alternatives.push_back(version_shares::only(*base));
  }
  return rule;
}

std::optional<version_shares> version_declaration::declared_shares(std::string_view service) const {
  const begin_rule last = possible_ ? possible_->back().rule_of(service) : begin_rule{};
  return last.is_open() ? std::nullopt : std::optional(last.alternatives.back());
}

begin_rule version_declaration::next_rule(const rule_inputs& inputs) const {
  begin_rule rule;
  if (auto before = predecessor_rule(inputs.service, inputs.base)) {
    remove_repeated(before->alternatives);
    if (before->is_open() || before->alternatives.size() > max_earlier_alternatives) {
      rule.base = inputs.base;
      return rule;
    }
    rule = std::move(*before);
  }
  rule.base = inputs.base;
  if (!rule.is_open() && inputs.records_are_quick) {
    return rule;
  }
  const bool unconfirmed = possible_ && possible_->size() > 1;
  const auto declared = unconfirmed ? declared_shares(inputs.service) : std::nullopt;
  rule.alternatives.push_back(declared.value_or(inputs.shares));
  return rule;
}

bool version_declaration::knows_own_streams(std::string_view service) const {
  return predecessor_ && !predecessor_->may_declare(service);
}

}  // namespace hawthornnotch::streams
