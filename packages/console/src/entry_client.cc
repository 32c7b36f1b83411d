#include "coltsfoottide/console/entry_client.h"

#include <QEventLoop>
#include <map>
#include <utility>

namespace coltsfoottide::console {
namespace {

constexpr int kConnections = 4;

}  // namespace

EntryClient::EntryClient(std::vector<std::string> entries, std::ostream& err)
    : entries_(std::move(entries)), err_(err), client_(http::MakeClient(kConnections)) {}

EntryClient::Result EntryClient::Call(const std::string& method,
                                      const google::protobuf::Message& request,
                                      google::protobuf::Message* response,
                                      std::chrono::milliseconds time_limit) {
  Result result;
  for (std::size_t n = 0; n < entries_.size(); ++n) {
    const std::size_t index = (preferred_ + n) % entries_.size();
    result.outcome = CallOne(entries_[index], method, request, response, time_limit);
    if (result.outcome == CallOutcome::kAnswered) {
      preferred_ = index;
      return result;
    }
    result.earlier_attempt_lost |= result.outcome == CallOutcome::kLost;
  }
  result.outcome = result.earlier_attempt_lost ? CallOutcome::kLost : CallOutcome::kNotSent;
  return result;
}

CallOutcome EntryClient::CallOne(const std::string& entry, const std::string& method,
                                 const google::protobuf::Message& request,
                                 google::protobuf::Message* response,
                                 std::chrono::milliseconds time_limit) {
  const http::ClientResponse reply =
      Post(entry + "/v1/" + method, request.SerializeAsString(), time_limit);
  const CallOutcome outcome = ParseReply(reply, response);
  if (outcome != CallOutcome::kAnswered) {
    err_ << method << " through " << entry << ": " << DescribeFailure(reply) << '\n';
  }
  return outcome;
}

http::ClientResponse EntryClient::Post(const std::string& url, std::string body,
                                       std::chrono::milliseconds time_limit) {
  const std::map<std::string, std::string> headers = {{"Content-Type", "application/x-protobuf"},
                                                      {"Accept", "application/x-protobuf"}};
  http::ClientResponse reply;
  bool done = false;
  QEventLoop loop;
  client_->Post(url, headers, std::move(body), time_limit, [&](http::ClientResponse response) {
    reply = std::move(response);
    done = true;
    loop.quit();
  });
  if (!done) {
    loop.exec();
  }
  return reply;
}

}  // namespace coltsfoottide::console
