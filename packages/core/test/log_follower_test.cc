#include "log_follower.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "control_fakes.h"

namespace coltsfoottide::core {
namespace {

using testing::ChangeData;
using testing::FakeLog;
using testing::RegisterData;
using testing::SnapshotData;

// Reads until the follower has nothing more to read.
FollowResult Follow(const FakeLog& log, LogFollower* follower) {
  FollowResult result = FollowResult::kMore;
  while (result == FollowResult::kMore) {
    result = follower->OnBatch(log.Read(follower->NextRead(), 3), follower->known_next());
  }
  return result;
}

class LogFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogFollowerTest);
  CPPUNIT_TEST(WaitsForAUsableSnapshot);
  CPPUNIT_TEST(ShorterLogIsInconsistent);
  CPPUNIT_TEST(ReplacedStateEndsTheWait);
  CPPUNIT_TEST(TruncatedLogGivesTheSameState);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a state that lacks records which the log no longer retains.
  void WaitsForAUsableSnapshot() {
    FakeLog log;
    ConfigState writer;
    ConfigState early;
    for (std::uint64_t n = 0; n < 6; ++n) {
      log.records.push_back(ChangeData("c" + std::to_string(n), "team" + std::to_string(n), 5));
      writer.Apply(n, log.records.back());
      if (n == 1) {
        early.ReplaceIfNewer(writer.ToData());
      }
    }
    log.first = 4;
    log.records.push_back(SnapshotData(early));
    ConfigState state;
    LogFollower follower(state);
    CPPUNIT_ASSERT(Follow(log, &follower) == FollowResult::kWaitingForSnapshot);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.next_offset());
    log.records.push_back(SnapshotData(writer));
    log.records.push_back(ChangeData("last", "team0", 9));
    CPPUNIT_ASSERT(Follow(log, &follower) == FollowResult::kReachedEnd);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, state.next_offset());
    CPPUNIT_ASSERT_EQUAL(9U, state.Quota("team0")->starts_per_second());
    CPPUNIT_ASSERT(state.Outcome("c5"));
  }

  // Guards against applying a replaced log to an older configuration.
  void ShorterLogIsInconsistent() {
    FakeLog log;
    log.records = {RegisterData("10.0.0.1:1", 1), ChangeData("c", "coaches", 5)};
    ConfigState state;
    LogFollower follower(state);
    CPPUNIT_ASSERT(Follow(log, &follower) == FollowResult::kReachedEnd);
    log.records.pop_back();
    CPPUNIT_ASSERT(Follow(log, &follower) == FollowResult::kInconsistent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.next_offset());
    // An answer to a read sent before an append of this process is old, but not
    // inconsistent.
    log.records.push_back(ChangeData("c", "coaches", 5));
    const LogBatch old = log.Read(2, 3);
    follower.OnAppended(2, ChangeData("d", "coaches", 6));
    CPPUNIT_ASSERT(follower.OnBatch(old, 2) == FollowResult::kReachedEnd);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.next_offset());
  }

  // Guards against buffered records lost or applied twice after a peer's state
  // has replaced the state.
  void ReplacedStateEndsTheWait() {
    FakeLog log;
    ConfigState writer;
    ConfigState peer;
    for (std::uint64_t n = 0; n < 6; ++n) {
      log.records.push_back(ChangeData("c" + std::to_string(n), "coaches", 5));
      writer.Apply(n, log.records.back());
      if (n == 3) {
        peer.ReplaceIfNewer(writer.ToData());
      }
    }
    log.first = 3;
    ConfigState state;
    LogFollower follower(state);
    CPPUNIT_ASSERT(Follow(log, &follower) == FollowResult::kWaitingForSnapshot);
    state.ReplaceIfNewer(peer.ToData());
    follower.OnStateReplaced();
    CPPUNIT_ASSERT(Follow(log, &follower) == FollowResult::kReachedEnd);
    CPPUNIT_ASSERT_EQUAL(writer.ToData().SerializeAsString(), state.ToData().SerializeAsString());
  }

  // Guards against readers that disagree depending on when they started and
  // on what the log retained then.
  void TruncatedLogGivesTheSameState() {
    CPPUNIT_ASSERT(
        rc::check("a follower of a truncated log ends with the writer's state or waits", [] {
          FakeLog log;
          ConfigState writer;
          ConfigState reader;
          LogFollower follower(reader);
          const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
          for (const int step : steps) {
            if (step == 0) {
              log.first += *rc::gen::inRange<std::uint64_t>(0, log.records.size() - log.first + 1);
            } else if (step == 1) {
              Follow(log, &follower);
            } else {
              const auto id = std::to_string(log.records.size());
              log.records.push_back(step == 2 ? SnapshotData(writer) : ChangeData(id, id, 5));
              writer.Apply(log.records.size() - 1, log.records.back());
            }
          }
          const FollowResult result = Follow(log, &follower);
          if (result == FollowResult::kReachedEnd) {
            RC_ASSERT(reader.ToData().SerializeAsString() == writer.ToData().SerializeAsString());
          } else {
            RC_ASSERT(result == FollowResult::kWaitingForSnapshot);
            RC_ASSERT(follower.snapshot_next() < log.first);
          }
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogFollowerTest);

}  // namespace
}  // namespace coltsfoottide::core
