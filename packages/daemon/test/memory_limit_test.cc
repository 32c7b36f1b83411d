#include "memory_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "coltsfoottide/daemon/settings.h"

namespace coltsfoottide::daemon {

class MemoryLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryLimitTest);
  CPPUNIT_TEST(SettingComesFirst);
  CPPUNIT_TEST(ReadsCgroupLimits);
  CPPUNIT_TEST(KeepsRoomForTheProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SettingComesFirst() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{120} * 1024 * 1024, ProcessMemoryLimit(120));
    CPPUNIT_ASSERT(ProcessMemoryLimit(0) > 0);
    const auto result = ParseSettings(R"(role = "direct-agent"
listen = "10.0.0.1:7000"
http_listen = "10.0.0.1:8000"
data_centre = "a"
entries = []
log_url = "http://10.0.0.1:1"
backend_url = "http://10.0.0.1:9000"
lease_ms = 1000
memory_limit_mb = 128
)",
                                      "a.toml", {});
    CPPUNIT_ASSERT_EQUAL(128U, std::get<Settings>(result).memory_limit_mb);
  }

  // Guards against a group without a limit ("max") or without the file that is read as 0.
  void ReadsCgroupLimits() {
    constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
    CPPUNIT_ASSERT_EQUAL(std::size_t{125829120}, ParseCgroupLimit("125829120\n"));
    for (const char* it : {"max\n", "", "0\n", "-1", "99999999999999999999999"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, kNone, ParseCgroupLimit(it));
    }
  }

  // Guards against a budget with which the process itself has no room, and against one that is
  // too small for a body of 262,144 bytes.
  void KeepsRoomForTheProcess() {
    constexpr std::size_t kMebibyte = 1024 * 1024;
    for (std::size_t mb = 64; mb <= 1024; ++mb) {
      const std::size_t budget = ClientBudgetBytes(mb * kMebibyte);
      CPPUNIT_ASSERT(budget + 32 * kMebibyte <= mb * kMebibyte);
    }
    for (std::size_t mb = 0; mb < 64; ++mb) {
      CPPUNIT_ASSERT(ClientBudgetBytes(mb * kMebibyte) / 2 >= 262'144);
    }
    // 2,306 connections, those of the smallest machine, with a request of 10 kB each.
    CPPUNIT_ASSERT(ClientBudgetBytes(120 * kMebibyte) >= 2306 * (20 * 1024 + 10'000));
    CPPUNIT_ASSERT(ClientBudgetBytes(512 * kMebibyte) >= 4096 * (20 * 1024 + 10'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryLimitTest);

}  // namespace coltsfoottide::daemon
