#include "coltsfoottide/core/config_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "control_fakes.h"

namespace coltsfoottide::core {
namespace {

using testing::ChangeData;
using testing::RegisterData;
using testing::SnapshotData;

// A log of random records, readable and not.
std::vector<std::string> AnyLog() {
  const auto any_record = rc::gen::exec([] {
    const auto id = "c" + std::to_string(*rc::gen::inRange(0, 30));
    const auto team = std::string(1, *rc::gen::elementOf(std::string("ab")));
    const auto kind = *rc::gen::inRange(0, 8);
    if (kind == 0) {
      return std::string("\xff unreadable");
    }
    if (kind == 1) {
      return RegisterData("10.0.0.1:" + std::to_string(*rc::gen::inRange(1, 4)),
                          *rc::gen::inRange<std::uint64_t>(1, 4));
    }
    if (kind == 2) {
      wire::LogRecord record;
      record.mutable_remove_entry()->set_endpoint("10.0.0.1:1");
      record.mutable_remove_entry()->set_incarnation(1);
      record.mutable_remove_entry()->set_roster_version(*rc::gen::inRange<std::uint64_t>(0, 9));
      return record.SerializeAsString();
    }
    const auto expected = *rc::gen::maybe(rc::gen::inRange<std::uint64_t>(0, 20));
    return ChangeData(id, team, 5,
                      expected ? std::optional<std::uint64_t>(*expected) : std::nullopt);
  });
  return *rc::gen::container<std::vector<std::string>>(any_record);
}

class ConfigStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStateTest);
  CPPUNIT_TEST(LosingChangeRecordsItsConflict);
  CPPUNIT_TEST(RepeatedChangeIsIgnored);
  CPPUNIT_TEST(UnreadableRecordCountsAsApplied);
  CPPUNIT_TEST(OffsetNeverDecreases);
  CPPUNIT_TEST(NewerIncarnationTakesTheSeat);
  CPPUNIT_TEST(MajorityRemovalIsIgnoredAfterARosterChange);
  CPPUNIT_TEST(ContinuingFromAnyPrefixGivesTheSameState);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two operators who both believe that their change took effect
  // when both have expected the same version.
  void LosingChangeRecordsItsConflict() {
    ConfigState state;
    state.Apply(0, RegisterData("10.0.0.1:1", 1));
    state.Apply(1, ChangeData("first", "coaches", 5, 0));
    state.Apply(2, ChangeData("second", "coaches", 9, 0));
    CPPUNIT_ASSERT(state.Outcome("first")->won());
    CPPUNIT_ASSERT(!state.Outcome("second")->won());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.Outcome("second")->current_version());
    CPPUNIT_ASSERT_EQUAL(5U, state.Quota("coaches")->starts_per_second());
    state.Apply(3, ChangeData("third", "coaches", 7));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.Version("quota/coaches"));
  }

  // Guards against a resent append undoing a change made in between.
  void RepeatedChangeIsIgnored() {
    ConfigState state;
    state.Apply(0, ChangeData("first", "coaches", 5));
    state.Apply(1, ChangeData("second", "coaches", 9));
    state.Apply(2, ChangeData("first", "coaches", 5));
    CPPUNIT_ASSERT_EQUAL(9U, state.Quota("coaches")->starts_per_second());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.Outcome("first")->offset());
  }

  // Guards against a process stuck at a record that it cannot read, such as one of
  // a newer version.
  void UnreadableRecordCountsAsApplied() {
    ConfigState state;
    CPPUNIT_ASSERT(state.Apply(0, "\xff not a record"));
    wire::LogRecord mismatch;
    mismatch.ParseFromString(ChangeData("odd", "coaches", 5));
    mismatch.mutable_change()->set_key("quota/others");
    CPPUNIT_ASSERT(state.Apply(1, mismatch.SerializeAsString()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.next_offset());
    CPPUNIT_ASSERT(state.items().empty());
  }

  // Guards against a process that returns to an older configuration because of an
  // older state, record or snapshot.
  void OffsetNeverDecreases() {
    ConfigState older;
    older.Apply(0, ChangeData("first", "coaches", 5));
    ConfigState state;
    state.Apply(0, ChangeData("first", "coaches", 5));
    state.Apply(1, ChangeData("second", "coaches", 9));
    CPPUNIT_ASSERT(!state.ReplaceIfNewer(older.ToData()));
    CPPUNIT_ASSERT(!state.Apply(1, ChangeData("third", "coaches", 1)));
    CPPUNIT_ASSERT(!state.Apply(3, ChangeData("third", "coaches", 1)));
    state.Apply(2, SnapshotData(older));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.next_offset());
    CPPUNIT_ASSERT_EQUAL(9U, state.Quota("coaches")->starts_per_second());
  }

  // Guards against a restarted entry counted twice in the majority.
  void NewerIncarnationTakesTheSeat() {
    ConfigState state;
    state.Apply(0, RegisterData("10.0.0.1:1", 1));
    state.Apply(1, RegisterData("10.0.0.2:1", 1));
    state.Apply(2, RegisterData("10.0.0.1:1", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.roster().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.roster()[0].incarnation());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.roster()[0].version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.roster()[0].seat());
  }

  // Guards against two removals at once, after which majorities of the rosters
  // before and after share no entry.
  void MajorityRemovalIsIgnoredAfterARosterChange() {
    ConfigState state;
    for (std::uint64_t n = 0; n < 3; ++n) {
      state.Apply(n, RegisterData("10.0.0." + std::to_string(n) + ":1", 1));
    }
    wire::LogRecord removal;
    removal.mutable_remove_entry()->set_endpoint("10.0.0.0:1");
    removal.mutable_remove_entry()->set_incarnation(1);
    removal.mutable_remove_entry()->set_roster_version(2);
    state.Apply(3, removal.SerializeAsString());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.roster().size());
    removal.mutable_remove_entry()->set_endpoint("10.0.0.1:1");
    state.Apply(4, removal.SerializeAsString());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.roster().size());
    removal.mutable_remove_entry()->set_change_id("forced");
    state.Apply(5, removal.SerializeAsString());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.roster().size());
  }

  // Guards against processes that disagree because one of them started from a
  // state in the middle of the log.
  void ContinuingFromAnyPrefixGivesTheSameState() {
    CPPUNIT_ASSERT(rc::check("applying depends on the records only", [] {
      const auto log = AnyLog();
      const auto split = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
      ConfigState whole;
      ConfigState continued;
      for (std::size_t n = 0; n < log.size(); ++n) {
        if (n == split) {
          continued.ReplaceIfNewer(whole.ToData());
        }
        whole.Apply(n, log[n]);
        if (n >= split) {
          RC_ASSERT(continued.Apply(n, log[n]));
        }
        RC_ASSERT(whole.next_offset() == n + 1);
      }
      if (split < log.size()) {
        RC_ASSERT(whole.ToData().SerializeAsString() == continued.ToData().SerializeAsString());
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

}  // namespace
}  // namespace coltsfoottide::core
