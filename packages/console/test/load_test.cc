#include <cppunit/extensions/HelperMacros.h>

#include <QTimer>
#include <algorithm>
#include <set>

#include "application.h"
#include "coltsfoottide/console/arrivals.h"
#include "coltsfoottide/console/boot_time.h"
#include "coltsfoottide/console/critical_path.h"
#include "coltsfoottide/console/distribution.h"
#include "coltsfoottide/console/generated_job.h"
#include "coltsfoottide/console/load_runner.h"
#include "coltsfoottide/schema/validation.h"

namespace coltsfoottide::console {
namespace {

using std::chrono::milliseconds;

// Answers all pending jobs together, 200 ms after the first of them was sent.
class BatchingSender final : public JobSender {
 public:
  void Send(GeneratedJob /*job*/, JobOutcome outcome, Done done) override {
    outcome.sent_at = BootTime();
    outcome.attempts = 1;
    waiting_.emplace_back(std::move(outcome), std::move(done));
    if (waiting_.size() == 1) {
      QTimer::singleShot(milliseconds(200), [this] { AnswerAll(); });
    }
  }

  std::size_t largest_batch() const { return largest_batch_; }

 private:
  void AnswerAll() {
    largest_batch_ = std::max(largest_batch_, waiting_.size());
    for (auto& [outcome, done] : std::exchange(waiting_, {})) {
      outcome.ended_at = BootTime();
      outcome.answered = true;
      outcome.state = api::COMPLETE;
      done(outcome);
    }
  }

  std::vector<std::pair<JobOutcome, Done>> waiting_;
  std::size_t largest_batch_ = 0;
};

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(GeneratesValidRepeatableJobs);
  CPPUNIT_TEST(ArrivalsMatchTheRate);
  CPPUNIT_TEST(CriticalPathFollowsDependencies);
  CPPUNIT_TEST(QuantilesAreCloseToExact);
  CPPUNIT_TEST(SendsWithoutWaitingForAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

 private:
  void GeneratesValidRepeatableJobs() {
    for (const char* name : {"atlas", "inzira", "single"}) {
      const WorkloadMix mix = *MakeMix(name, milliseconds(50));
      std::set<std::string> teams;
      for (std::uint64_t n = 0; n < 2000; ++n) {
        const GeneratedJob generated = GenerateJob(mix, 7, n);
        CPPUNIT_ASSERT(!schema::ValidateJob(generated.job));
        CPPUNIT_ASSERT_EQUAL(generated.job.SerializeAsString(),
                             GenerateJob(mix, 7, n).job.SerializeAsString());
        CPPUNIT_ASSERT(generated.critical_path <= generated.work);
        teams.insert(generated.job.team());
      }
      CPPUNIT_ASSERT_EQUAL(mix.teams.size(), teams.size());
    }
  }

  void ArrivalsMatchTheRate() {
    const auto times = GenerateArrivals(3, 200, std::chrono::seconds(100));
    // 20,000 expected with a standard deviation of 141.
    CPPUNIT_ASSERT(times.size() > 19'300 && times.size() < 20'700);
    CPPUNIT_ASSERT(std::is_sorted(times.begin(), times.end()));
    CPPUNIT_ASSERT(times == GenerateArrivals(3, 200, std::chrono::seconds(100)));
  }

  // Tasks may be listed before their dependencies.
  void CriticalPathFollowsDependencies() {
    api::JobSpec job;
    job.add_tasks()->add_depends_on(2);
    job.add_tasks();
    job.add_tasks()->add_depends_on(1);
    job.add_tasks();
    CPPUNIT_ASSERT(CriticalPath(job, {milliseconds(10), milliseconds(20), milliseconds(30),
                                      milliseconds(55)}) == milliseconds(60));
  }

  void QuantilesAreCloseToExact() {
    Distribution distribution;
    for (int n = 1; n <= 10'000; ++n) {
      distribution.Add(n / 100.0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, distribution.Quantile(0.5), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(99.0, distribution.Quantile(0.99), 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, distribution.Quantile(1), 1e-9);
    CPPUNIT_ASSERT_EQUAL(0.0, Distribution().Quantile(0.5));
  }

  // A closed-loop generator would stop sending during a stall, so that the
  // stall would not show in the response times (coordinated omission).
  void SendsWithoutWaitingForAnswers() {
    LoadPlan plan;
    plan.mix = *MakeMix("single", milliseconds(50));
    plan.seed = 1;
    for (int n = 0; n < 100; ++n) {
      plan.arrivals.emplace_back(milliseconds(n));
    }
    BatchingSender sender;
    HistoryFile history;
    LoadRunner runner(plan, sender, history);
    runner.Run();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, runner.statistics().jobs());
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, sender.largest_batch());
    const QJsonObject all = runner.statistics().ToJson()["all"].toObject();
    CPPUNIT_ASSERT(all["response_ms"].toObject()["max"].toDouble() >= 199);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace coltsfoottide::console
