#pragma once

#include <google/protobuf/message.h>

#include <string>

#include "coltsfoottide/http/client.h"

namespace coltsfoottide::console {

// How a call to an entry ended.
enum class CallOutcome {
  kAnswered,
  // The entry could not be reached; no part of the request was sent.
  kNotSent,
  // The request was sent at least in part; no usable answer was received.
  kLost,
};

// Parses the answer of a call made with a binary protobuf body. An HTTP error
// whose body is a message of the response type counts as answered.
CallOutcome ParseReply(const http::ClientResponse& reply, google::protobuf::Message* response);

// Returns a short reason why there is no usable answer.
std::string DescribeFailure(const http::ClientResponse& reply);

}  // namespace coltsfoottide::console
