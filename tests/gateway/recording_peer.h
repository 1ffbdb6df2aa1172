// A peer that knows nothing and records the messages it receives.
#ifndef HAWTHORNNOTCH_TESTS_GATEWAY_RECORDING_PEER_H_
#define HAWTHORNNOTCH_TESTS_GATEWAY_RECORDING_PEER_H_

#include <vector>

#include "gateway_fixture.h"
#include "hawthornnotch/relay/exchange.h"

namespace hawthornnotch::test {

class recording_peer {
 public:
  explicit recording_peer(loopback_runtime& runtime);
  [[nodiscard]] endpoint address() const { return server_.address(); }
  [[nodiscard]] std::vector<relay::exchange_message> received_messages();
  [[nodiscard]] std::vector<http_request> received_requests() { return server_.received(); }

 private:
  fake_server server_;
};

}  // namespace hawthornnotch::test

#endif  // HAWTHORNNOTCH_TESTS_GATEWAY_RECORDING_PEER_H_
