#include "coltsfoottide/direct/stale_records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

using Names = std::vector<std::string>;

class StaleRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StaleRecordsTest);
  CPPUNIT_TEST(OneEntryWithdrawsTheRecordOfARemovedOne);
  CPPUNIT_TEST(AnotherOneWithdrawsItIfTheFirstHasGone);
  CPPUNIT_TEST(RepeatsAWithdrawalThatTheStoreHasNotTaken);
  CPPUNIT_TEST(KeepsTheRecordOfAnEntryThatConnectsAgain);
  CPPUNIT_TEST(WithdrawsNothingThatTheStoreDoesNotHave);
  CPPUNIT_TEST_SUITE_END();

  const Names entries_ = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};

  static Names Without(Names names, const std::string& name) {
    std::erase(names, name);
    return names;
  }

  // The entries among `entries` that withdraw the record.
  static Names Withdrawing(const Names& entries) {
    Names withdrawing;
    for (const std::string& self : entries) {
      StaleRecords records;
      records.OnRecord("10.0.0.9", true);
      records.OnForgotten("10.0.0.9");
      if (!records.TakeDue(self, Without(entries, self), kStart).empty()) {
        withdrawing.push_back(self);
      }
    }
    return withdrawing;
  }

 public:
  // Guards against entries that wait a second at each start for a machine that was removed for
  // good, and against a write to the store by each of them.
  void OneEntryWithdrawsTheRecordOfARemovedOne() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Withdrawing(entries_).size());
  }

  // Guards against a record that stays because the entry that was to withdraw it died.
  void AnotherOneWithdrawsItIfTheFirstHasGone() {
    const std::string first = Withdrawing(entries_).front();
    const Names left = Without(entries_, first);
    StaleRecords records;
    records.OnRecord("10.0.0.9", true);
    records.OnForgotten("10.0.0.9");
    const std::string self = Withdrawing(left).front();
    const Names others = Without(entries_, self);
    CPPUNIT_ASSERT(records.TakeDue(self, others, kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         records.TakeDue(self, Without(others, first), kStart + Ms(100)).size());
  }

  // Guards against a lost write to a store that is down, and against a write in each tick.
  void RepeatsAWithdrawalThatTheStoreHasNotTaken() {
    StaleRecords records;
    records.OnRecord("10.0.0.9", true);
    records.OnForgotten("10.0.0.9");
    CPPUNIT_ASSERT(Names{"10.0.0.9"} == records.TakeDue("10.0.0.1", {}, kStart));
    CPPUNIT_ASSERT(records.TakeDue("10.0.0.1", {}, kStart + Ms(20)).empty());
    CPPUNIT_ASSERT(Names{"10.0.0.9"} == records.TakeDue("10.0.0.1", {}, kStart + Ms(2'000)));
    records.OnRecord("10.0.0.9", false);
    CPPUNIT_ASSERT(records.TakeDue("10.0.0.1", {}, kStart + Ms(9'000)).empty());
  }

  // Guards against an entry that is hard to find for agents after it was cut off.
  void KeepsTheRecordOfAnEntryThatConnectsAgain() {
    StaleRecords records;
    records.OnRecord("10.0.0.9", true);
    records.OnForgotten("10.0.0.9");
    records.OnConnected("10.0.0.9");
    CPPUNIT_ASSERT(records.TakeDue("10.0.0.1", {}, kStart).empty());
  }

  // Guards against writes for addresses that only lists or settings name.
  void WithdrawsNothingThatTheStoreDoesNotHave() {
    StaleRecords records;
    records.OnForgotten("10.0.0.9");
    CPPUNIT_ASSERT(records.TakeDue("10.0.0.1", {}, kStart).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaleRecordsTest);

}  // namespace
}  // namespace coltsfoottide::direct
