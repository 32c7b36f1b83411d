#pragma once

#include <variant>

#include "coltsfoottide/http/server.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::daemon {

using ApiRequest = std::variant<api::ObtainTicketsRequest, api::SubmitRequest, api::WaitRequest,
                                api::CancelRequest, api::StatusRequest, api::ChangeConfigRequest,
                                api::GetConfigRequest, api::ListWorkersRequest,
                                api::ListJobsRequest, api::GetMetricsRequest>;

enum class BodyFormat { kJson, kBinary };

// A call of the schema as it came over HTTP.
struct ApiCall {
  ApiRequest request;
  BodyFormat format = BodyFormat::kJson;
};

// Reads a call from "POST /v1/<Service>/<Method>"; gives the HTTP response of
// the refusal when the path, method, type or body is wrong.
std::variant<ApiCall, http::Response> DecodeCall(const http::Request& request);

// Writes a response message in the caller's format, with the HTTP status of
// its error if it has one.
http::Response EncodeResponse(const google::protobuf::Message& message, BodyFormat format,
                              const api::Error* error);

// Makes the HTTP response of a refused request, with a JobResponse body.
http::Response EncodeRefusal(int status, const api::Error& error, BodyFormat format);

// HTTP status of an error, by its reason.
int HttpStatus(const api::Error& error);

}  // namespace coltsfoottide::daemon
