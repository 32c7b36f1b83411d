#include "quota_allocator.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>

#include "coltsfoottide/core/admission.h"
#include "control_fakes.h"

namespace coltsfoottide::core {
namespace {

class QuotaAllocatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaAllocatorTest);
  CPPUNIT_TEST(SharesAddUpToTheQuota);
  CPPUNIT_TEST(EntriesTogetherKeepTheQuota);
  CPPUNIT_TEST_SUITE_END();

  // Guards against minimum shares that add up to more than the quota.
  void SharesAddUpToTheQuota() {
    CPPUNIT_ASSERT(rc::check("shares of entries with equal views add up to 1", [] {
      const auto size = *rc::gen::inRange(1, 12);
      const auto raw = *rc::gen::container<std::vector<int>>(static_cast<std::size_t>(size),
                                                             rc::gen::inRange(0, 1000000));
      const std::vector<double> demands(raw.begin(), raw.end());
      double sum = 0;
      for (std::size_t n = 0; n < demands.size(); ++n) {
        const double share = QuotaShare(demands, n);
        RC_ASSERT(share > 1 / (21.0 * size));
        sum += share;
      }
      RC_ASSERT(sum < 1 + 1e-9 && sum > 1 - 1e-9);
    }));
  }

  // Guards against entries that together admit more than the quota while load
  // moves between them. The bound: rate x time, one burst, and the debt of one
  // job at each entry; demands are exchanged once a second.
  void EntriesTogetherKeepTheQuota() {
    CPPUNIT_ASSERT(rc::check("admitted starts stay within the quota", [] {
      constexpr std::size_t kEntries = 3;
      constexpr int kJobTasks = 20;
      constexpr int kSeconds = 30;
      constexpr std::uint32_t kQuota = 200;
      ConfigState config;
      config.Apply(0, testing::ChangeData("quota", "coaches", kQuota));
      Directory directory;
      wire::Renew renew;
      renew.mutable_info()->set_endpoint("10.0.1.1:1");
      renew.mutable_info()->set_service("match-review");
      TimePoint now{std::chrono::seconds(1000)};
      directory.OnRenew(renew, now);
      std::vector<std::unique_ptr<Admission>> entries;
      for (std::size_t n = 0; n < kEntries; ++n) {
        entries.push_back(std::make_unique<Admission>());
      }
      int admitted = 0;
      std::uint64_t sequence = 0;
      for (int second = 0; second < kSeconds; ++second) {
        std::vector<std::vector<wire::TeamDemand>> demands;
        std::transform(entries.begin(), entries.end(), std::back_inserter(demands),
                       [&](const auto& entry) { return entry->OwnDemand(now); });
        for (std::size_t n = 0; n < kEntries; ++n) {
          auto peers = demands;
          peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(n));
          entries[n]->Rebalance(config, peers, now);
        }
        std::vector<int> jobs;
        for (std::size_t n = 0; n < kEntries; ++n) {
          jobs.push_back(*rc::gen::inRange(0, 40));
        }
        for (int slot = 0; slot < 40; ++slot, now += std::chrono::milliseconds(25)) {
          for (std::size_t n = 0; n < kEntries; ++n) {
            api::SubmitRequest request;
            request.mutable_ticket()->set_endpoint("10.0.1.1:1");
            request.mutable_ticket()->set_sequence(++sequence);
            request.mutable_job()->set_team("coaches");
            request.mutable_job()->set_service("match-review");
            request.mutable_job()->set_job_class(api::BULK);
            request.mutable_job()->set_deadline_ms(1000);
            for (int task = 0; task < kJobTasks; ++task) {
              request.mutable_job()->add_tasks();
            }
            if (slot < jobs[n] && !entries[n]->Admit(request, config, directory, now)) {
              admitted += kJobTasks;
            }
          }
        }
      }
      const auto bound = kQuota * kSeconds + kQuota + kEntries * (kJobTasks - 1);
      RC_ASSERT(admitted <= static_cast<int>(bound));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaAllocatorTest);

}  // namespace
}  // namespace coltsfoottide::core
