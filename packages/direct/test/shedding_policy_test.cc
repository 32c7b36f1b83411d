#include "coltsfoottide/direct/shedding_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "coltsfoottide/direct/admission_control.h"
#include "coltsfoottide/direct/admission_request.h"
#include "coltsfoottide/direct/run_queue.h"
#include "coltsfoottide/direct/waiting_job.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

// A job that meets a backlog of this length, of work as urgent as itself.
AdmissionRequest Request(std::uint32_t priority, core::Duration backlog) {
  AdmissionRequest request;
  request.priority = priority;
  request.work = 1000;
  request.start_delay = backlog;
  request.backlog = backlog;
  request.equal_backlog = backlog;
  return request;
}

RunOrder Order(const std::string& job, std::uint32_t priority, core::Duration objective) {
  RunOrder order = SampleOrder(job, 0);
  order.priority = priority;
  order.objective = kStart + objective;
  order.useful_until = kStart + objective * 3;
  return order;
}

class SheddingPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SheddingPolicyTest);
  CPPUNIT_TEST(UrgentJobsAreNotBoundByLessUrgentOnes);
  CPPUNIT_TEST(LessUrgentWorkDoesNotDelayUrgentJobs);
  CPPUNIT_TEST(LessUrgentJobsAreRefusedFirst);
  CPPUNIT_TEST(JobWithSlackTakesFreeResources);
  CPPUNIT_TEST(UselessJobIsRefused);
  CPPUNIT_TEST(OnlyLateUnbegunLessUrgentJobsAreGivenUp);
  CPPUNIT_TEST(UrgentRunThatWouldBeLateStartsFirst);
  CPPUNIT_TEST(RunsThatCanBothBeInTimeKeepTheirOrder);
  CPPUNIT_TEST(ExpeditedRunKeepsItsPlace);
  CPPUNIT_TEST(LessUrgentRunYieldsABoundedNumberOfTimes);
  CPPUNIT_TEST(SharedQueueIgnoresPriorities);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a kind without priority that bounds the delay of all others.
  void UrgentJobsAreNotBoundByLessUrgentOnes() {
    SheddingPolicy policy(OverloadPolicy::kPriority);
    policy.OnSubmit(1, Ms(120), kStart);
    policy.OnSubmit(0, Ms(400), kStart);
    CPPUNIT_ASSERT(policy.Decide(Request(0, Ms(190)), kStart) == AdmissionVerdict::kAdmit);
    SheddingPolicy shared(OverloadPolicy::kShared);
    shared.OnSubmit(1, Ms(120), kStart);
    shared.OnSubmit(0, Ms(400), kStart);
    CPPUNIT_ASSERT(shared.Decide(Request(0, Ms(190)), kStart) == AdmissionVerdict::kBacklog);
  }

  // Guards against urgent jobs that are refused for work that starts after them.
  void LessUrgentWorkDoesNotDelayUrgentJobs() {
    SheddingPolicy policy(OverloadPolicy::kPriority);
    policy.OnSubmit(0, Ms(120), kStart);
    AdmissionRequest request = Request(0, Ms(500));
    CPPUNIT_ASSERT(policy.Decide(request, kStart) == AdmissionVerdict::kBacklog);
    request.less_urgent_backlog = Ms(450);
    request.less_urgent_start_delay = Ms(450);
    CPPUNIT_ASSERT(policy.Decide(request, kStart) == AdmissionVerdict::kAdmit);
  }

  // Guards against a queue that admits less urgent jobs until urgent ones are late.
  void LessUrgentJobsAreRefusedFirst() {
    SheddingPolicy policy(OverloadPolicy::kPriority);
    core::TimePoint now = kStart;
    // Overload: no submission finds free resources, and all classes have their share.
    for (int i = 0; i < 20; ++i, now += Ms(10)) {
      for (std::uint32_t priority = 0; priority < 3; ++priority) {
        policy.OnSubmit(priority, Ms(200), now);
        policy.Decide(Request(priority, Ms(1)), now);
      }
    }
    const auto verdict = [&](std::uint32_t priority, int ms) {
      return policy.Decide(Request(priority, Ms(ms)), now);
    };
    CPPUNIT_ASSERT(verdict(2, 60) == AdmissionVerdict::kMoreUrgentWork);
    CPPUNIT_ASSERT(verdict(1, 60) == AdmissionVerdict::kAdmit);
    CPPUNIT_ASSERT(verdict(1, 90) == AdmissionVerdict::kMoreUrgentWork);
    CPPUNIT_ASSERT(verdict(0, 90) == AdmissionVerdict::kAdmit);
  }

  // Guards against refusals of jobs with slack while a backend server is free: the
  // queues of others are as long as a more urgent job allows, which is admitted too.
  void JobWithSlackTakesFreeResources() {
    SheddingPolicy policy(OverloadPolicy::kPriority);
    policy.OnSubmit(0, Ms(100), kStart);
    policy.Decide(Request(0, {}), kStart);
    policy.OnSubmit(1, Ms(600), kStart);
    policy.Decide(Request(1, {}), kStart);
    AdmissionRequest request = Request(1, Ms(100));
    CPPUNIT_ASSERT(policy.Decide(request, kStart) == AdmissionVerdict::kMoreUrgentWork);
    request.start_delay = {};
    CPPUNIT_ASSERT(policy.Decide(request, kStart) == AdmissionVerdict::kAdmit);
    // The urgent jobs wait.
    request.equal_backlog = Ms(10);
    CPPUNIT_ASSERT(policy.Decide(request, kStart) == AdmissionVerdict::kMoreUrgentWork);
  }

  // Guards against work for answers that come too late.
  void UselessJobIsRefused() {
    for (const auto it : {OverloadPolicy::kShared, OverloadPolicy::kPriority}) {
      SheddingPolicy policy(it);
      policy.OnSubmit(0, Ms(100), kStart);
      AdmissionRequest request = Request(0, {});
      request.useful = false;
      CPPUNIT_ASSERT(policy.Decide(request, kStart) == AdmissionVerdict::kBacklog);
    }
  }

  // Guards against giving up spent work, urgent jobs, or jobs that can be in time.
  void OnlyLateUnbegunLessUrgentJobsAreGivenUp() {
    SheddingPolicy policy(OverloadPolicy::kPriority);
    policy.OnSubmit(0, Ms(100), kStart);
    const core::TimePoint past = kStart + Ms(50);
    const std::vector<WaitingJob> jobs = {
        {"urgent", 0, Ms(100), past, 9000, false},
        {"begun", 1, Ms(100), past, 9000, true},
        {"in time", 1, Ms(100), kStart + Ms(100), 9000, false},
        {"small", 1, Ms(100), past, 10, false},
        {"large", 1, Ms(100), past, 9000, false},
        {"least urgent", 2, Ms(100), past, 10, false},
    };
    const std::vector<std::string> expected = {"least urgent", "large"};
    CPPUNIT_ASSERT(policy.ChooseGivenUp(jobs, 2, kStart) == expected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, policy.ChooseGivenUp(jobs, 8, kStart).size());
    // No more urgent job is submitted any more.
    CPPUNIT_ASSERT(policy.ChooseGivenUp(jobs, 8, kStart + Ms(3000)).empty());
    SheddingPolicy shared(OverloadPolicy::kShared);
    shared.OnSubmit(0, Ms(100), kStart);
    CPPUNIT_ASSERT(shared.ChooseGivenUp(jobs, 8, kStart).empty());
  }

  // Guards against an urgent run that is late because a less urgent one has waited
  // longer.
  void UrgentRunThatWouldBeLateStartsFirst() {
    RunQueue queue(OverloadPolicy::kPriority);
    queue.Add(Order("less urgent", 1, Ms(65)), "entry");
    queue.Add(Order("urgent", 0, Ms(70)), "entry");
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against strict priority: it makes runs late that need not be.
  void RunsThatCanBothBeInTimeKeepTheirOrder() {
    RunQueue queue(OverloadPolicy::kPriority);
    queue.Add(Order("less urgent", 1, Ms(65)), "entry");
    queue.Add(Order("urgent", 0, Ms(150)), "entry");
    CPPUNIT_ASSERT_EQUAL(std::string("less urgent"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against the waste of a job that is nearly done.
  void ExpeditedRunKeepsItsPlace() {
    RunQueue queue(OverloadPolicy::kPriority);
    RunOrder order = Order("nearly done", 2, Ms(500));
    order.expedited = true;
    queue.Add(order, "entry");
    queue.Add(Order("urgent", 0, Ms(70)), "entry");
    CPPUNIT_ASSERT_EQUAL(std::string("nearly done"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against starvation in the queue. 16 is the stated bound.
  void LessUrgentRunYieldsABoundedNumberOfTimes() {
    RunQueue queue(OverloadPolicy::kPriority);
    queue.Add(Order("less urgent", 1, Ms(65)), "entry");
    for (int i = 0; i < 16; ++i) {
      queue.Add(Order("urgent", 0, Ms(70)), "entry");
      CPPUNIT_ASSERT_EQUAL(std::string("urgent"),
                           queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
    }
    queue.Add(Order("urgent", 0, Ms(70)), "entry");
    CPPUNIT_ASSERT_EQUAL(std::string("less urgent"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against a changed order without the setting.
  void SharedQueueIgnoresPriorities() {
    RunQueue queue;
    queue.Add(Order("less urgent", 1, Ms(65)), "entry");
    queue.Add(Order("urgent", 0, Ms(70)), "entry");
    CPPUNIT_ASSERT_EQUAL(std::string("less urgent"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheddingPolicyTest);

}  // namespace
}  // namespace coltsfoottide::direct
