#include "hawthornnotch/standin/platform.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <list>
#include <tuple>
#include <utility>

#include "hawthornnotch/base/hash.h"
#include "hawthornnotch/platform/base64.h"
#include "hawthornnotch/standin/kv_store.h"
#include "hawthornnotch/standin/program.h"
#include "hawthornnotch/standin/run_counter.h"

namespace hawthornnotch::standin {
namespace {

using boost::asio::awaitable;

constexpr std::size_t largest_value_bytes = 1024 * 1024;
constexpr std::int64_t ms_per_second = 1000;
// Lapsed leases are noticed this often while nothing else happens.
constexpr std::chrono::milliseconds watch_poll{100};

enum class grpc_code : std::uint8_t { invalid_argument = 3, not_found = 5, unimplemented = 12 };

net::http_response error_answer(unsigned status, grpc_code code, std::string_view message) {
  boost::json::object body{{"error", message}, {"message", message}};
  body["code"] = static_cast<int>(code);
  return json_answer(status, boost::json::serialize(body));
}

net::http_response lease_not_found() {
  return error_answer(404, grpc_code::not_found, "etcdserver: requested lease not found");
}

std::string bytes_of(const boost::json::object& object, std::string_view key) {
  return hawthornnotch::platform::decode_base64(text_of(object, key)).value_or("");
}

key_range range_of(const boost::json::object& object) {
  return {bytes_of(object, "key"), bytes_of(object, "range_end")};
}

// Fields of default value are left out, as in the JSON form of protocol buffers.
void set_number(boost::json::object& object, std::string_view key, std::int64_t value) {
  if (value != 0) {
    object[key] = std::to_string(value);
  }
}

boost::json::object key_value_json(const std::string& key, const stored_value& stored) {
  boost::json::object object{{"key", hawthornnotch::platform::encode_base64(key)}};
  set_number(object, "create_revision", stored.create_revision);
  set_number(object, "mod_revision", stored.mod_revision);
  set_number(object, "version", stored.version);
  if (!stored.value.empty()) {
    object["value"] = hawthornnotch::platform::encode_base64(stored.value);
  }
  set_number(object, "lease", stored.lease);
  return object;
}

const boost::json::array& list_of(const boost::json::object& object, std::string_view key) {
  static const boost::json::array none;
  const boost::json::value* found = object.if_contains(key);
  return found != nullptr && found->is_array() ? found->as_array() : none;
}

const boost::json::object* object_in(const boost::json::value& value, std::string_view key) {
  const boost::json::value* found =
      value.is_object() ? value.as_object().if_contains(key) : nullptr;
  return found != nullptr && found->is_object() ? &found->as_object() : nullptr;
}

class memory_platform final : public platform {
 public:
  memory_platform(platform_options options, const clock& time,
                  std::shared_ptr<fault_switches> faults)
      : options_(options), time_(time), faults_(std::move(faults)), store_(time) {}

  awaitable<void> handle(net::http_request request, net::response_writer& writer) override {
    store_.expire();
    if (request.target == "/v3/watch") {
      count("watch");
      co_await watch(object_of(request.body), writer);
      co_return;
    }
    net::http_response answer = answer_at_once(request);
    wake_watches();
    co_await reply(writer, std::move(answer));
  }

 private:
  net::http_response answer_at_once(const net::http_request& request) {
    const boost::json::object body = object_of(request.body);
    if (request.target == "/v3/kv/range") {
      count("read");
      return json_answer(200, boost::json::serialize(range(body)));
    }
    if (request.target == "/v3/kv/txn") {
      count("write");
      return transact(body);
    }
    if (request.target == "/v3/lease/grant") {
      count("lease_grant");
      return grant(body);
    }
    if (request.target == "/v3/lease/keepalive") {
      count("lease_keepalive");
      return keep_alive(body);
    }
    if (request.target == "/v3/lease/revoke") {
      count("lease_revoke");
      return revoke(body);
    }
    return answer_around(request);
  }

  net::http_response answer_around(const net::http_request& request) {
    if (request.target == "/vms" && request.method == "GET") {
      return list_answer(request);
    }
    if (request.target == "/standin/vms" && request.method == "PUT") {
      lists_.emplace_back(time_.now(), request.body);
      return json_answer(200, "{}");
    }
    if (request.target == "/standin/counters") {
      boost::json::object counters = calls_.to_json();
      counters["revision"] = store_.revision();
      counters["open_watches"] = watches_.size();
      return json_answer(200, boost::json::serialize(counters));
    }
    return error_answer(404, grpc_code::unimplemented, "no such route");
  }

  void count(std::string_view kind) { calls_.add(kind); }

  bool seen_by_now(time_point changed) const {
    return (changed + options_.list_lag).ms <= time_.now().ms;
  }

  // A list that the caller's tag stands for isn't sent again.
  net::http_response list_answer(const net::http_request& request) {
    count("list");
    std::string list = listed();
    const std::string tag = '"' + std::to_string(stable_hash(list)) + '"';
    const bool unchanged = request.header("If-None-Match") == tag;
    if (unchanged) {
      count("list_unchanged");
    }
    net::http_response answer =
        unchanged ? net::http_response{304, {}, ""} : json_answer(200, std::move(list));
    answer.headers.emplace_back("ETag", tag);
    return answer;
  }

  // The newest list that is older than the lag.
  std::string listed() {
    while (lists_.size() > 1 && seen_by_now(lists_[1].first)) {
      lists_.pop_front();
    }
    const bool seen = !lists_.empty() && seen_by_now(lists_.front().first);
    return seen ? lists_.front().second : "[]";
  }

  boost::json::object header() const {
    return {
        {"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(store_.revision())}};
  }

  boost::json::object range(const boost::json::object& body) const {
    boost::json::array found;
    for (const auto& [key, stored] : store_.range(range_of(body))) {
      found.push_back(key_value_json(key, stored));
    }
    boost::json::object answer{{"header", header()}};
    if (!found.empty()) {
      answer["count"] = std::to_string(found.size());
      answer["kvs"] = std::move(found);
    }
    return answer;
  }

  bool holds(const boost::json::object& compare) const {
    const stored_value now = store_.find(bytes_of(compare, "key")).value_or(stored_value{});
    const std::string target = text_of(compare, "target");
    if (target == "CREATE") {
      return now.create_revision == integer_of(compare, "create_revision");
    }
    if (target == "MOD") {
      return now.mod_revision == integer_of(compare, "mod_revision");
    }
    return target == "VERSION" && now.version == integer_of(compare, "version");
  }

  std::optional<net::http_response> refusal(const boost::json::array& operations) const {
    for (const boost::json::value& operation : operations) {
      const boost::json::object* put = object_in(operation, "request_put");
      if (put == nullptr) {
        continue;
      }
      if (bytes_of(*put, "value").size() > largest_value_bytes) {
        return error_answer(400, grpc_code::invalid_argument, "etcdserver: request is too large");
      }
      const std::int64_t lease = integer_of(*put, "lease");
      if (lease != 0 && !store_.has_lease(lease)) {
        return lease_not_found();
      }
    }
    return {};
  }

  boost::json::object apply(const boost::json::value& operation) {
    if (const boost::json::object* put = object_in(operation, "request_put")) {
      store_.put(bytes_of(*put, "key"), bytes_of(*put, "value"), integer_of(*put, "lease"));
      return {{"response_put", boost::json::object{}}};
    }
    if (const boost::json::object* erase = object_in(operation, "request_delete_range")) {
      const std::size_t erased = store_.erase(range_of(*erase));
      return {{"response_delete_range", boost::json::object{{"deleted", std::to_string(erased)}}}};
    }
    if (const boost::json::object* read = object_in(operation, "request_range")) {
      return {{"response_range", range(*read)}};
    }
    return {};
  }

  net::http_response transact(const boost::json::object& body) {
    const boost::json::array& compares = list_of(body, "compare");
    const bool succeeded =
        std::all_of(compares.begin(), compares.end(), [this](const boost::json::value& compare) {
          return compare.is_object() && holds(compare.as_object());
        });
    const boost::json::array& operations = list_of(body, succeeded ? "success" : "failure");
    if (auto refused = refusal(operations)) {
      return std::move(*refused);
    }
    boost::json::array responses;
    store_.begin();
    for (const boost::json::value& operation : operations) {
      responses.push_back(apply(operation));
    }
    store_.commit();
    boost::json::object answer{{"header", header()}};
    if (succeeded) {
      answer["succeeded"] = true;
    }
    answer["responses"] = std::move(responses);
    return json_answer(200, boost::json::serialize(answer));
  }

  net::http_response grant(const boost::json::object& body) {
    const std::int64_t seconds = std::max<std::int64_t>(1, integer_of(body, "TTL"));
    const std::int64_t id = store_.grant(integer_of(body, "ID"), {seconds * ms_per_second});
    boost::json::object answer{{"header", header()}, {"ID", std::to_string(id)}};
    answer["TTL"] = std::to_string(seconds);
    return json_answer(200, boost::json::serialize(answer));
  }

  net::http_response keep_alive(const boost::json::object& body) {
    const std::int64_t id = integer_of(body, "ID");
    const auto time_to_live = store_.keep_alive(id);
    boost::json::object state{{"header", header()}, {"ID", std::to_string(id)}};
    if (time_to_live) {
      state["TTL"] = std::to_string(time_to_live->ms / ms_per_second);
    }
    boost::json::object answer{{"result", std::move(state)}};
    return json_answer(200, boost::json::serialize(answer) + "\n");
  }

  net::http_response revoke(const boost::json::object& body) {
    if (!store_.revoke(integer_of(body, "ID"))) {
      return lease_not_found();
    }
    boost::json::object answer{{"header", header()}};
    return json_answer(200, boost::json::serialize(answer));
  }

  void wake_watches() {
    for (boost::asio::steady_timer* waiting : watches_) {
      waiting->cancel();
    }
  }

  std::string line(boost::json::object fields) const {
    fields["header"] = header();
    const boost::json::object body{{"result", std::move(fields)}};
    return boost::json::serialize(body) + "\n";
  }

  std::string events_line(const std::vector<stored_event>& events) const {
    boost::json::array list;
    for (const stored_event& event : events) {
      boost::json::object object{{"kv", key_value_json(event.key, event.now)}};
      if (event.erased) {
        object["type"] = "DELETE";
      }
      list.push_back(std::move(object));
    }
    return line({{"events", std::move(list)}});
  }

  awaitable<void> watch(boost::json::object body, net::response_writer& writer) {
    const boost::json::value envelope(std::move(body));
    const boost::json::object* wanted = object_in(envelope, "create_request");
    if (wanted == nullptr) {
      net::http_response refusal =
          error_answer(400, grpc_code::invalid_argument, "no create_request");
      co_await reply(writer, std::move(refusal));
      co_return;
    }
    const std::int64_t asked = integer_of(*wanted, "start_revision");
    const std::int64_t start = asked > 0 ? asked : store_.revision() + 1;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    const auto place = watches_.insert(watches_.end(), &timer);
    bool gone = false;
    writer.on_peer_disconnect([&gone, &timer] {
      gone = true;
      timer.cancel();
    });
    net::header_list headers;
    headers.emplace_back("Content-Type", "application/json");
    std::ignore = co_await writer.start(200, std::move(headers));
    const std::string created = line({{"created", true}});
    std::ignore = co_await writer.write(created);
    co_await follow(range_of(*wanted), start, timer, gone, writer);
    watches_.erase(place);
  }

  // Sends what changes until the peer has gone or the history is too short.
  awaitable<void> follow(key_range keys, std::int64_t next, boost::asio::steady_timer& timer,
                         const bool& gone, net::response_writer& writer) {
    auto noted = std::chrono::steady_clock::now();
    bool open = true;
    while (open && !gone && !faults_->down()) {
      store_.expire();
      const auto events = store_.events(keys, next);
      if (!events) {
        const std::string compacted = line(
            {{"canceled", true}, {"compact_revision", std::to_string(store_.oldest_revision())}});
        std::ignore = co_await writer.write(compacted);
        std::ignore = co_await writer.finish();
        co_return;
      }
      next = store_.revision() + 1;
      const auto now = std::chrono::steady_clock::now();
      if (!events->empty() || now - noted >= options_.progress) {
        const std::string text = events->empty() ? line({}) : events_line(*events);
        auto written = co_await writer.write(text);
        open = written.has_value();
        noted = now;
        continue;
      }
      timer.expires_after(watch_poll);
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    writer.abort();
  }

  platform_options options_;
  const clock& time_;
  std::shared_ptr<fault_switches> faults_;
  kv_store store_;
  run_counter calls_;
  std::list<boost::asio::steady_timer*> watches_;
  std::deque<std::pair<time_point, std::string>> lists_;
};

}  // namespace

std::unique_ptr<platform> platform::create(platform_options options, const clock& time,
                                           std::shared_ptr<fault_switches> faults) {
  return std::make_unique<memory_platform>(options, time, std::move(faults));
}

}  // namespace hawthornnotch::standin
