#include "coltsfoottide/direct/entry_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class EntryDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryDirectoryTest);
  CPPUNIT_TEST(RemovedMachineIsForgottenDespiteOldLists);
  CPPUNIT_TEST(TwoProcessesDoNotKeepAnAddressForEachOther);
  CPPUNIT_TEST(StoreRecordOfARemovedMachineCountsForSecondsOnly);
  CPPUNIT_TEST(ListedEntryIsKeptWithoutAConnection);
  CPPUNIT_TEST(ConfiguredEntryIsNeverForgotten);
  CPPUNIT_TEST(ShortInterruptionForgetsNothing);
  CPPUNIT_TEST(OwnConnectionGoesBeforeListedDataCentre);
  CPPUNIT_TEST(NamesThatAreNoAddressAreIgnored);
  CPPUNIT_TEST(NumberOfUnconfirmedEntriesIsBounded);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a replaced machine whose address is dialed for as long as the
  // fleet runs, because the others pass it on to each other.
  void RemovedMachineIsForgottenDespiteOldLists() {
    EntryDirectory directory;
    directory.OnConnected({"10.0.0.1", "a"}, kStart);
    directory.OnListed("10.0.0.1", {{"10.0.0.9", "b"}}, kStart);
    directory.OnConnected({"10.0.0.9", "b"}, kStart);
    directory.OnDisconnected("10.0.0.9", kStart + Ms(1000));
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(60'000)).empty());
    directory.OnListed("10.0.0.1", {}, kStart + Ms(2000));
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(3000)).empty());
    const std::vector<std::string> forgotten = directory.Forget(kStart + Ms(60'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forgotten.size());
    CPPUNIT_ASSERT(!directory.Contains("10.0.0.9"));
  }

  // Guards against two processes that each list what the other has listed.
  void TwoProcessesDoNotKeepAnAddressForEachOther() {
    EntryDirectory first;
    EntryDirectory second;
    first.AddHint("10.0.0.9", kStart);
    second.AddHint("10.0.0.9", kStart);
    for (EntryDirectory* it : {&first, &second}) it->OnConnected({"10.0.0.1", "a"}, kStart);
    for (int ms = 0; ms <= 30'000; ms += 200) {
      const core::TimePoint now = kStart + Ms(ms);
      first.OnListed("10.0.0.1", second.Connected(), now);
      second.OnListed("10.0.0.1", first.Connected(), now);
      first.Forget(now);
      second.Forget(now);
    }
    CPPUNIT_ASSERT(!first.Contains("10.0.0.9"));
    CPPUNIT_ASSERT(!second.Contains("10.0.0.9"));
  }

  // Guards against a record that outlives its machine and is read again.
  void StoreRecordOfARemovedMachineCountsForSecondsOnly() {
    EntryDirectory directory;
    CPPUNIT_ASSERT(directory.AddHint("10.0.0.9", kStart));
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(1000)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.Forget(kStart + Ms(20'000)).size());
  }

  // Guards against forgetting entries that this process need not connect to.
  void ListedEntryIsKeptWithoutAConnection() {
    EntryDirectory directory;
    directory.OnConnected({"10.0.0.1", "a"}, kStart);
    const auto added = directory.OnListed("10.0.0.1", {{"10.0.0.2", "b"}}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, added.size());
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(60'000)).empty());
    // The process that listed it is gone: its list no longer counts.
    directory.OnDisconnected("10.0.0.1", kStart + Ms(60'000));
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(61'000)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.Forget(kStart + Ms(90'000)).size());
  }

  // Guards against a process that can no longer find the fleet.
  void ConfiguredEntryIsNeverForgotten() {
    EntryDirectory directory;
    CPPUNIT_ASSERT(directory.AddConfigured("10.0.0.1"));
    CPPUNIT_ASSERT(!directory.AddConfigured(""));
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(3'600'000)).empty());
  }

  // Guards against forgetting entries while a cut of some seconds lasts.
  void ShortInterruptionForgetsNothing() {
    EntryDirectory directory;
    directory.OnConnected({"10.0.0.1", "a"}, kStart);
    directory.OnListed("10.0.0.1", {{"10.0.0.2", "b"}}, kStart);
    directory.OnDisconnected("10.0.0.1", kStart + Ms(30'000));
    CPPUNIT_ASSERT(directory.Forget(kStart + Ms(36'000)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
    CPPUNIT_ASSERT(directory.Connected().empty());
  }

  // Guards against a list that overrides what the entry has said of itself.
  void OwnConnectionGoesBeforeListedDataCentre() {
    EntryDirectory directory;
    directory.OnConnected({"10.0.0.1", "a"}, kStart);
    directory.OnConnected({"10.0.0.2", "b"}, kStart);
    directory.OnListed("10.0.0.1", {{"10.0.0.2", "old"}}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), directory.Known().at(1).data_centre);
  }

  // Guards against dialing whatever another writer has left among the records of entries.
  void NamesThatAreNoAddressAreIgnored() {
    EntryDirectory directory;
    const std::vector<std::string> names = {"",
                                            "0::1",
                                            "10.0.0.1:99999",
                                            "10.0.0.1 ",
                                            "1e400",
                                            "10.1",
                                            "10.0.0.256",
                                            std::string("1.2.3.4\0", 8),
                                            "[[[[",
                                            std::string(100'000, '[')};
    for (const std::string& it : names) {
      CPPUNIT_ASSERT(!directory.AddHint(it, kStart));
      CPPUNIT_ASSERT(!directory.AddConfigured(it));
      CPPUNIT_ASSERT(directory.OnListed("10.0.0.1", {{it, "a"}}, kStart).empty());
      directory.OnConnected({it, "a"}, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  // Guards against as many connection attempts as there are records, while an entry that
  // is there is still accepted.
  void NumberOfUnconfirmedEntriesIsBounded() {
    constexpr int kRecords = 5000;
    constexpr std::size_t kBound = 512;
    EntryDirectory directory;
    std::vector<EntryAddress> listed;
    for (int i = 0; i < kRecords; ++i) {
      const std::string rest = std::to_string(i / 250) + '.' + std::to_string(i % 250);
      directory.AddHint("10.9." + rest, kStart);
      listed.push_back({"10.8." + rest, "a"});
    }
    directory.OnListed("10.0.0.1", listed, kStart);
    CPPUNIT_ASSERT_EQUAL(kBound, directory.size());
    directory.OnConnected({"10.0.0.2", "a"}, kStart);
    CPPUNIT_ASSERT(directory.Contains("10.0.0.2"));
    CPPUNIT_ASSERT(directory.AddConfigured("10.0.0.3"));
    directory.OnListed("10.0.0.1", {}, kStart + Ms(1000));
    directory.Forget(kStart + Ms(60'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDirectoryTest);

}  // namespace
}  // namespace coltsfoottide::direct
