#include "hawthornnotch/config/follower.h"

#include <utility>

#include "follower_engine.h"

namespace hawthornnotch {

std::unique_ptr<config_follower> config_follower::create(follower_settings settings,
                                                         platform::client& platform,
                                                         const clock& time, std::uint64_t seed,
                                                         table_entry& table,
                                                         std::function<void()> changed) {
  auto held = std::make_shared<engine>(settings, platform, time, seed, table, std::move(changed));
  return std::unique_ptr<config_follower>(new config_follower(std::move(held)));
}

config_follower::config_follower(std::shared_ptr<engine> held) : engine_(std::move(held)) {}

config_follower::~config_follower() = default;

void config_follower::start() { engine_->start(); }

void config_follower::stop() { engine_->stop(); }

bool config_follower::merge(const workspace_table_update& from) { return engine_->merge(from); }

bool config_follower::ready() const { return engine_->ready(); }

workspace_table_update config_follower::table() const { return engine_->table(); }

void config_follower::tick() { engine_->tick(); }

follower_view config_follower::view() const { return engine_->view(); }

}  // namespace hawthornnotch
