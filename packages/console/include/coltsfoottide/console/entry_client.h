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

// Calls entries, one call at a time, and runs an event loop on the current Qt
// thread until the answer arrives. A call without an answer is retried through
// the other entries, so every request must be safe to repeat: by its ticket,
// its change id, or because it only reads.
class EntryClient {
 public:
  // `err` receives a line for each attempt that failed.
  EntryClient(std::vector<std::string> entries, std::ostream& err);

  struct Result {
    CallOutcome outcome = CallOutcome::kNotSent;
    // An earlier attempt was sent and got no answer, so it may have been accepted
    // even if the last attempt was refused.
    bool earlier_attempt_lost = false;
  };

  // Calls a method such as "Caller/Submit" through the preferred entry and, on
  // failure, through the others. `time_limit` applies to each attempt.
  Result Call(const std::string& method, const google::protobuf::Message& request,
              google::protobuf::Message* response, std::chrono::milliseconds time_limit);

  // Makes one attempt through one entry; reports a failure on `err`.
  CallOutcome CallOne(const std::string& entry, const std::string& method,
                      const google::protobuf::Message& request, google::protobuf::Message* response,
                      std::chrono::milliseconds time_limit);

  const std::vector<std::string>& entries() const { return entries_; }

 private:
  http::ClientResponse Post(const std::string& url, std::string body,
                            std::chrono::milliseconds time_limit);

  std::vector<std::string> entries_;
  std::ostream& err_;
  // Index of the entry that answered last, which is tried first.
  std::size_t preferred_ = 0;
  std::unique_ptr<http::Client> client_;
};

}  // namespace coltsfoottide::console
