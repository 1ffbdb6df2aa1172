// The boundary between libjsonrpccpp's client, which needs C++14, and the rest: plain C++14 types
// only.
#ifndef HAWTHORNNOTCH_RPC_BLOCKING_CALL_H_
#define HAWTHORNNOTCH_RPC_BLOCKING_CALL_H_

#include <functional>
#include <string>

namespace hawthornnotch {
namespace rpc {

enum class call_fault { none, transport, malformed_answer, refused };

struct call_outcome {
  call_fault fault = call_fault::none;
  // JSON-RPC error code, where the server refused.
  int code = 0;
  // The answer's body, where there is no fault.
  std::string body;
};

// Sends a request text and fills in the answer text; false if there is none.
using call_transport = std::function<bool(const std::string& request, std::string& answer)>;

// One JSON-RPC call; blocks for as long as the transport does.
call_outcome blocking_call(const std::string& method, const std::string& body,
                           const call_transport& transport);

}  // namespace rpc
}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_RPC_BLOCKING_CALL_H_
