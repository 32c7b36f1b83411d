#include "coltsfoottide/daemon/api_codec.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/json.h"

namespace coltsfoottide::daemon {
namespace {

constexpr char kJsonType[] = "application/json";
constexpr char kBinaryType[] = "application/x-protobuf";

// What is wrong with a body, or the request it holds.
using Parsed = std::variant<ApiRequest, std::string>;
using Parser = std::function<Parsed(const std::string& body, BodyFormat format)>;

template <typename T>
Parsed ParseBody(const std::string& body, BodyFormat format) {
  T message;
  if (format == BodyFormat::kBinary) {
    if (!message.ParseFromString(body)) {
      return std::string("the body is not a valid binary message");
    }
    return ApiRequest(std::move(message));
  }
  if (const auto error = schema::FromJson(body.empty() ? "{}" : body, &message)) {
    return "the body is not valid JSON of the request: " + *error;
  }
  return ApiRequest(std::move(message));
}

const std::map<std::string, Parser>& Parsers() {
  static const auto& parsers = *new std::map<std::string, Parser>{
      {"/v1/Caller/ObtainTickets", ParseBody<api::ObtainTicketsRequest>},
      {"/v1/Caller/Submit", ParseBody<api::SubmitRequest>},
      {"/v1/Caller/Wait", ParseBody<api::WaitRequest>},
      {"/v1/Caller/Cancel", ParseBody<api::CancelRequest>},
      {"/v1/Caller/Status", ParseBody<api::StatusRequest>},
      {"/v1/Operator/ChangeConfig", ParseBody<api::ChangeConfigRequest>},
      {"/v1/Operator/GetConfig", ParseBody<api::GetConfigRequest>},
      {"/v1/Operator/ListWorkers", ParseBody<api::ListWorkersRequest>},
      {"/v1/Operator/ListJobs", ParseBody<api::ListJobsRequest>},
      {"/v1/Operator/GetMetrics", ParseBody<api::GetMetricsRequest>},
  };
  return parsers;
}

// Format of the body; JSON when there is no Content-Type or the one that curl
// sends by default.
std::optional<BodyFormat> FormatOf(const http::Request& request) {
  const auto it = request.headers.find("content-type");
  if (it == request.headers.end()) {
    return BodyFormat::kJson;
  }
  const std::string type = it->second.substr(0, it->second.find(';'));
  if (type == kJsonType || type == "application/x-www-form-urlencoded" || type.empty()) {
    return BodyFormat::kJson;
  }
  if (type == kBinaryType) {
    return BodyFormat::kBinary;
  }
  return std::nullopt;
}

http::Response Invalid(int status, std::string message, BodyFormat format) {
  return EncodeRefusal(
      status, schema::MakeError(api::NOT_RUN, api::INVALID_REQUEST, std::move(message)), format);
}

}  // namespace

int HttpStatus(const api::Error& error) {
  switch (error.reason()) {
    case api::INVALID_REQUEST:
    case api::TICKET_REQUIRED:
      return 400;
    case api::UNKNOWN_SERVICE:
    case api::TICKET_UNKNOWN:
      return 404;
    case api::CONFLICT:
    case api::TICKET_REUSED:
    case api::CANCELLED:
      return 409;
    case api::TICKET_RETIRED:
      return 410;
    case api::IMPOSSIBLE_NEEDS:
      return 422;
    case api::QUOTA_EXCEEDED:
      return 429;
    case api::TASK_FAILED:
    case api::WORKER_LOST:
    case api::COORDINATOR_LOST:
      return 502;
    case api::DEADLINE_EXCEEDED:
    case api::DEADLINE_UNREACHABLE:
      return 504;
    case api::INTERNAL:
      return 500;
    default:
      return 503;
  }
}

std::variant<ApiCall, http::Response> DecodeCall(const http::Request& request) {
  const auto format = FormatOf(request);
  if (!format) {
    return Invalid(415, "Content-Type must be application/json or application/x-protobuf",
                   BodyFormat::kJson);
  }
  const auto it = Parsers().find(request.path);
  if (it == Parsers().end()) {
    return Invalid(404, "unknown path; calls are POST /v1/<Service>/<Method>", *format);
  }
  if (request.method != "POST") {
    return Invalid(405, "calls are made with POST", *format);
  }
  Parsed parsed = it->second(request.body, *format);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    return Invalid(400, *error, *format);
  }
  return ApiCall{std::move(std::get<ApiRequest>(parsed)), *format};
}

http::Response EncodeResponse(const google::protobuf::Message& message, BodyFormat format,
                              const api::Error* error) {
  http::Response response;
  response.status = error == nullptr ? 200 : HttpStatus(*error);
  response.content_type = format == BodyFormat::kJson ? kJsonType : kBinaryType;
  response.body =
      format == BodyFormat::kJson ? schema::ToJson(message) + "\n" : message.SerializeAsString();
  return response;
}

http::Response EncodeRefusal(int status, const api::Error& error, BodyFormat format) {
  api::JobResponse message;
  *message.mutable_answer() = schema::MakeFailedAnswer({}, error);
  http::Response response = EncodeResponse(message, format, &error);
  response.status = status;
  return response;
}

}  // namespace coltsfoottide::daemon
