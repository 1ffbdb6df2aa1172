// The platform's store of the gateway's tests.
#include "gateway_fixture.h"

#include <boost/json.hpp>
#include <limits>
#include <tuple>

#include "hawthornnotch/platform/base64.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string query_value(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

bool begins_with(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

fake_store::fake_store(loopback_runtime& runtime) {
  server_ = runtime.serve([this](http_request request, net::response_writer& writer) {
    return handle(std::move(request), writer);
  });
}

std::int64_t fake_store::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  data_.items[key] = {value, ++data_.revision, 0};
  return data_.revision;
}

void fake_store::erase(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++data_.revision;
  data_.items.erase(key);
}

void fake_store::set_unavailable(bool unavailable) {
  const std::lock_guard lock(mutex_);
  unavailable_ = unavailable;
}

fake_store::snapshot fake_store::take_snapshot() {
  const std::lock_guard lock(mutex_);
  return data_;
}

void fake_store::restore(const snapshot& older) {
  const std::lock_guard lock(mutex_);
  data_ = older;
  ++era_;
}

void fake_store::hang_on_lost_history(bool waits) {
  const std::lock_guard lock(mutex_);
  hangs_on_lost_history_ = waits;
}

void fake_store::omit_era() {
  const std::lock_guard lock(mutex_);
  sends_era_ = false;
}

std::optional<fake_store::stored_value> fake_store::find(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = data_.items.find(key);
  return found == data_.items.end() ? std::nullopt : std::optional(found->second);
}

std::int64_t fake_store::grant_lease() {
  const std::lock_guard lock(mutex_);
  data_.leases.insert(++data_.last_lease);
  return data_.last_lease;
}

void fake_store::add_era_header(http_response& response) {
  if (sends_era_) {
    response.headers.emplace_back("Store-Era", std::to_string(era_));
  }
}

asio::awaitable<void> fake_store::handle(http_request request, net::response_writer& writer) {
  http_response response;
  if (begins_with(request.target, "/api/kv-watch")) {
    response = co_await watch(query_value(request.target, "Prefix"),
                              std::stoll(query_value(request.target, "After")));
  } else {
    response = answer(request);
  }
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<http_response> fake_store::watch(std::string prefix, std::int64_t after) {
  constexpr int max_polls = 200;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  http_response response;
  for (int poll = 0; poll < max_polls; ++poll) {
    response = changes_after(prefix, after);
    if (!response.body.empty() || response.status != 200) {
      co_return response;
    }
    timer.expires_after(poll_period);
    co_await timer.async_wait(asio::use_awaitable);
  }
  response.body = R"({"events":[],"CurrentRev":)" + std::to_string(after) + "}";
  co_return response;
}

// Leaves the body empty if there is no change.  The history of erased keys is not kept.
http_response fake_store::changes_after(const std::string& prefix, std::int64_t after) {
  const std::lock_guard lock(mutex_);
  http_response response;
  add_era_header(response);
  if (unavailable_) {
    response.status = 503;
    return response;
  }
  if (after > data_.revision && !hangs_on_lost_history_) {
    response.status = 410;
    return response;
  }
  json::array events;
  for (const auto& [key, stored] : data_.items) {
    if (begins_with(key, prefix) && stored.revision > after) {
      events.push_back(json::object{{"Key", key},
                                    {"Value", platform::encode_base64(stored.value)},
                                    {"Revision", stored.revision}});
    }
  }
  if (!events.empty()) {
    response.body = json::serialize(
        json::object{{"events", std::move(events)}, {"CurrentRev", data_.revision}});
  }
  return response;
}

http_response fake_store::answer(const http_request& request) {
  const std::lock_guard lock(mutex_);
  http_response response;
  if (unavailable_) {
    response.status = 503;
  } else if (request.method == "DELETE") {
    response = end_lease(request);
  } else if (request.method == "POST") {
    response = write(request);
  } else {
    response = read(request);
  }
  add_era_header(response);
  return response;
}

http_response fake_store::write(const http_request& request) {
  if (begins_with(request.target, "/api/kv-txn")) {
    return transact(request);
  }
  http_response response;
  json::object body{{"TtlMs", 12'000}};
  if (begins_with(request.target, "/api/kv-keep/")) {
    const std::int64_t lease = std::stoll(request.target.substr(request.target.rfind('/') + 1));
    response.status = data_.leases.count(lease) > 0 ? 200 : 404;
    body["Lease"] = lease;
  } else {
    data_.leases.insert(++data_.last_lease);
    body["Lease"] = data_.last_lease;
  }
  response.body = json::serialize(body);
  return response;
}

http_response fake_store::end_lease(const http_request& request) {
  const std::int64_t lease = std::stoll(request.target.substr(request.target.rfind('/') + 1));
  http_response response;
  response.status = data_.leases.erase(lease) > 0 ? 200 : 404;
  std::erase_if(data_.items, [&](const auto& item) { return item.second.lease == lease; });
  response.body = json::serialize(json::object{{"Lease", lease}});
  return response;
}

// \returns the items of the conditions in their present state; none if all conditions hold.
std::optional<json::array> fake_store::conflicts_of(const json::array& conditions) const {
  json::array items;
  bool hold = true;
  for (const json::value& each : conditions) {
    const std::string key(each.at("Key").as_string());
    const auto found = data_.items.find(key);
    const std::int64_t revision = found == data_.items.end() ? 0 : found->second.revision;
    hold = hold && revision == each.at("Revision").as_int64();
    if (revision != 0) {
      items.push_back(json::object{{"Key", key},
                                   {"Value", platform::encode_base64(found->second.value)},
                                   {"Revision", revision}});
    }
  }
  return hold ? std::nullopt : std::optional(std::move(items));
}

http_response fake_store::transact(const http_request& request) {
  http_response response;
  const json::value body = json::parse(request.body);
  if (auto items = conflicts_of(body.at("Expect").as_array())) {
    response.status = 412;
    response.body = json::serialize(json::object{{"Items", std::move(*items)}});
    return response;
  }
  ++data_.revision;
  for (const json::value& each : body.at("SetKeys").as_array()) {
    const std::int64_t lease = each.at("Lease").as_int64();
    if (lease != 0 && data_.leases.count(lease) == 0) {
      response.status = 404;
      return response;
    }
    const std::string value(each.at("Value").as_string());
    data_.items[std::string(each.at("Key").as_string())] = {
        platform::decode_base64(value).value_or(""), data_.revision, lease};
  }
  response.body = json::serialize(json::object{{"Revision", data_.revision}});
  return response;
}

http_response fake_store::read(const http_request& request) {
  http_response response;
  json::object body{{"CurrentRev", data_.revision}};
  if (begins_with(request.target, "/api/kv-key")) {
    const std::string key = query_value(request.target, "Key");
    const auto found = data_.items.find(key);
    if (found == data_.items.end()) {
      response.status = 404;
    } else {
      body["Key"] = key;
      body["Value"] = platform::encode_base64(found->second.value);
      body["Revision"] = found->second.revision;
    }
  } else {
    const std::string prefix = query_value(request.target, "Prefix");
    json::array items;
    for (const auto& [key, stored] : data_.items) {
      if (begins_with(key, prefix)) {
        items.push_back(json::object{{"Key", key},
                                     {"Value", platform::encode_base64(stored.value)},
                                     {"Revision", stored.revision}});
      }
    }
    body["Items"] = std::move(items);
    body["HasMore"] = false;
  }
  response.body = json::serialize(body);
  return response;
}

}  // namespace hawthornnotch::test
