#include "hawthornnotch/rpc/method_server.h"

#include <jsonrpccpp/server.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace hawthornnotch::rpc {

namespace {

// Passes the response back to `handle`; the transport is the process's own HTTP listener.
class text_connector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* add_info) override {
    *static_cast<std::string*>(add_info) = response;
    return true;
  }
};

class json_rpc_server final : public jsonrpc::AbstractServer<json_rpc_server> {
 public:
  json_rpc_server(text_connector& connector, method_map method_table)
      : AbstractServer(connector), methods_(std::move(method_table)) {
    for (const auto& [name, callback] : methods_) {
      bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                                          "body", jsonrpc::JSON_STRING, nullptr),
                       &json_rpc_server::never_called);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const auto found = methods_.find(procedure.GetProcedureName());
    if (found == methods_.end()) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
    }
    const auto answer = found->second(input["body"].asString());
    if (!answer) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      std::string(to_string(answer.last_reason())));
    }
    output = *answer;
  }

 private:
  // HandleMethodCall dispatches by name, but the library requires a member function per method.
  void never_called(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  method_map methods_;
};

std::string error_response(int code, std::string_view message) {
  return boost::json::serialize(boost::json::value{
      {"jsonrpc", "2.0"}, {"id", nullptr}, {"error", {{"code", code}, {"message", message}}}});
}

class method_server_impl final : public method_server {
 public:
  explicit method_server_impl(method_map methods) : server_(connector_, std::move(methods)) {}

  std::string handle(std::string_view request_body) override {
    if (request_body.size() > max_request_bytes) {
      return error_response(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
                            to_string(codec_fault::too_large));
    }
    std::string answer;
    try {
      connector_.OnRequest(std::string(request_body), &answer);
    } catch (const std::exception&) {
      // The library's parser throws on JSON that is nested too deeply.
      return error_response(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR,
                            to_string(codec_fault::malformed_json));
    }
    return answer;
  }

 private:
  text_connector connector_;
  json_rpc_server server_;
};

}  // namespace

std::string_view to_string(codec_fault fault) {
  switch (fault) {
    case codec_fault::malformed_json:
      return "malformed_json";
    case codec_fault::wrong_shape:
      return "wrong_shape";
    case codec_fault::too_large:
      return "too_large";
  }
  return "unknown";
}

std::unique_ptr<method_server> method_server::create(method_map methods) {
  return std::make_unique<method_server_impl>(std::move(methods));
}

}  // namespace hawthornnotch::rpc
