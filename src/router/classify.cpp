#include "hawthornnotch/router/classify.h"

#include <algorithm>
#include <boost/json/parse.hpp>

#include "hawthornnotch/base/hash.h"

namespace hawthornnotch::router {

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view services_path = "/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view workspace_header = "x-hawthornnotch-workspace";
constexpr std::string_view class_header = "x-hawthornnotch-class";
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::size_t max_json_depth = 64;
// Length of the prompt prefix that is hashed to find servers that may have it cached; shorter
// prompts are not hashed.
constexpr std::size_t prefix_bytes = 1024;

failed<rejection> reject(reject_code code, std::string detail = "") {
  return failed{rejection{code, execution_outcome::not_run, std::nullopt, std::move(detail)}};
}

const request_class* find_class(const workspace_parameters& workspace, std::string_view name) {
  const auto found =
      std::find_if(workspace.classes.begin(), workspace.classes.end(),
                   [&](const request_class& candidate) { return candidate.name == name; });
  return found == workspace.classes.end() ? nullptr : &*found;
}

bool may_call(const workspace_parameters& workspace, std::string_view name) {
  const auto& allowed = workspace.models;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

// The first `prefix_bytes` of a prompt and the size of the whole prompt.
struct prompt_summary {
  std::string head;
  std::size_t bytes = 0;

  void add(std::string_view text) {
    bytes += text.size();
    const std::size_t room = prefix_bytes - std::min(prefix_bytes, head.size());
    head.append(text.substr(0, room));
  }
};

bool summarise_messages(const boost::json::object& body, prompt_summary& into) {
  const boost::json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
    return false;
  }
  for (const boost::json::value& message : messages->as_array()) {
    if (!message.is_object() || !message.as_object().contains("role")) {
      return false;
    }
    const boost::json::value* content = message.as_object().if_contains("content");
    if (content != nullptr && content->is_string()) {
      into.add(content->as_string());
    }
  }
  return true;
}

bool summarise(model_endpoint path, const boost::json::object& body, prompt_summary& into) {
  if (path == model_endpoint::chat) {
    return summarise_messages(body, into);
  }
  const boost::json::value* prompt = body.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return false;
  }
  into.add(prompt->as_string());
  return true;
}

bool expects_text_only(const boost::json::object& body) {
  for (const char* key : {"tools", "functions", "logprobs", "echo", "suffix"}) {
    const boost::json::value* value = body.if_contains(key);
    const bool is_requested = value != nullptr && !value->is_null() && *value != false;
    if (is_requested) {
      return false;
    }
  }
  return true;
}

result<boost::json::object, rejection> parse_body(const std::string& text) {
  boost::json::parse_options options;
  options.max_depth = max_json_depth;
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error, {}, options);
  if (error) {
    return reject(reject_code::malformed_body, error.message());
  }
  if (!value.is_object()) {
    return reject(reject_code::malformed_body, "an object is expected");
  }
  return std::move(value.as_object());
}

// Reads an optional positive integer.  \returns false if the key holds something else.
bool read_count(const boost::json::object& body, const char* key, std::uint32_t& into) {
  const boost::json::value* value = body.if_contains(key);
  if (value == nullptr || value->is_null()) {
    return true;
  }
  boost::json::error_code error;
  const bool is_whole = value->is_int64() || value->is_uint64();
  if (!is_whole) {
    return false;
  }
  into = value->to_number<std::uint32_t>(error);
  return !error && into > 0;
}

// Reads an optional boolean.  \returns false if the key holds something else.
bool read_flag(const boost::json::object& body, const char* key, bool& into) {
  const boost::json::value* value = body.if_contains(key);
  if (value == nullptr || value->is_null()) {
    return true;
  }
  if (!value->is_bool()) {
    return false;
  }
  into = value->as_bool();
  return true;
}

// Reads the numbers and flags of a model call.  \returns the name of the invalid key, or empty.
std::string_view read_options(model_call& call, std::uint32_t& choices) {
  if (!read_flag(call.body, "stream", call.stream)) {
    return "stream";
  }
  if (!read_count(call.body, "max_tokens", call.max_tokens)) {
    return "max_tokens";
  }
  if (!read_count(call.body, "max_completion_tokens", call.max_tokens)) {
    return "max_completion_tokens";
  }
  if (!read_count(call.body, "n", choices)) {
    return "n";
  }
  return {};
}

result<model_call, rejection> read_model_call(const std::string& text, model_endpoint path,
                                              policy::request_profile& profile) {
  auto body = parse_body(text);
  if (!body) {
    return failed{body.last_reason()};
  }
  model_call call;
  call.path = path;
  call.body = std::move(*body);
  const boost::json::value* model = call.body.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return reject(reject_code::malformed_body, "model");
  }
  std::uint32_t choices = 1;
  if (const std::string_view invalid_key = read_options(call, choices); !invalid_key.empty()) {
    return reject(reject_code::malformed_body, std::string(invalid_key));
  }
  if (choices != 1) {
    return reject(reject_code::unsupported_request, "n must be 1");
  }
  prompt_summary prompt;
  if (!summarise(path, call.body, prompt)) {
    return reject(reject_code::malformed_body,
                  path == model_endpoint::chat ? "messages" : "prompt");
  }
  call.resumable = expects_text_only(call.body);
  profile.serves = std::string(model->as_string());
  profile.prompt_bytes = static_cast<std::uint32_t>(prompt.bytes);
  profile.prefix_hash = prompt.head.size() < prefix_bytes ? 0 : stable_hash(prompt.head);
  return call;
}

result<service_call, rejection> read_service_call(const net::http_request& request,
                                                  policy::request_profile& profile) {
  const std::string_view rest = std::string_view(request.target).substr(services_path.size());
  const std::size_t slash = std::min(rest.find_first_of("/?"), rest.size());
  profile.serves = std::string(rest.substr(0, slash));
  if (profile.serves.empty()) {
    return reject(reject_code::unknown_path);
  }
  service_call call;
  call.method = request.method;
  call.target = std::string(rest.substr(slash));
  if (call.target.empty() || call.target.front() != '/') {
    call.target.insert(0, "/");
  }
  call.content_type = std::string(request.header("Content-Type").value_or(""));
  call.body = request.body;
  return call;
}

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

// Sets `call` and the fields of the profile that come from the request itself.
std::optional<rejection> read_call(const net::http_request& request, classified_request& into) {
  const std::string_view path = path_of(request.target);
  if (path.substr(0, services_path.size()) == services_path) {
    auto call = read_service_call(request, into.profile);
    if (!call) {
      return call.last_reason();
    }
    into.call = std::move(*call);
    return std::nullopt;
  }
  const bool is_chat = path == chat_path;
  if (!is_chat && path != completion_path) {
    return rejection{reject_code::unknown_path, execution_outcome::not_run, std::nullopt, ""};
  }
  if (request.method != "POST") {
    return rejection{reject_code::method_not_allowed, execution_outcome::not_run, std::nullopt,
                     "POST"};
  }
  auto call = read_model_call(
      request.body, is_chat ? model_endpoint::chat : model_endpoint::completion, into.profile);
  if (!call) {
    return call.last_reason();
  }
  into.call = std::move(*call);
  return std::nullopt;
}

// Sets the idempotency key and the fingerprint unless the class is idempotent.
std::optional<rejection> read_idempotency_key(const net::http_request& request,
                                              classified_request& into) {
  if (into.profile.traffic_class.idempotent) {
    return std::nullopt;
  }
  const auto key = request.header("Idempotency-Key");
  if (!key) {
    return rejection{reject_code::missing_idempotency_key, execution_outcome::not_run, std::nullopt,
                     ""};
  }
  if (key->empty() || key->size() > max_idempotency_key_bytes || !is_printable(*key)) {
    return rejection{reject_code::bad_idempotency_key, execution_outcome::not_run, std::nullopt,
                     ""};
  }
  into.idempotency_key = std::string(*key);
  std::string identity = request.method;
  identity.append("\n").append(request.target);
  identity.append("\n").append(request.body);
  into.fingerprint = sha256_hex(identity);
  return std::nullopt;
}

// Checks that a backend server serves the name and that the workspace may use it.
std::optional<rejection> check_target(const classified_request& request,
                                      const workspace_parameters& workspace,
                                      const control_view& control) {
  const std::string& name = request.profile.serves;
  const bool is_model = std::holds_alternative<model_call>(request.call);
  const auto& known = is_model ? control.models : control.services;
  if (known.count(name) == 0) {
    return rejection{reject_code::unknown_model, execution_outcome::not_run, std::nullopt, ""};
  }
  if (!may_call(workspace, name)) {
    return rejection{reject_code::model_not_allowed, execution_outcome::not_run, std::nullopt, ""};
  }
  return std::nullopt;
}

// Assigns the class named by the class header, or the workspace's default class.
std::optional<rejection> assign_class(const net::http_request& request,
                                      const workspace_parameters& workspace,
                                      policy::request_profile& profile) {
  const auto class_name = request.header(class_header);
  const request_class* found = find_class(workspace, class_name.value_or(workspace.default_class));
  if (found == nullptr) {
    return rejection{reject_code::unknown_class, execution_outcome::not_run, std::nullopt, ""};
  }
  profile.traffic_class = *found;
  profile.workspace = workspace.workspace;
  profile.limits = workspace.limits;
  profile.retry_percent = workspace.retry_percent;
  return std::nullopt;
}

void cap_tokens(classified_request& request) {
  auto* call = std::get_if<model_call>(&request.call);
  if (call == nullptr) {
    return;
  }
  const std::uint32_t limit = request.profile.traffic_class.max_tokens;
  call->max_tokens = call->max_tokens == 0 ? limit : std::min(call->max_tokens, limit);
}

}  // namespace

result<const workspace_parameters*, rejection> resolve_workspace(const net::http_request& request,
                                                                 const control_view& control,
                                                                 bool authenticate) {
  const workspace_parameters* found = nullptr;
  if (authenticate) {
    const std::string_view credentials = request.header("Authorization").value_or("");
    if (credentials.substr(0, bearer_prefix.size()) == bearer_prefix) {
      found = control.find_by_bearer_key(credentials.substr(bearer_prefix.size()));
    }
  } else {
    found = control.find_workspace(request.header(workspace_header).value_or(""));
  }
  if (found == nullptr) {
    return reject(reject_code::unauthorized);
  }
  return found;
}

result<classified_request, rejection> classify(const net::http_request& request, std::string id,
                                               const control_view& control, bool authenticate) {
  const auto found = resolve_workspace(request, control, authenticate);
  if (!found) {
    return failed{found.last_reason()};
  }
  const workspace_parameters& workspace = **found;
  classified_request classified;
  classified.id = std::move(id);
  classified.profile.id = classified.id;
  if (auto error = assign_class(request, workspace, classified.profile)) {
    return failed{std::move(*error)};
  }
  if (auto error = read_call(request, classified)) {
    return failed{std::move(*error)};
  }
  if (auto error = check_target(classified, workspace, control)) {
    return failed{std::move(*error)};
  }
  if (auto error = read_idempotency_key(request, classified)) {
    return failed{std::move(*error)};
  }
  cap_tokens(classified);
  return classified;
}

}  // namespace hawthornnotch::router
