#include "listening_peer.h"

#include <tuple>

#include "hawthornnotch/net/deflate.h"
#include "test_case.h"

namespace hawthornnotch::test {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> answer_with_nothing(const http_request& /*request*/,
                                          net::response_writer& writer) {
  relay::exchange_message nothing_known;
  nothing_known.from.vm = "entry-9";
  nothing_known.from.address = {"127.0.0.1", 1};
  http_response answer;
  answer.body = net::deflate(relay::encode(nothing_known));
  std::ignore = co_await writer.send(std::move(answer));
}

}  // namespace

listening_peer::listening_peer(loopback& around)
    : server_(around, "entry-9", answer_with_nothing) {}

std::vector<relay::exchange_message> listening_peer::heard() {
  std::vector<relay::exchange_message> messages;
  for (const http_request& request : server_.received()) {
    constexpr std::size_t most_bytes = 1'000'000;
    const auto plain = net::inflate(request.body, most_bytes);
    auto message = relay::decode(plain ? *plain : "");
    CPPUNIT_ASSERT(message.has_value());
    messages.push_back(std::move(*message));
  }
  return messages;
}

}  // namespace hawthornnotch::test
