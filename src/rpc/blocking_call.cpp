#include "rpc/blocking_call.h"

#include <jsonrpccpp/client.h>

namespace hawthornnotch {
namespace rpc {

namespace {

class function_connector final : public jsonrpc::IClientConnector {
 public:
  explicit function_connector(const call_transport& transport) : transport_(transport) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    if (!transport_(message, result)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

 private:
  const call_transport& transport_;
};

call_fault fault_of(int code) {
  if (code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR) {
    return call_fault::transport;
  }
  if (code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
      code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR) {
    return call_fault::malformed_answer;
  }
  return call_fault::refused;
}

}  // namespace

call_outcome blocking_call(const std::string& method, const std::string& body,
                           const call_transport& transport) {
  call_outcome outcome;
  try {
    function_connector connector(transport);
    jsonrpc::Client client(connector);
    Json::Value parameters(Json::objectValue);
    parameters["body"] = body;
    const Json::Value answer = client.CallMethod(method, parameters);
    if (answer.isString()) {
      outcome.body = answer.asString();
    } else {
      outcome.fault = call_fault::malformed_answer;
    }
  } catch (const jsonrpc::JsonRpcException& error) {
    outcome.code = error.GetCode();
    outcome.fault = fault_of(error.GetCode());
  } catch (const std::exception&) {
    outcome.fault = call_fault::malformed_answer;
  }
  return outcome;
}

}  // namespace rpc
}  // namespace hawthornnotch
