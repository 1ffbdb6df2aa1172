#include "hawthornnotch/streams/version_proof.h"

#include <algorithm>

namespace hawthornnotch::streams {

std::string_view to_string(begin_doubt doubt) {
  switch (doubt) {
    case begin_doubt::records_unread:
      return "records_unread";
    case begin_doubt::records_lost:
      return "records_lost";
    case begin_doubt::unknown_build:
      return "unknown_build";
    case begin_doubt::open_rule:
      return "open_rule";
    case begin_doubt::unknown_base:
      return "unknown_base";
    case begin_doubt::several_versions:
      return "several_versions";
  }
  return "unknown";
}

namespace {

// \returns whether the rule is perhaps that of a process that started lately: an earlier one may
// have begun streams at the base version.
bool may_follow_undeclared(const begin_rule& rule) {
  if (rule.alternatives.size() != 1) {
    return true;
  }
  const auto& weights = rule.alternatives.front().weights();
  return weights.size() == 1 && weights.begin()->first == rule.base;
}

}  // namespace

void begin_facts::exclude(std::string_view vm) {
  const auto found = beginners.find(std::string(vm));
  if (found == beginners.end()) {
    return;
  }
  undeclared_possible = undeclared_possible || may_follow_undeclared(found->second);
  beginners.erase(found);
}

// Each VM that runs while versions are mixed declares it soon, so that fewer declarations than VMs
// mean that one was lost before, or can't reach the store.
begin_facts gather_facts(std::string_view service, const declaration_table& declared,
                         const fleet_view& seen) {
  begin_facts facts;
  facts.beginners = declared.declarers(service);
  const std::int64_t vms = std::max(declared.known_vms(), seen.known_vms);
  facts.undeclared_possible = static_cast<std::int64_t>(facts.beginners.size()) < vms;
  if (seen.base) {
    facts.bases.insert(*seen.base);
  }
  for (const auto& [vm, rule] : facts.beginners) {
    if (rule.base) {
      facts.bases.insert(*rule.base);
    }
  }
  return facts;
}

result<std::string, begin_doubt> prove_version(const begin_facts& facts, std::string_view attempt) {
  std::set<std::string> possible;
  for (const auto& [vm, rule] : facts.beginners) {
    if (rule.is_open()) {
      return failed{begin_doubt::open_rule};
    }
    possible.merge(rule.versions_for(attempt));
  }
  if (facts.undeclared_possible || possible.empty()) {
    if (facts.bases.size() != 1) {
      return failed{begin_doubt::unknown_base};
    }
    possible.insert(*facts.bases.begin());
  }
  if (possible.size() > 1) {
    return failed{begin_doubt::several_versions};
  }
  return *possible.begin();
}

}  // namespace hawthornnotch::streams
