#include "hawthornnotch/member/peer_table.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::member {

peer_table::peer_table(entry_vm self, peer_table_settings settings, fact_log& facts,
                       load_index& loads, const clock& time)
    : settings_(settings), facts_(facts), loads_(loads), time_(time) {
  beat_ = static_cast<std::uint64_t>(time.wall().ms);
  self_ = {std::move(self), beat_};
  changed(self_.vm.id, {});
}

void peer_table::merge(const vm_record& incoming, std::string_view origin) {
  const std::string& id = incoming.vm.id;
  if (id == self_.vm.id) {
    // A list or an operator may know that this VM leaves; any other word on it is outdated.
    if (incoming.vm.leaving && incoming.vm.incarnation == self_.vm.incarnation &&
        (incoming.start_heartbeat == 0 || incoming.start_heartbeat == self_.start_heartbeat)) {
      leave();
    }
    return;
  }
  const auto found = peers_.find(id);
  if (found == peers_.end()) {
    if (peers_.size() < settings_.vms && incoming.vm.failure_domain == self_.vm.failure_domain) {
      peers_[id] = {incoming, incoming.start_heartbeat, time_.now(), 0, false, {}};
      changed(id, origin);
    }
    return;
  }
  state& known = found->second;
  const bool same_vm = incoming.vm.incarnation == known.record.vm.incarnation;
  if (incoming.start_heartbeat > known.record.start_heartbeat) {
    const bool leaving = incoming.vm.leaving ||
                         (same_vm && known.record.start_heartbeat == 0 && known.record.vm.leaving);
    known.record = incoming;
    known.record.vm.leaving = leaving;
    known.heartbeat_counter = std::max(known.heartbeat_counter, incoming.start_heartbeat);
    known.last_heard = time_.now();
    known.gone = false;
    changed(id, origin);
    return;
  }
  const bool same_start =
      incoming.start_heartbeat == known.record.start_heartbeat || incoming.start_heartbeat == 0;
  if (same_vm && same_start && incoming.vm.leaving && !known.record.vm.leaving) {
    known.record.vm.leaving = true;
    changed(id, origin);
  } else if (!same_vm && known.record.start_heartbeat == 0 && incoming.start_heartbeat == 0 &&
             origin.empty()) {
    known.record = incoming;
    changed(id, origin);
  }
}

void peer_table::hear(const heartbeat& sign, std::string_view origin) {
  const auto found = peers_.find(sign.vm);
  if (found == peers_.end() || sign.heartbeat_counter <= found->second.heartbeat_counter) {
    return;
  }
  state& known = found->second;
  known.heartbeat_counter = sign.heartbeat_counter;
  known.last_heard = time_.now();
  loads_.touch({load_kind::heartbeat, sign.vm}, origin);
  for (const auto& [by, heartbeat_counter] : known.suspected_by) {
    facts_.forget({fact_kind::suspicion, sign.vm, by});
  }
  known.suspected_by.clear();
  if (known.gone) {
    known.gone = false;
    changed(sign.vm, origin);
  }
}

void peer_table::merge(const suspicion& word, std::string_view origin) {
  if (word.vm == self_.vm.id) {
    // The next round's heartbeat is higher and refutes it.
    return;
  }
  const auto found = peers_.find(word.vm);
  if (found == peers_.end() || word.heartbeat < found->second.heartbeat_counter) {
    return;
  }
  auto& at = found->second.suspected_by[word.by];
  if (word.heartbeat > at) {
    at = word.heartbeat;
    facts_.touch({fact_kind::suspicion, word.vm, word.by}, origin);
  }
}

void peer_table::exchange_failed(const std::string& vm) {
  const auto found = peers_.find(vm);
  if (found != peers_.end()) {
    ++found->second.missed;
  }
}

void peer_table::exchange_succeeded(const std::string& vm) {
  const auto found = peers_.find(vm);
  if (found != peers_.end()) {
    found->second.missed = 0;
  }
}

void peer_table::begin_round() {
  ++beat_;
  loads_.touch({load_kind::heartbeat, self_.vm.id}, {});
  std::vector<std::string> expired;
  for (auto& [id, known] : peers_) {
    if (suspected_here(known)) {
      suspect(known);
    }
    if (!known.gone && confirmed(known)) {
      known.gone = true;
      changed(id, {});
    }
    if (silent(known) && time_.now() - known.last_heard > settings_.retention) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    forget(id);
  }
}

void peer_table::leave() {
  if (!self_.vm.leaving) {
    self_.vm.leaving = true;
    changed(self_.vm.id, {});
  }
}

void peer_table::rejoin() {
  ++beat_;
  self_.start_heartbeat = beat_;
  self_.vm.leaving = false;
  changed(self_.vm.id, {});
}

bool peer_table::silent(const state& known) const {
  return time_.now() - known.last_heard > settings_.suspect_after;
}

bool peer_table::suspected_here(const state& known) const {
  return known.record.start_heartbeat > 0 && silent(known) &&
         known.missed >= settings_.missed_exchanges;
}

// How many agents, this one included, could confirm a suspicion.
std::size_t peer_table::witnesses() const {
  std::size_t count = 1;
  for (const auto& [id, known] : peers_) {
    const bool heard = known.record.start_heartbeat > 0 && !known.gone && !silent(known);
    if (heard && !known.record.vm.leaving) {
      ++count;
    }
  }
  return count;
}

bool peer_table::confirmed(const state& known) const {
  if (known.record.start_heartbeat == 0 || !silent(known)) {
    return false;
  }
  std::size_t agreeing = 0;
  for (const auto& [by, heartbeat_counter] : known.suspected_by) {
    if (heartbeat_counter >= known.heartbeat_counter) {
      ++agreeing;
    }
  }
  if (agreeing >= settings_.confirmations) {
    return true;
  }
  return suspected_here(known) && witnesses() == 1 &&
         time_.now() - known.last_heard > settings_.lone_confirm_after;
}

void peer_table::suspect(state& known) {
  auto& at = known.suspected_by[self_.vm.id];
  if (at < known.heartbeat_counter) {
    at = known.heartbeat_counter;
    facts_.touch({fact_kind::suspicion, known.record.vm.id, self_.vm.id}, {});
  }
}

void peer_table::forget(const std::string& vm) {
  for (const auto& [by, heartbeat_counter] : peers_.at(vm).suspected_by) {
    facts_.forget({fact_kind::suspicion, vm, by});
  }
  facts_.forget({fact_kind::entry_vm, vm, {}});
  loads_.forget({load_kind::heartbeat, vm});
  peers_.erase(vm);
  ++version_;
}

void peer_table::changed(const std::string& vm, std::string_view origin) {
  facts_.touch({fact_kind::entry_vm, vm, {}}, origin);
  ++version_;
}

vm_standing peer_table::status_of(const std::string& vm) const {
  if (vm == self_.vm.id) {
    return self_.vm.leaving ? vm_standing::leaving : vm_standing::alive;
  }
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return vm_standing::contact;
  }
  const state& known = found->second;
  if (known.record.vm.leaving) {
    return vm_standing::leaving;
  }
  if (known.record.start_heartbeat == 0) {
    return vm_standing::contact;
  }
  if (known.gone) {
    return vm_standing::gone;
  }
  return suspected_here(known) ? vm_standing::suspected : vm_standing::alive;
}

const vm_record* peer_table::find(const std::string& vm) const {
  if (vm == self_.vm.id) {
    return &self_;
  }
  const auto found = peers_.find(vm);
  return found == peers_.end() ? nullptr : &found->second.record;
}

std::uint64_t peer_table::heartbeat_of(const std::string& vm) const {
  if (vm == self_.vm.id) {
    return beat_;
  }
  const auto found = peers_.find(vm);
  return found == peers_.end() ? 0 : found->second.heartbeat_counter;
}

std::vector<entry_vm> peer_table::sharers() const {
  std::vector<entry_vm> sharing;
  if (!self_.vm.leaving) {
    sharing.push_back(self_.vm);
  }
  for (const auto& [id, known] : peers_) {
    const auto now = status_of(id);
    if (now == vm_standing::alive || now == vm_standing::suspected) {
      sharing.push_back(known.record.vm);
    }
  }
  std::sort(sharing.begin(), sharing.end(),
            [](const entry_vm& a, const entry_vm& b) { return a.id < b.id; });
  return sharing;
}

std::vector<entry_vm> peer_table::others() const {
  std::vector<entry_vm> all;
  all.reserve(peers_.size());
  for (const auto& [id, known] : peers_) {
    all.push_back(known.record.vm);
  }
  return all;
}

std::optional<fact> peer_table::suspicion_of(const std::string& vm, const std::string& by) const {
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  const auto word = found->second.suspected_by.find(by);
  if (word == found->second.suspected_by.end()) {
    return std::nullopt;
  }
  return suspicion{vm, by, word->second};
}

bool peer_table::silent(const std::string& vm) const {
  const auto found = peers_.find(vm);
  return found != peers_.end() && silent(found->second);
}

std::string_view to_string(vm_standing status_of) {
  switch (status_of) {
    case vm_standing::contact:
      return "contact";
    case vm_standing::alive:
      return "alive";
    case vm_standing::suspected:
      return "suspected";
    case vm_standing::gone:
      return "gone";
    case vm_standing::leaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace hawthornnotch::member
