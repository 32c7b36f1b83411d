#include "topic_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/http/server.h"

namespace coltsfoottide::daemon {
namespace {

constexpr int kGone = 410;
// Only a test that hangs waits this long.
constexpr core::Duration kHang = std::chrono::seconds(20);

template <typename Done>
bool RunUntil(Done done) {
  const core::TimePoint end = BootNow() + kHang;
  while (!done() && BootNow() < end) QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  return done();
}

// An answer to a read: the end of the topic, its first offset 0, and `records` records.
http::Response ReadAnswer(char end, int records) {
  http::Response response;
  response.body = std::string(7, '\0') + end + std::string(8, '\0');
  for (int i = 0; i < records; ++i) response.body += std::string("\0\0\0\3\1kv", 7);
  return response;
}

http::Response Snapshot(int end) {
  http::Response response;
  response.body = R"({"items":[],"More":false,"End":)" + std::to_string(end) + "}";
  return response;
}

}  // namespace

class TopicFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TopicFollowerTest);
  CPPUNIT_TEST(OutdatedAnswerConfirmsNothing);
  CPPUNIT_TEST(OutdatedSnapshotMovesNoOffsetBack);
  CPPUNIT_TEST(AnswerIsCompleteAsOfTheTimeOfTheRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    application_ = std::make_unique<QCoreApplication>(argc_, nullptr);
    http::ServerCallbacks callbacks;
    callbacks.on_request = [this](const http::Request& request) {
      queries_.push_back(request.query);
      if (answers_.size() < queries_.size()) return;
      std::this_thread::sleep_for(pause_);
      server_->Respond(request.id, answers_[queries_.size() - 1]);
    };
    server_ = std::move(std::get<std::unique_ptr<http::Server>>(
        http::MakeServer("127.0.0.1", 0, {}, std::move(callbacks))));
    store_ = std::make_unique<platform::StoreClient>("http://127.0.0.1:" +
                                                     std::to_string(server_->port()));
    TopicFollower::Events events;
    events.on_snapshot = [this](const auto& /*batch*/, core::TimePoint complete_at) {
      ages_.push_back(BootNow() - complete_at);
    };
    events.on_records = events.on_snapshot;
    events.on_outdated = [this](std::uint64_t end, std::uint64_t /*expected*/) {
      outdated_.push_back(end);
    };
    events.on_reachable = [](bool) {};
    follower_ = std::make_unique<TopicFollower>(*store_, "keyed.op", events);
  }

  void tearDown() override {
    follower_.reset();
    store_.reset();
    server_.reset();
    application_.reset();
    queries_.clear();
    answers_.clear();
    ages_.clear();
    pause_ = {};
    outdated_.clear();
  }

 private:
  // Whether the query with this number asks for records from `offset`.
  bool ReadsFrom(std::size_t number, int offset) const {
    return queries_.at(number).find("From=" + std::to_string(offset) + "&") != std::string::npos;
  }

  // Guards against a view that counts as confirmed by an answer of a store that is behind.
  void OutdatedAnswerConfirmsNothing() {
    answers_ = {Snapshot(5), ReadAnswer(6, 1), ReadAnswer(3, 0)};
    follower_->Begin();
    CPPUNIT_ASSERT(RunUntil([this] { return queries_.size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ages_.size());
    CPPUNIT_ASSERT((outdated_ == std::vector<std::uint64_t>{3}));
    CPPUNIT_ASSERT(ReadsFrom(2, 6) && ReadsFrom(3, 6));
  }

  // Guards against a topic that is read again from an earlier offset, and against reads
  // without a pause while the store is behind.
  void OutdatedSnapshotMovesNoOffsetBack() {
    http::Response gone;
    gone.status = kGone;
    answers_ = {Snapshot(5), gone, Snapshot(2)};
    follower_->Begin();
    CPPUNIT_ASSERT(RunUntil([this] { return queries_.size() == 2; }));
    const core::TimePoint refused = BootNow();
    CPPUNIT_ASSERT(RunUntil([this] { return queries_.size() == 4; }));
    CPPUNIT_ASSERT(BootNow() - refused >= std::chrono::milliseconds(90));
    CPPUNIT_ASSERT((outdated_ == std::vector<std::uint64_t>{2}));
    CPPUNIT_ASSERT(ReadsFrom(3, 5));
  }

  // Guards against a process that stood still and takes the time at which it reads an
  // answer for the time at which the store gave it.
  void AnswerIsCompleteAsOfTheTimeOfTheRead() {
    answers_ = {Snapshot(5), ReadAnswer(6, 1)};
    pause_ = std::chrono::milliseconds(100);
    follower_->Begin();
    CPPUNIT_ASSERT(RunUntil([this] { return ages_.size() == 2; }));
    CPPUNIT_ASSERT(ages_[0] >= pause_);
    CPPUNIT_ASSERT(ages_[1] >= pause_);
  }

  int argc_ = 0;
  std::unique_ptr<QCoreApplication> application_;
  std::vector<std::string> queries_;
  // Answers to the requests, in their order; further requests stay unanswered.
  std::vector<http::Response> answers_;
  // How long the process stands still before each answer.
  std::chrono::milliseconds pause_{};
  // Time since each snapshot or batch was complete, when it was handed on.
  std::vector<core::Duration> ages_;
  std::vector<std::uint64_t> outdated_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<TopicFollower> follower_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TopicFollowerTest);

}  // namespace coltsfoottide::daemon
