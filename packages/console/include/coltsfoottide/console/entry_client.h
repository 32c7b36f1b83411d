#pragma once

#include <google/protobuf/message.h>

#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "coltsfoottide/console/call_reply.h"
#include "coltsfoottide/http/client.h"

namespace coltsfoottide::console {

// Makes one call at a time to the entries given and waits for its answer on
// the current Qt thread. A call without an answer is repeated through the
// other entries, so every request must be safe to repeat: by its ticket, its
// change id, or because it only reads.
class EntryClient {
 public:
  // `err` receives a line for each attempt that failed.
  EntryClient(std::vector<std::string> entries, std::ostream& err);

  struct Result {
    CallEnd end = CallEnd::kNotSent;
    // An earlier attempt was sent and got no answer, so that a refusal of the
    // last one says nothing about it.
    bool earlier_attempt_lost = false;
  };

  // Calls e.g. "Caller/Submit".
  Result Call(const std::string& method, const google::protobuf::Message& request,
              google::protobuf::Message* response, std::chrono::milliseconds time_limit);

  // Calls one entry only.
  CallEnd CallOne(const std::string& entry, const std::string& method,
                  const google::protobuf::Message& request, google::protobuf::Message* response,
                  std::chrono::milliseconds time_limit);

  const std::vector<std::string>& entries() const { return entries_; }

 private:
  http::ClientResponse Post(const std::string& url, std::string body,
                            std::chrono::milliseconds time_limit);

  std::vector<std::string> entries_;
  std::ostream& err_;
  // Entry that answered last.
  std::size_t preferred_ = 0;
  std::unique_ptr<http::Client> client_;
};

}  // namespace coltsfoottide::console
