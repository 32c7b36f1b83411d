#pragma once

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coltsfoottide/http/server.h"
#include "coltsfoottide/schema/api.pb.h"
#include "coltsfoottide/schema/errors.h"

namespace coltsfoottide::console {

// An entry that issues tickets with the sequence 42 and completes, refuses or
// drops all submissions. A complete answer has the results that a stand-in
// backend server returns.
class FakeEntry {
 public:
  enum class Submit { kComplete, kRefuse, kDrop };

  explicit FakeEntry(Submit submit) : submit_(submit) {
    http::ServerCallbacks callbacks;
    callbacks.on_request = [this](const http::Request& request) { OnRequest(request); };
    callbacks.on_abandoned = [](std::uint64_t) {};
    server_ = std::move(std::get<0>(http::MakeServer("127.0.0.1", 0, {}, std::move(callbacks))));
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(server_->port()); }
  const std::vector<std::uint64_t>& submitted() const { return submitted_; }

 private:
  void OnRequest(const http::Request& request) {
    if (request.path == "/v1/Caller/ObtainTickets") {
      api::ObtainTicketsResponse response;
      response.add_tickets()->set_sequence(42);
      response.mutable_tickets(0)->set_endpoint("10.0.0.5:7000");
      response.mutable_tickets(0)->set_data_centre("fes-c");
      Respond(request.id, response);
      return;
    }
    api::SubmitRequest submit;
    CPPUNIT_ASSERT(submit.ParseFromString(request.body));
    submitted_.push_back(submit.ticket().sequence());
    if (submit_ == Submit::kDrop) {
      server_->Drop(request.id);
      return;
    }
    api::JobResponse response;
    *response.mutable_answer() =
        submit_ == Submit::kComplete
            ? CompleteAnswer(submit.job())
            : schema::MakeFailedAnswer(submit.ticket(),
                                       schema::MakeError(api::NOT_RUN, api::QUOTA_EXCEEDED, ""));
    Respond(request.id, response);
  }

  static api::JobAnswer CompleteAnswer(const api::JobSpec& job) {
    api::JobAnswer answer;
    answer.set_state(api::COMPLETE);
    for (int n = 0; n < job.tasks_size(); ++n) {
      const std::size_t echo = job.tasks(n).payload().find("\"echo\"");
      answer.add_results()->set_index(static_cast<std::uint32_t>(n));
      if (echo != std::string::npos) {
        answer.mutable_results(n)->set_output("{" + job.tasks(n).payload().substr(echo));
      }
    }
    return answer;
  }

  void Respond(std::uint64_t id, const google::protobuf::Message& message) {
    http::Response response;
    response.content_type = "application/x-protobuf";
    response.body = message.SerializeAsString();
    server_->Respond(id, response);
  }

  Submit submit_;
  std::vector<std::uint64_t> submitted_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace coltsfoottide::console
