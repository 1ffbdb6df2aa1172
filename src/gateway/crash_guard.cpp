#include "crash_guard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/quarantine/fingerprint.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;
using quarantine::suspect_kind;

time_point crash_guard::fleet_now() const {
  return shared_.dispatcher.limits().fleet_time(shared_.time.now());
}

bool crash_guard::is_leaving(const servers::server_entry& server) const {
  const servers::server_entry* listed = shared_.servers.find(server.id);
  return listed != nullptr && listed->start_time_ms == server.start_time_ms && listed->leaving;
}

void crash_guard::on_closed_unanswered(const servers::server_entry& server,
                                       std::string_view request_id,
                                       std::span<const quarantine::fingerprint> carried) {
  if (carried.empty() || is_leaving(server)) {
    return;
  }
  std::vector<charge>& waiting = unchecked_[server.id];
  waiting.push_back({std::string(request_id), {carried.begin(), carried.end()}, fleet_now()});
  if (waiting.size() == 1) {
    asio::co_spawn(executor_, check_server(server), asio::detached);
  }
}

asio::awaitable<void> crash_guard::check_server(servers::server_entry server) {
  const bool crashed = co_await has_crashed(server);
  const auto checked = unchecked_.extract(server.id);
  if (!crashed) {
    co_return;
  }
  for (const charge& each : checked.mapped()) {
    charge_crash(server, each);
  }
  publish(shared_.settings.vm);
}

// A VM that is cut off sees servers refuse connections that others reach.
asio::awaitable<bool> crash_guard::has_crashed(const servers::server_entry& server) {
  const net::connect_check own = co_await paths_.check_crash(server);
  if (own == net::connect_check::accepted) {
    co_return false;
  }
  const net::connect_check others = co_await forwards_.check_crash(server);
  const bool seen_here = own == net::connect_check::refused;
  co_return others == net::connect_check::refused ||
      (seen_here && others == net::connect_check::unknown);
}

void crash_guard::charge_crash(const servers::server_entry& server, const charge& charged) {
  shared_.metrics->count("hawthornnotch_crashes_charged_total", {{"service", server.service}});
  log_event(level::info, "crash_charged",
            {{"request_id", charged.request_id},
             {"server", server.id},
             {"parts", quarantine::to_text(charged.carried, suspect_kind::prompt_part)},
             {"request", quarantine::to_text(charged.carried, suspect_kind::request)}});
  const auto seed = static_cast<std::uint64_t>(server.start_time_ms);
  const auto incarnation = static_cast<std::uint32_t>(stable_hash(server.id, seed));
  shared_.suspects.record_crash(incarnation, charged.carried, charged.closed_at);
}

void crash_guard::on_answer_begun(std::span<const quarantine::fingerprint> carried) {
  shared_.suspects.record_success(carried, fleet_now());
  publish(shared_.settings.vm);
}

void crash_guard::merge(std::span<const quarantine::suspicion> known, std::string_view peer) {
  shared_.suspects.merge(known, fleet_now());
  publish(peer);
}

bool crash_guard::refuses(std::string_view request_id, std::string_view service,
                          std::span<const quarantine::fingerprint> carried) {
  const auto& members = shared_.dispatcher.limits().members();
  const auto found = shared_.suspects.find_quarantined(carried, members, fleet_now());
  if (!found) {
    return false;
  }
  shared_.metrics->count("hawthornnotch_requests_quarantined_total", {{"service", service}});
  log_event(level::info, "request_quarantined",
            {{"request_id", request_id},
             {"service", service},
             {"kind", quarantine::to_string(found->what.kind)},
             {"digest", to_hex(found->what.digest)},
             {"crashes", found->crashes},
             {"age_ms", found->age.ms}});
  return true;
}

void crash_guard::publish(std::string_view source) {
  for (const quarantine::quarantine_change& each : shared_.suspects.take_changes()) {
    log_event(level::warning, each.quarantined ? "quarantined" : "released",
              {{"kind", quarantine::to_string(each.what.kind)},
               {"digest", to_hex(each.what.digest)},
               {"crashes", each.crashes},
               {"open_crashes", each.open_crashes},
               {"source", source}});
  }
  if (shared_.suspects.take_news()) {
    news_();
  }
}

void crash_guard::update_gauges() const {
  shared_.metrics->gauge("hawthornnotch_suspects", {},
                         static_cast<double>(shared_.suspects.suspect_count()));
  shared_.metrics->gauge("hawthornnotch_quarantined", {},
                         static_cast<double>(shared_.suspects.quarantined_count()));
}

}  // namespace hawthornnotch::gateway::internal
