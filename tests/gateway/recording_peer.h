// A peer that records the messages it receives.
#ifndef HAWTHORNNOTCH_TESTS_GATEWAY_RECORDING_PEER_H_
#define HAWTHORNNOTCH_TESTS_GATEWAY_RECORDING_PEER_H_

#include <vector>

#include "gateway_fixture.h"
#include "hawthornnotch/relay/exchange.h"

namespace hawthornnotch::test {

enum class peer_knowledge : std::uint8_t {
  // Knows nothing and announces no features.
  none,
  // Has each configuration and list that it is told of, and understands suspicions.
  current,
};

class recording_peer {
 public:
  explicit recording_peer(loopback_runtime& runtime,
                          peer_knowledge knowledge = peer_knowledge::none);
  [[nodiscard]] endpoint address() const { return server_.address(); }
  [[nodiscard]] std::vector<relay::exchange_message> received_messages();
  [[nodiscard]] std::vector<http_request> received_requests() { return server_.received(); }

 private:
  fake_server server_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_GATEWAY_RECORDING_PEER_H_
