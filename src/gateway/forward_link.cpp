#include "forward_link.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "answer_events.h"
#include "hawthornnotch/net/end_to_end.h"
#include "hawthornnotch/observe/log.h"
#include "server_timeouts.h"

namespace hawthornnotch::gateway::internal {

namespace asio = boost::asio;
using observe::level;
using observe::log_event;

namespace {

/// Headers of a forwarded request.  They come before a caller's headers of the same name.  Without
/// a request's id the other VM is only asked whether the server has crashed.
constexpr std::string_view server_header = "Hawthornnotch-Forward-To";
constexpr std::string_view start_time_header = "Hawthornnotch-Forward-Start-Time";
constexpr std::string_view time_left_header = "Hawthornnotch-Forward-Time-Ms";
constexpr std::string_view request_id_header = "Hawthornnotch-Forward-Request";
constexpr std::string_view sender_header = "Hawthornnotch-Forward-From";
/// Header of the response: whose it is, or what failed.
constexpr std::string_view outcome_header = "Hawthornnotch-Forward-Outcome";
/// Outcomes of a check.
constexpr std::string_view server_accepts = "accepts";
constexpr std::string_view server_refuses = "refuses";
constexpr std::string_view server_unknown = "unknown";
/// VMs that are asked whether a server has crashed.
constexpr std::size_t asked_per_check = 2;
/// Longer than the connections that the other VM opens.
constexpr duration check_answer_timeout{1'500};
constexpr unsigned status_bad_gateway = 502;
/// VMs that are asked to send one attempt.
constexpr std::size_t max_asked_per_attempt = 4;
/// VMs that find the server unreachable before the attempt fails.
constexpr std::size_t max_unreachable_per_attempt = 2;

std::string_view to_string(forward_outcome outcome) {
  switch (outcome) {
    case forward_outcome::responded:
      return "responded";
    case forward_outcome::not_sent:
      return "not_sent";
    case forward_outcome::server_unreachable:
      return "server_unreachable";
    case forward_outcome::may_be_sent:
      return "may_be_sent";
  }
  return "";
}

// A response without a known outcome comes from a VM of an earlier release, which sends nothing.
forward_outcome outcome_of(const net::http_response& head) {
  const std::string_view named = head.header(outcome_header).value_or("");
  for (const forward_outcome each :
       {forward_outcome::responded, forward_outcome::server_unreachable,
        forward_outcome::may_be_sent}) {
    if (named == to_string(each)) {
      return each;
    }
  }
  return forward_outcome::not_sent;
}

// The other VM could not be reached, or the connection to it broke.
forward_outcome outcome_of(const net::net_failure& failure) {
  return failure.request_may_have_been_sent ? forward_outcome::may_be_sent
                                            : forward_outcome::not_sent;
}

net::header_list outcome_headers(forward_outcome outcome) {
  return {{std::string(outcome_header), std::string(to_string(outcome))}};
}

void erase_first(net::header_list& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& each) {
    return boost::beast::iequals(each.first, name);
  });
  if (found != headers.end()) {
    headers.erase(found);
  }
}

std::int64_t number_in(const net::http_request& request, std::string_view name) {
  const std::string_view text = request.header(name).value_or("");
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The server's response without the header of the VM that forwarded it.
class forwarded_response final : public net::response_stream {
 public:
  explicit forwarded_response(std::unique_ptr<net::response_stream> from_peer)
      : from_peer_(std::move(from_peer)), head_(from_peer_->head()) {
    erase_first(head_.headers, outcome_header);
  }
  [[nodiscard]] const net::http_response& head() const override { return head_; }
  asio::awaitable<result<std::string, net::net_failure>> read() override {
    return from_peer_->read();
  }
  void cancel() override { from_peer_->cancel(); }

 private:
  std::unique_ptr<net::response_stream> from_peer_;
  net::http_response head_;
};

}  // namespace

bool forward_link::has_forwarder(std::string_view service) const {
  const time_point now = shared_.time.now();
  return shared_.forwarders.has_any(service, shared_.peers.live_addresses(now), now);
}

asio::awaitable<result<std::unique_ptr<net::response_stream>, net::net_failure>> forward_link::open(
    const forwarded_attempt& attempt, net::http_request message, net::exchange_limits limits,
    std::size_t& refusals) {
  const servers::server_entry& server = attempt.server;
  message.headers.insert(message.headers.begin(),
                         {{std::string(server_header), server.id},
                          {std::string(start_time_header), std::to_string(server.start_time_ms)},
                          {std::string(time_left_header), std::to_string(attempt.time_left.ms)},
                          {std::string(request_id_header), std::string(attempt.request_id)},
                          {std::string(sender_header), shared_.settings.vm}});
  // The other VM checks whose response it is.
  limits.is_expected = nullptr;
  std::vector<endpoint> tried;
  std::size_t unreachable = 0;
  while (tried.size() < max_asked_per_attempt && unreachable < max_unreachable_per_attempt) {
    const time_point now = shared_.time.now();
    const auto vm = shared_.forwarders.next(server.service, shared_.peers.live_addresses(now),
                                            tried, shared_.random, now);
    if (!vm) {
      break;
    }
    tried.push_back(*vm);
    log_event(level::info, "forward_sent",
              {{"request_id", attempt.request_id}, {"server", server.id}, {"via", vm->address}});
    auto opened = co_await shared_.http->open(*vm, message, limits);
    const forward_outcome outcome =
        opened ? outcome_of((*opened)->head()) : outcome_of(opened.last_reason());
    switch (outcome) {
      case forward_outcome::responded:
        co_return std::unique_ptr<net::response_stream>(
            std::make_unique<forwarded_response>(std::move(*opened)));
      case forward_outcome::may_be_sent:
        co_return failed{opened ? net::net_failure{net::net_failure_kind::closed, true}
                                : opened.last_reason()};
      case forward_outcome::server_unreachable:
        ++unreachable;
        break;
      case forward_outcome::not_sent:
        if (!opened && opened.last_reason().kind == net::net_failure_kind::cancelled) {
          co_return failed{opened.last_reason()};
        }
        ++refusals;
        shared_.forwarders.record_refusal(server.service, *vm, shared_.time.now());
        break;
    }
  }
  co_return failed{net::net_failure{net::net_failure_kind::connect, false}};
}

asio::awaitable<net::connect_check> forward_link::check_crash(const servers::server_entry& server) {
  std::vector<endpoint> asked = shared_.peers.live_addresses(shared_.time.now());
  std::shuffle(asked.begin(), asked.end(), shared_.random.engine());
  asked.resize(std::min(asked.size(), asked_per_check));
  net::http_request question;
  question.headers = {{std::string(server_header), server.id},
                      {std::string(start_time_header), std::to_string(server.start_time_ms)}};
  net::exchange_limits limits;
  limits.connect_timeout = server_connect_timeout;
  limits.head_timeout = check_answer_timeout;
  limits.total_timeout = check_answer_timeout;
  limits.tcp_user_timeout = server_tcp_user_timeout;
  net::connect_check found = net::connect_check::unknown;
  for (const endpoint& vm : asked) {
    const auto answer = co_await shared_.http->fetch(vm, question, limits);
    const std::string_view outcome =
        answer ? answer->header(outcome_header).value_or(server_unknown) : server_unknown;
    if (outcome == server_accepts) {
      co_return net::connect_check::accepted;
    }
    if (outcome == server_refuses) {
      found = net::connect_check::refused;
    }
  }
  co_return found;
}

// An attempt that another VM asks this one to send.
struct forward_link::incoming {
  explicit incoming(const net::http_request& request)
      : server_id(request.header(server_header).value_or("")),
        request_id(request.header(request_id_header).value_or("")),
        sender(request.header(sender_header).value_or("")),
        only_checks(!request.header(request_id_header)),
        start_time_ms(number_in(request, start_time_header)),
        time_left{number_in(request, time_left_header)} {}
  std::string server_id;
  std::string request_id;
  std::string sender;
  bool only_checks;
  std::int64_t start_time_ms;
  duration time_left;
};

bool forward_link::is_forwarded(const net::http_request& request) {
  return request.header(server_header).has_value();
}

const servers::server_entry* forward_link::find_server(const incoming& attempt) const {
  const servers::server_entry* listed = shared_.servers.find(attempt.server_id);
  const bool meant = listed != nullptr && listed->start_time_ms == attempt.start_time_ms;
  return meant && !listed->leaving ? listed : nullptr;
}

// \returns the outcome if nothing will be sent to the server; none otherwise.
std::optional<forward_outcome> forward_link::refusal_of(const servers::server_entry* listed) const {
  if (shared_.stopping || (listed != nullptr && shared_.paths.is_cut_off(listed->service))) {
    return forward_outcome::not_sent;
  }
  const bool reachable = listed != nullptr && paths_.is_usable(*listed);
  return reachable ? std::nullopt : std::optional(forward_outcome::server_unreachable);
}

asio::awaitable<void> forward_link::handle(net::http_request request,
                                           net::response_writer& writer) {
  const incoming attempt(request);
  if (attempt.only_checks) {
    co_await answer_check(attempt, writer);
    co_return;
  }
  const servers::server_entry* listed = find_server(attempt);
  if (const auto outcome = refusal_of(listed)) {
    co_await refuse(attempt, *outcome, writer);
    co_return;
  }
  const servers::server_entry server = *listed;
  for (const std::string_view name :
       {server_header, start_time_header, time_left_header, request_id_header, sender_header}) {
    erase_first(request.headers, name);
  }
  request.headers = net::end_to_end_headers(request.headers);
  const auto cancellation = std::make_shared<net::cancellation_token>();
  open_attempts_.emplace(cancellation.get(), cancellation);
  writer.on_peer_disconnect([cancellation] { cancellation->cancel(); });
  net::exchange_limits limits;
  limits.connect_timeout = std::min(server_connect_timeout, attempt.time_left);
  limits.tcp_user_timeout = server_tcp_user_timeout;
  limits.head_timeout = attempt.time_left;
  limits.read_timeout = attempt.time_left;
  limits.body_bytes = std::numeric_limits<std::uint64_t>::max();
  limits.cancellation = cancellation;
  limits.request_tag = attempt.request_id;
  limits.may_send = [this, &attempt, &writer] {
    return writer.peer_connected() && find_server(attempt) != nullptr;
  };
  limits.is_expected = [this, &attempt](const net::http_response& head) {
    return shared_.wire.decode_answer(head).id == attempt.request_id;
  };
  auto opened = co_await shared_.http->open(server.address, std::move(request), limits);
  if (opened) {
    paths_.record_success(server);
    log_event(level::info, "forward_served",
              {{"request_id", attempt.request_id},
               {"server", server.id},
               {"sender", attempt.sender},
               {"status", (*opened)->head().status}});
    co_await deliver(**opened, writer);
  } else {
    if (path_monitor::is_path_failure(opened.last_reason())) {
      paths_.record_failure(server);
    }
    count_malformed_answer(shared_, server.service, opened.last_reason());
    co_await fail(attempt, opened.last_reason(), writer);
  }
  open_attempts_.erase(cancellation.get());
}

asio::awaitable<void> forward_link::answer_check(const incoming& attempt,
                                                 net::response_writer& writer) {
  const servers::server_entry* listed = find_server(attempt);
  net::connect_check found = net::connect_check::unknown;
  if (listed != nullptr) {
    found = co_await paths_.check_crash(*listed);
  }
  std::string_view outcome = server_unknown;
  if (found != net::connect_check::unknown) {
    outcome = found == net::connect_check::accepted ? server_accepts : server_refuses;
  }
  net::http_response response;
  response.headers.emplace_back(std::string(outcome_header), std::string(outcome));
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> forward_link::deliver(net::response_stream& answer,
                                            net::response_writer& writer) {
  net::header_list headers = net::end_to_end_headers(answer.head().headers);
  const net::header_list mark = outcome_headers(forward_outcome::responded);
  headers.insert(headers.begin(), mark.begin(), mark.end());
  const auto started = co_await writer.start(answer.head().status, std::move(headers));
  bool delivered = started.has_value();
  while (delivered) {
    auto piece = co_await answer.read();
    if (!piece) {
      writer.abort();
      co_return;
    }
    if (piece->empty()) {
      std::ignore = co_await writer.finish();
      co_return;
    }
    const auto written = co_await writer.write(*piece);
    delivered = written.has_value();
  }
  answer.cancel();
}

asio::awaitable<void> forward_link::refuse(const incoming& attempt, forward_outcome outcome,
                                           net::response_writer& writer) {
  log_event(level::info, "forward_refused",
            {{"request_id", attempt.request_id},
             {"server", attempt.server_id},
             {"sender", attempt.sender},
             {"why", to_string(outcome)}});
  net::http_response response;
  response.status = status_bad_gateway;
  response.headers = outcome_headers(outcome);
  std::ignore = co_await writer.send(std::move(response));
}

asio::awaitable<void> forward_link::fail(const incoming& attempt, const net::net_failure& failure,
                                         net::response_writer& writer) {
  log_event(level::info, "forward_failed",
            {{"request_id", attempt.request_id},
             {"server", attempt.server_id},
             {"sender", attempt.sender},
             {"why", net::to_string(failure.kind)},
             {"sent", failure.request_may_have_been_sent}});
  net::http_response response;
  response.status = status_bad_gateway;
  response.headers =
      outcome_headers(failure.request_may_have_been_sent ? forward_outcome::may_be_sent
                                                         : forward_outcome::server_unreachable);
  std::ignore = co_await writer.send(std::move(response));
}

void forward_link::cancel_attempts() {
  for (const auto& [key, cancellation] : std::map(open_attempts_)) {
    cancellation->cancel();
  }
}

}  // namespace hawthornnotch::gateway::internal
