#include "caller_port.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <tuple>

#include "hawthornnotch/observe/log.h"
#include "hawthornnotch/router/classify.h"
#include "request_run.h"

namespace hawthornnotch::router::internal {

namespace asio = boost::asio;

namespace {

// When to come back to a router that has no configuration yet or is stopping.
constexpr duration come_back{1'000};

std::string models_json(const control_view& control, const workspace_parameters& workspace) {
  boost::json::array data;
  for (const std::string& name : control.models) {
    const auto& allowed = workspace.models;
    const bool may =
        allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    if (!may) {
      continue;
    }
    boost::json::object model;
    model["id"] = name;
    model["object"] = "model";
    model["owned_by"] = "hawthornnotch";
    data.emplace_back(std::move(model));
  }
  boost::json::object body;
  body["object"] = "list";
  body["data"] = std::move(data);
  return boost::json::serialize(body);
}

}  // namespace

std::string caller_port::next_id() { return id_prefix_ + "-" + std::to_string(next_number_++); }

std::optional<rejection> caller_port::refuse_all() const {
  if (phases_.now() == phase::refusing) {
    return rejection{reject_code::stopping, outcome::not_run, come_back, ""};
  }
  if (!shared_.control.view()->complete) {
    return rejection{reject_code::not_ready, outcome::not_run, come_back, ""};
  }
  return std::nullopt;
}

asio::awaitable<void> caller_port::reject(net::response_writer& writer, const rejection& why,
                                          const std::string& id) {
  shared_.metrics.count("hawthornnotch_rejected_total", {{"code", to_string(why.code)}});
  observe::log_event(observe::level::info, "request_rejected",
                     {{"request", id}, {"code", to_string(why.code)}});
  std::ignore = co_await writer.send(to_response(why, id));
}

asio::awaitable<void> caller_port::list_models(const net::http_request& request,
                                               net::response_writer& writer) {
  const auto control = shared_.control.view();
  const auto caller = find_caller(request, *control, shared_.settings.authenticate);
  if (!caller) {
    co_await reject(writer, caller.last_reason(), next_id());
    co_return;
  }
  net::http_response response;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = models_json(*control, **caller);
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> caller_port::handle(net::http_request request, net::response_writer& writer) {
  if (const auto why = refuse_all()) {
    co_await reject(writer, *why, next_id());
    co_return;
  }
  if (request.method == "GET" && request.target == "/v1/models") {
    co_await list_models(request, writer);
    co_return;
  }
  const std::string id = next_id();
  const auto control = shared_.control.view();
  auto classified = classify(request, id, *control, shared_.settings.authenticate);
  if (!classified) {
    co_await reject(writer, classified.last_reason(), id);
    co_return;
  }
  request = {};
  request_run run(shared_, std::move(*classified), writer);
  co_await run.run();
}

}  // namespace hawthornnotch::router::internal
