#include "coltsfoottide/console/call_reply.h"

namespace coltsfoottide::console {
namespace {

constexpr int kHttpOk = 200;

bool IsProtobuf(const http::ClientResponse& reply) {
  const auto it = reply.headers.find("content-type");
  return it != reply.headers.end() && it->second.starts_with("application/x-protobuf");
}

}  // namespace

CallOutcome ParseReply(const http::ClientResponse& reply, google::protobuf::Message* response) {
  if (reply.status == 0) {
    return reply.delivery == http::Delivery::kNotSent ? CallOutcome::kNotSent : CallOutcome::kLost;
  }
  const bool has_message = reply.status == kHttpOk || IsProtobuf(reply);
  return has_message && response->ParseFromString(reply.body) ? CallOutcome::kAnswered
                                                              : CallOutcome::kLost;
}

std::string DescribeFailure(const http::ClientResponse& reply) {
  if (reply.status != 0) {
    return "unusable answer, HTTP status " + std::to_string(reply.status);
  }
  return reply.error.empty() ? std::string("no answer") : reply.error;
}

}  // namespace coltsfoottide::console
