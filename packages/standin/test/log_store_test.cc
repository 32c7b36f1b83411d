#include "coltsfoottide/standin/log_store.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::standin {
namespace {

using std::chrono::seconds;

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(ReadsFromAnOffset);
  CPPUNIT_TEST(ExpiresByCount);
  CPPUNIT_TEST(ExpiresByAge);
  CPPUNIT_TEST_SUITE_END();

  void ReadsFromAnOffset() {
    LogStore store({10, seconds(60)});
    for (const char* data : {"a", "b", "c"}) {
      store.Append(data, At(0));
    }
    const LogPage page = store.Read(1, 1, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), page.records[0].data);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, page.next);
    CPPUNIT_ASSERT(store.Read(3, 10, At(0)).records.empty());
  }

  // A reader must be able to detect that the records before `first` have expired.
  void ExpiresByCount() {
    LogStore store({2, seconds(60)});
    for (const char* data : {"a", "b", "c"}) {
      store.Append(data, At(0));
    }
    const LogPage page = store.Read(0, 10, At(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, page.first);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, page.records.front().offset);
  }

  // An offset must not be reused after all records have expired.
  void ExpiresByAge() {
    LogStore store({10, seconds(60)});
    store.Append("a", At(0));
    const LogPage page = store.Read(0, 10, At(61));
    CPPUNIT_ASSERT(page.records.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, page.first);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.Append("b", At(61)));
  }

  static core::TimePoint At(int s) { return core::TimePoint(seconds(1000 + s)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace
}  // namespace coltsfoottide::standin
