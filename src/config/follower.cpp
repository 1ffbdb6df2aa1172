#include "hawthornnotch/config/follower.h"

#include <utility>

#include "follower_state_machine.h"

namespace hawthornnotch {

std::unique_ptr<config_follower> config_follower::create(follower_settings settings,
                                                         platform::client& platform,
                                                         const clock& time, std::uint64_t seed,
                                                         table_entry& table,
                                                         std::function<void()> changed) {
  auto implementation =
      std::make_shared<state_machine>(settings, platform, time, seed, table, std::move(changed));
  return std::unique_ptr<config_follower>(new config_follower(std::move(implementation)));
}

config_follower::config_follower(std::shared_ptr<state_machine> implementation)
    : state_machine_(std::move(implementation)) {}

config_follower::~config_follower() = default;

void config_follower::start() { state_machine_->start(); }

void config_follower::stop() { state_machine_->stop(); }

bool config_follower::merge(const workspace_table_update& from) {
  return state_machine_->merge(from);
}

bool config_follower::ready() const { return state_machine_->ready(); }

workspace_table_update config_follower::table() const { return state_machine_->table(); }

void config_follower::tick() { state_machine_->tick(); }

follower_view config_follower::view() const { return state_machine_->view(); }

}  // namespace hawthornnotch
