#include "hawthornnotch/standin/faults.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <tuple>
#include <utility>

#include "hawthornnotch/standin/program.h"

namespace hawthornnotch::standin {
namespace {

constexpr unsigned default_refusal = 503;
constexpr std::size_t flood_piece_bytes = 64 * 1024;

constexpr std::array<std::pair<std::string_view, fault_kind>, 9> kind_names{{
    {"lose_request", fault_kind::lose_request},
    {"lose_answer", fault_kind::lose_answer},
    {"delay", fault_kind::delay},
    {"cut_mid_stream", fault_kind::cut_mid_stream},
    {"slow", fault_kind::slow},
    {"refuse", fault_kind::refuse},
    {"down", fault_kind::down},
    {"rubbish", fault_kind::rubbish},
    {"flood", fault_kind::flood},
}};

std::optional<fault_kind> kind_of(std::string_view name) {
  for (const auto& [known, kind] : kind_names) {
    if (known == name) {
      return kind;
    }
  }
  return {};
}

net::net_failure cut_off() { return {net::net_failure_kind::closed, true}; }

// Passes an answer on, cuts it, or swallows it.
class faulty_writer final : public net::response_writer {
 public:
  faulty_writer(net::response_writer& inner, const fault_switches& faults, fault_plan plan)
      : inner_(inner), faults_(faults), plan_(plan) {}

  boost::asio::awaitable<status<net::net_failure>> send(net::http_response response) override {
    if (plan_.lose_answer || faults_.down()) {
      co_return swallow();
    }
    if (!plan_.cut_after) {
      co_return co_await inner_.send(std::move(response));
    }
    std::ignore = co_await inner_.start(response.status, std::move(response.headers));
    std::ignore =
        co_await inner_.write(std::string_view(response.body).substr(0, response.body.size() / 2));
    inner_.abort();
    co_return failed{cut_off()};
  }

  boost::asio::awaitable<status<net::net_failure>> start(unsigned code,
                                                         net::header_list headers) override {
    if (plan_.lose_answer || faults_.down()) {
      co_return swallow();
    }
    co_return co_await inner_.start(code, std::move(headers));
  }

  boost::asio::awaitable<status<net::net_failure>> write(std::string_view bytes) override {
    if (plan_.lose_answer || faults_.down()) {
      co_return swallow();
    }
    if (plan_.cut_after && written_ >= *plan_.cut_after) {
      inner_.abort();
      co_return failed{cut_off()};
    }
    ++written_;
    co_return co_await inner_.write(bytes);
  }

  boost::asio::awaitable<status<net::net_failure>> finish() override {
    if (plan_.lose_answer || faults_.down()) {
      co_return swallow();
    }
    co_return co_await inner_.finish();
  }

  void abort() override { inner_.abort(); }
  void on_peer_disconnect(std::function<void()> callback) override {
    inner_.on_peer_disconnect(std::move(callback));
  }
  bool peer_connected() override { return inner_.peer_connected(); }

 private:
  // A lost answer goes unnoticed by the handler; a stand-in that went down has lost its streams.
  status<net::net_failure> swallow() {
    if (plan_.lose_answer) {
      return ok;
    }
    inner_.abort();
    return failed{cut_off()};
  }

  net::response_writer& inner_;
  const fault_switches& faults_;
  fault_plan plan_;
  std::uint64_t written_ = 0;
};

boost::asio::awaitable<void> flood(std::uint64_t bytes, net::response_writer& writer) {
  const std::string piece(flood_piece_bytes, 'x');
  net::header_list headers;
  std::ignore = co_await writer.start(200, std::move(headers));
  for (std::uint64_t sent = 0; sent < bytes; sent += piece.size()) {
    auto written = co_await writer.write(piece);
    if (!written) {
      co_return;
    }
  }
  std::ignore = co_await writer.finish();
}

boost::asio::awaitable<void> answer_faultily(std::shared_ptr<fault_switches> faults,
                                             const net::request_handler& inner,
                                             net::http_request request,
                                             net::response_writer& writer) {
  const fault_plan plan = faults->plan_for(request.target);
  if (plan.delay.ms > 0) {
    co_await sleep_for(std::chrono::milliseconds(plan.delay.ms));
  }
  if (plan.lose_request || faults->down()) {
    writer.abort();
    co_return;
  }
  if (plan.refuse_status) {
    net::http_response refusal = json_answer(*plan.refuse_status, R"({"error":"refused"})");
    co_await reply(writer, std::move(refusal));
    co_return;
  }
  if (plan.rubbish) {
    net::http_response rubbish = json_answer(200, "\x01{{not json");
    co_await reply(writer, std::move(rubbish));
    co_return;
  }
  if (plan.flood_bytes) {
    co_await flood(*plan.flood_bytes, writer);
    co_return;
  }
  faulty_writer faulty(writer, *faults, plan);
  co_await inner(std::move(request), faulty);
  if (plan.lose_answer) {
    writer.abort();
  }
}

boost::asio::awaitable<void> answer(std::shared_ptr<fault_switches> faults,
                                    const net::request_handler& inner, net::http_request request,
                                    net::response_writer& writer) {
  if (request.target == "/standin/fault") {
    net::http_response done = faults->set(request.body);
    co_await reply(writer, std::move(done));
  } else if (request.target.starts_with("/standin/")) {
    co_await inner(std::move(request), writer);
  } else {
    co_await answer_faultily(std::move(faults), inner, std::move(request), writer);
  }
}

}  // namespace

net::http_response fault_switches::set(std::string_view body) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) {
    return json_answer(400, R"({"error":"not a JSON object"})");
  }
  const boost::json::object& object = parsed.as_object();
  const std::string name = text_of(object, "kind");
  if (name == "clear") {
    active_.clear();
    return json_answer(200, "{}");
  }
  const auto kind = kind_of(name);
  if (!kind) {
    return json_answer(400, R"({"error":"unknown kind"})");
  }
  fault next{*kind, number_of(object, "value", 0),
             static_cast<std::uint64_t>(number_of(object, "count", 0)), text_of(object, "path")};
  std::erase_if(active_, [&next](const fault& old) {
    return old.kind == next.kind && old.path == next.path;
  });
  active_.push_back(std::move(next));
  return json_answer(200, "{}");
}

fault_plan fault_switches::plan_for(std::string_view target) {
  fault_plan plan;
  for (auto at = active_.begin(); at != active_.end();) {
    if (!target.starts_with(at->path)) {
      ++at;
      continue;
    }
    apply(*at, plan);
    const bool spent = at->count == 1;
    if (at->count > 0) {
      --at->count;
    }
    at = spent ? active_.erase(at) : at + 1;
  }
  return plan;
}

void fault_switches::apply(const fault& active, fault_plan& plan) const {
  switch (active.kind) {
    case fault_kind::lose_request:
    case fault_kind::down:
      plan.lose_request = true;
      break;
    case fault_kind::lose_answer:
      plan.lose_answer = true;
      break;
    case fault_kind::delay:
      plan.delay = {static_cast<std::int64_t>(active.value)};
      break;
    case fault_kind::cut_mid_stream:
      plan.cut_after = static_cast<std::uint64_t>(active.value);
      break;
    case fault_kind::slow:
      break;
    case fault_kind::refuse:
      plan.refuse_status =
          active.value == 0 ? default_refusal : static_cast<unsigned>(active.value);
      break;
    case fault_kind::rubbish:
      plan.rubbish = true;
      break;
    case fault_kind::flood:
      plan.flood_bytes = static_cast<std::uint64_t>(active.value);
      break;
  }
}

double fault_switches::slow_factor() const {
  double factor = 1;
  for (const fault& active : active_) {
    if (active.kind == fault_kind::slow && active.value > 0) {
      factor *= active.value;
    }
  }
  return factor;
}

bool fault_switches::down() const {
  return std::any_of(active_.begin(), active_.end(),
                     [](const fault& active) { return active.kind == fault_kind::down; });
}

net::request_handler with_faults(std::shared_ptr<fault_switches> faults,
                                 net::request_handler inner) {
  return [faults = std::move(faults), inner = std::move(inner)](net::http_request request,
                                                                net::response_writer& writer) {
    return answer(faults, inner, std::move(request), writer);
  };
}

}  // namespace hawthornnotch::standin
