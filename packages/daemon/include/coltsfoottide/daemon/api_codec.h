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

// A decoded API call and the format of its body.
struct ApiCall {
  ApiRequest request;
  BodyFormat format = BodyFormat::kJson;
};

// Decodes "POST /v1/<Service>/<Method>"; returns the HTTP error response when
// the path, method, content type or body is not valid.
std::variant<ApiCall, http::Response> DecodeCall(const http::Request& request);

// Encodes a response message in the caller's format. The HTTP status is that of
// `error`, or 200 when it is null.
http::Response EncodeResponse(const google::protobuf::Message& message, BodyFormat format,
                              const api::Error* error);

// Makes the HTTP response of a refused request, with a JobResponse body.
http::Response EncodeRefusal(int status, const api::Error& error, BodyFormat format);

// HTTP status of an error, by its reason.
int HttpStatus(const api::Error& error);

}  // namespace coltsfoottide::daemon
