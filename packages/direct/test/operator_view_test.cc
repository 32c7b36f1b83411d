#include "coltsfoottide/direct/operator_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

OperatorRecord Version(std::uint64_t offset, std::uint64_t version) {
  OperatorRecord record;
  record.offset = offset;
  record.configuration = Configuration{version, {}, 0, ""};
  return record;
}

OperatorRecord Evacuation(std::uint64_t offset, bool active) {
  OperatorRecord record;
  record.offset = offset;
  record.evacuated_data_centre = "a";
  record.evacuation_active = active;
  return record;
}

class OperatorViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorViewTest);
  CPPUNIT_TEST(VersionNeverGoesBack);
  CPPUNIT_TEST(OutdatedSnapshotIsIgnored);
  CPPUNIT_TEST(RepeatedRecordsChangeNothing);
  CPPUNIT_TEST(SnapshotWithoutAnEvacuationEndsIt);
  CPPUNIT_TEST(NewerViewOfAPeerIsAdopted);
  CPPUNIT_TEST(ViewOfAPeerConfirmsNothing);
  CPPUNIT_TEST(LateAnswerConfirmsAnEarlierTime);
  CPPUNIT_TEST(NewerConfigurationOfAnOutdatedSnapshotIsAdopted);
  CPPUNIT_TEST(LongestPrefixWins);
  CPPUNIT_TEST_SUITE_END();

  // Guards against replacing the configuration by an older one.
  void VersionNeverGoesBack() {
    OperatorView view;
    CPPUNIT_ASSERT(view.OnRecords({Version(3, 7)}, 4, kStart));
    CPPUNIT_ASSERT(!view.OnRecords({Version(4, 6)}, 5, kStart));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, view.configuration()->version);
  }

  // Guards against a snapshot of the store that is seconds old.
  void OutdatedSnapshotIsIgnored() {
    OperatorView view;
    view.OnSnapshot({Version(5, 7), Evacuation(6, true)}, 7, kStart);
    CPPUNIT_ASSERT(!view.OnSnapshot({Version(3, 5)}, 4, kStart));
    CPPUNIT_ASSERT(view.evacuated().contains("a"));
  }

  // Guards against an ended evacuation that returns because a reader of the log
  // has restarted at an earlier offset.
  void RepeatedRecordsChangeNothing() {
    OperatorView view;
    view.OnRecords({Evacuation(1, true), Evacuation(2, false)}, 3, kStart);
    CPPUNIT_ASSERT(!view.OnRecords({Evacuation(1, true)}, 2, kStart));
    CPPUNIT_ASSERT(view.evacuated().empty());
  }

  // Guards against an evacuation that stays in force because the record of its
  // end was missed.
  void SnapshotWithoutAnEvacuationEndsIt() {
    OperatorView view;
    view.OnRecords({Evacuation(1, true)}, 2, kStart);
    CPPUNIT_ASSERT(view.OnSnapshot({}, 3, kStart));
    CPPUNIT_ASSERT(view.evacuated().empty());
  }

  // Guards against an entry that has no configuration although other entries
  // have one, and against taking over an older view.
  void NewerViewOfAPeerIsAdopted() {
    OperatorView view;
    CPPUNIT_ASSERT(view.OnPeerView(Configuration{7, {}, 0, ""}, {"a"}, 9));
    CPPUNIT_ASSERT(view.evacuated().contains("a"));
    CPPUNIT_ASSERT(!view.OnPeerView(Configuration{7, {}, 0, ""}, {}, 8));
    CPPUNIT_ASSERT(view.evacuated().contains("a"));
  }

  // Guards against 404 for a route that was added since: the other entry may be cut off
  // from the store.
  void ViewOfAPeerConfirmsNothing() {
    OperatorView view;
    view.OnRecords({Version(0, 1)}, 1, kStart);
    CPPUNIT_ASSERT(view.OnPeerView(Configuration{7, {}, 0, ""}, {}, 9));
    CPPUNIT_ASSERT(view.confirmed_at() == kStart);
  }

  // Guards against a process that stood still and takes the answer that waited meanwhile
  // for a new one.
  void LateAnswerConfirmsAnEarlierTime() {
    OperatorView view;
    view.OnRecords({Version(0, 1)}, 1, kStart + Ms(500));
    view.OnRecords({}, 1, kStart + Ms(200));
    CPPUNIT_ASSERT(view.confirmed_at() == kStart + Ms(500));
    view.OnSnapshot({Version(0, 1)}, 1, kStart + Ms(900));
    CPPUNIT_ASSERT(view.confirmed_at() == kStart + Ms(900));
  }

  // Guards against a configuration that is missed because the end that came with it is
  // behind: the pages of a snapshot are not read at one time.
  void NewerConfigurationOfAnOutdatedSnapshotIsAdopted() {
    OperatorView view;
    view.OnPeerView(Configuration{3, {}, 0, ""}, {"a"}, 9);
    CPPUNIT_ASSERT(view.OnSnapshot({Version(9, 4)}, 8, kStart));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, view.configuration()->version);
    CPPUNIT_ASSERT(view.evacuated().contains("a"));
    CPPUNIT_ASSERT(view.confirmed_at() == core::TimePoint());
  }

  // Guards against routing a call by a shorter prefix.
  void LongestPrefixWins() {
    Configuration configuration;
    Route outer;
    outer.name = "outer";
    outer.host = "h";
    outer.path_prefix = "/a/";
    Route inner = outer;
    inner.name = "inner";
    inner.path_prefix = "/a/b/";
    configuration.routes = {outer, inner};
    CPPUNIT_ASSERT_EQUAL(std::string("inner"), configuration.FindRoute("h", "/a/b/1")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("outer"), configuration.FindRoute("h", "/a/1")->name);
    CPPUNIT_ASSERT(configuration.FindRoute("other", "/a/1") == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorViewTest);

}  // namespace
}  // namespace coltsfoottide::direct
