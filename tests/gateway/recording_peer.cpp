#include "recording_peer.h"

#include <tuple>

#include "hawthornnotch/net/deflate.h"
#include "test_case.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;

namespace {

relay::exchange_message empty_message() {
  relay::exchange_message message;
  message.from.vm = "entry-9";
  message.from.address = {"127.0.0.1", 1};
  return message;
}

relay::exchange_message decode_request(const http_request& request) {
  constexpr std::size_t max_bytes = 1'000'000;
  const auto plain = net::inflate(request.body, max_bytes);
  auto message = relay::decode(plain ? *plain : "");
  CPPUNIT_ASSERT(message.has_value());
  return std::move(*message);
}

asio::awaitable<void> answer_empty(const http_request& /*request*/, net::response_writer& writer) {
  http_response answer;
  answer.body = net::deflate(relay::encode(empty_message()));
  std::ignore = co_await writer.send(std::move(answer));
}

asio::awaitable<void> answer_current(const http_request& request, net::response_writer& writer) {
  const relay::exchange_message theirs = decode_request(request);
  relay::exchange_message own = empty_message();
  own.config_version = theirs.config_version;
  own.list_version = theirs.list_version;
  own.list_digest = theirs.list_digest;
  http_response answer;
  answer.headers.emplace_back("Exchange-Features", "suspicions");
  answer.body = net::deflate(relay::encode(own));
  std::ignore = co_await writer.send(std::move(answer));
}

}  // namespace

recording_peer::recording_peer(loopback_runtime& runtime, peer_knowledge knowledge)
    : server_(runtime, "entry-9",
              knowledge == peer_knowledge::none ? answer_empty : answer_current) {}

std::vector<relay::exchange_message> recording_peer::received_messages() {
  std::vector<relay::exchange_message> messages;
  for (const http_request& request : server_.received()) {
    messages.push_back(decode_request(request));
  }
  return messages;
}

}  // namespace hawthornnotch::test
