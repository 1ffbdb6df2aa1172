// Wrapper of libjsonrpccpp's client.  Its headers need C++14, so this header uses C++14 types only.
#ifndef HAWTHORNNOTCH_RPC_BLOCKING_CALL_H_
#define HAWTHORNNOTCH_RPC_BLOCKING_CALL_H_

#include <functional>
#include <string>

namespace hawthornnotch {
namespace rpc {

enum class call_fault { none, transport, malformed_answer, refused };

struct call_outcome {
  call_fault fault = call_fault::none;
  // JSON-RPC error code if the server refused the call.
  int code = 0;
  // The response's body if there is no fault.
  std::string body;
};

// Sends a request text and stores the response text in `answer`.  Returns false if there is none.
using call_transport = std::function<bool(const std::string& request, std::string& answer)>;

// Makes one JSON-RPC call; blocks as long as the transport does.  Never throws for a bad response.
call_outcome blocking_call(const std::string& method, const std::string& body,
                           const call_transport& transport);

}  // namespace rpc
}  // namespace hawthornnotch

#endif  // HAWTHORNNOTCH_RPC_BLOCKING_CALL_H_
