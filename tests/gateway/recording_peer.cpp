#include "recording_peer.h"

#include <tuple>

#include "hawthornnotch/net/deflate.h"
#include "test_case.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> answer_empty(const http_request& /*request*/, net::response_writer& writer) {
  relay::exchange_message empty_message;
  empty_message.from.vm = "entry-9";
  empty_message.from.address = {"127.0.0.1", 1};
  http_response answer;
  answer.body = net::deflate(relay::encode(empty_message));
  std::ignore = co_await writer.send(std::move(answer));
}

}  // namespace

recording_peer::recording_peer(loopback_runtime& runtime)
    : server_(runtime, "entry-9", answer_empty) {}

std::vector<relay::exchange_message> recording_peer::received_messages() {
  std::vector<relay::exchange_message> messages;
  for (const http_request& request : server_.received()) {
    constexpr std::size_t max_bytes = 1'000'000;
    const auto plain = net::inflate(request.body, max_bytes);
    auto message = relay::decode(plain ? *plain : "");
    CPPUNIT_ASSERT(message.has_value());
    messages.push_back(std::move(*message));
  }
  return messages;
}

}  // namespace hawthornnotch::test
