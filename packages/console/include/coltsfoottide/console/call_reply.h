#pragma once

#include <google/protobuf/message.h>

#include <string>

#include "coltsfoottide/http/client.h"

namespace coltsfoottide::console {

// How a call to an entry ended.
enum class CallEnd {
  kAnswered,
  // The entry could not be reached; it has seen nothing of the call.
  kNotSent,
  // Sent at least in part, without a usable answer.
  kLost,
};

// Parses the answer of a call made with a binary protobuf body. An HTTP error
// with a message of the call's type as its body counts as answered.
CallEnd ParseReply(const http::ClientResponse& reply, google::protobuf::Message* response);

// Says in a few words why there is no answer.
std::string DescribeFailure(const http::ClientResponse& reply);

}  // namespace coltsfoottide::console
