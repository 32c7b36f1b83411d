#include "coltsfoottide/direct/job_filter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class JobFilterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobFilterTest);
  CPPUNIT_TEST(KeepsJobsForTheRetentionPeriod);
  CPPUNIT_TEST(ForgetsOldJobs);
  CPPUNIT_TEST(ListsEachJobOnce);
  CPPUNIT_TEST_SUITE_END();

 private:
  // Guards against a job that is taken as new while its caller can still come back.
  void KeepsJobsForTheRetentionPeriod() {
    JobFilter filter(Ms(1000));
    for (int i = 0; i < 100; ++i) {
      const core::TimePoint time = kStart + Ms(i * 70);
      const std::uint32_t hash = JobFilter::Hash("job-" + std::to_string(i));
      filter.Add(hash, time);
      for (int ms = 0; ms <= 1000; ms += 100) {
        filter.Add(JobFilter::Hash("other"), time + Ms(ms));
        CPPUNIT_ASSERT(filter.Contains(hash));
      }
    }
  }

  // Guards against memory that grows with each job.
  void ForgetsOldJobs() {
    JobFilter filter(Ms(1000));
    for (int i = 0; i < 10000; ++i) {
      filter.Add(JobFilter::Hash("job-" + std::to_string(i)), kStart + Ms(i * 10));
    }
    CPPUNIT_ASSERT(!filter.Contains(JobFilter::Hash("job-9000")));
    CPPUNIT_ASSERT(filter.hashes().size() <= 200U);
  }

  // Guards against a list, for an entry that has connected, with jobs missing or repeated.
  void ListsEachJobOnce() {
    JobFilter filter(Ms(1000));
    filter.Add(1, kStart);
    filter.Add(2, kStart + Ms(900));
    filter.Add(1, kStart + Ms(1000));
    filter.Add(3, kStart + Ms(1100));
    std::vector<std::uint32_t> hashes = filter.hashes();
    std::sort(hashes.begin(), hashes.end());
    CPPUNIT_ASSERT(hashes == std::vector<std::uint32_t>({1, 2, 3}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobFilterTest);

}  // namespace
}  // namespace coltsfoottide::direct
