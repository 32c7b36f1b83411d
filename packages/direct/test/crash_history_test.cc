#include "coltsfoottide/direct/crash_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

TaskId Cause() { return {"cause", 0, 3}; }
TaskId Bystander() { return {"bystander", 0, 0}; }

// Runs of these tasks, by their time on the backend server.
WorkerCrash MakeCrash(std::int64_t incarnation, core::Duration at,
                      const std::vector<std::pair<TaskId, core::Duration>>& runs,
                      bool confirmed = true) {
  WorkerCrash crash;
  crash.incarnation = incarnation;
  crash.time = kStart + at;
  for (const auto& [task, ran_for] : runs) {
    crash.runs.push_back({{task, 1}, ran_for, confirmed, "lookups"});
  }
  return crash;
}

WorkerCrash Retraction(std::int64_t incarnation) {
  WorkerCrash crash;
  crash.incarnation = incarnation;
  crash.kind = WorkerCrash::Kind::kRetracted;
  return crash;
}

class CrashHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashHistoryTest);
  CPPUNIT_TEST(TwoPromptCrashesShowTheCause);
  CPPUNIT_TEST(TasksBesideTheCauseAreCleared);
  CPPUNIT_TEST(TasksThatCannotBeToldApartAreBothGivenUp);
  CPPUNIT_TEST(TasksOfOneJobProveItsFault);
  CPPUNIT_TEST(LateCrashesNeedOneMore);
  CPPUNIT_TEST(StartsThatMayNotHaveArrivedProveNothing);
  CPPUNIT_TEST(TimesThatDifferProveNothing);
  CPPUNIT_TEST(SameCrashCountsOnce);
  CPPUNIT_TEST(TaskIsNotStartedAfterFourCrashesInAnyCase);
  CPPUNIT_TEST(JobsWithSimilarIdsAreNotMixedUp);
  CPPUNIT_TEST(OldCrashesAreForgotten);
  CPPUNIT_TEST(RetractedCrashProvesNothing);
  CPPUNIT_TEST(SuspectedCrashGivesNoTaskUp);
  CPPUNIT_TEST_SUITE_END();

  // Guards against starting a task on a third backend server (issue 24).
  void TwoPromptCrashesShowTheCause() {
    CrashHistory history;
    CPPUNIT_ASSERT(history.OnCrash("a", MakeCrash(1, Ms(0), {{Cause(), Ms(20)}})).empty());
    CPPUNIT_ASSERT(!history.VerdictOn("cause"));
    const auto found = history.OnCrash("b", MakeCrash(1, Ms(50), {{Cause(), Ms(30)}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT(found[0].task == Cause() && found[0].proven);
    CPPUNIT_ASSERT(history.VerdictOn("cause")->task == Cause());
  }

  // A task of 900 ms was beside the cause both times. Guards against a count that cannot
  // tell it from the cause.
  void TasksBesideTheCauseAreCleared() {
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{Bystander(), Ms(500)}, {Cause(), Ms(20)}}));
    const auto found =
        history.OnCrash("b", MakeCrash(1, Ms(50), {{Bystander(), Ms(25)}, {Cause(), Ms(30)}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT(found[0].task == Cause());
    // Its crashes are explained, so a further one is its first.
    CPPUNIT_ASSERT(history.OnCrash("c", MakeCrash(1, Ms(90), {{Bystander(), Ms(9)}})).empty());
    CPPUNIT_ASSERT(!history.VerdictOn("bystander"));
  }

  // Another task was started beside the cause both times. Guards against taking the wrong
  // one by some milliseconds, which clears the cause for two more crashes (one deadly task
  // on atlas-tactique, seed 1: four crashes), and against calling either job failed.
  void TasksThatCannotBeToldApartAreBothGivenUp() {
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{Bystander(), Ms(28)}, {Cause(), Ms(30)}}));
    history.OnCrash("b", MakeCrash(1, Ms(50), {{Bystander(), Ms(26)}, {Cause(), Ms(26)}}));
    CPPUNIT_ASSERT(history.VerdictOn("cause") && !history.VerdictOn("cause")->proven);
    CPPUNIT_ASSERT(history.VerdictOn("bystander") && !history.VerdictOn("bystander")->proven);
  }

  // Tasks of the same job were there both times.
  void TasksOfOneJobProveItsFault() {
    const TaskId sibling{"cause", 0, 4};
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{sibling, Ms(29)}, {Cause(), Ms(30)}}));
    history.OnCrash("b", MakeCrash(1, Ms(50), {{sibling, Ms(25)}, {Cause(), Ms(26)}}));
    CPPUNIT_ASSERT(history.VerdictOn("cause") && history.VerdictOn("cause")->proven);
  }

  // Guards against giving up a task of a second whose backend servers crashed twice for
  // other reasons.
  void LateCrashesNeedOneMore() {
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{Cause(), Ms(600)}}));
    CPPUNIT_ASSERT(history.OnCrash("b", MakeCrash(1, Ms(900), {{Cause(), Ms(700)}})).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         history.OnCrash("c", MakeCrash(1, Ms(1900), {{Cause(), Ms(20)}})).size());
  }

  // The starts were under way when the backend servers crashed. Guards against calling a
  // job failed whose task has never run, and against starting it without end if it is
  // the cause after all (inzira-hq, deadly day, seed 1).
  void StartsThatMayNotHaveArrivedProveNothing() {
    CrashHistory history;
    for (int i = 1; i <= 2; ++i) {
      history.OnCrash("a", MakeCrash(i, Ms(i), {{Cause(), Ms(5)}}, false));
      CPPUNIT_ASSERT(!history.VerdictOn("cause"));
    }
    history.OnCrash("a", MakeCrash(3, Ms(3), {{Cause(), Ms(5)}}, false));
    CPPUNIT_ASSERT(history.VerdictOn("cause") && !history.VerdictOn("cause")->proven);
  }

  // A task of 200 ms was beside two others that crashed a backend server each, 20 ms after
  // their start. Guards against calling its job failed, and its route a crashing one:
  // inzira-hq, deadly day, seed 1, where the route with most of the work was isolated for it.
  void TimesThatDifferProveNothing() {
    const TaskId first{"first", 0, 0};
    const TaskId second{"second", 0, 0};
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{first, Ms(33)}, {Bystander(), Ms(130)}}));
    history.OnCrash("b", MakeCrash(1, Ms(59), {{second, Ms(33)}, {Bystander(), Ms(52)}}));
    const auto verdict = history.VerdictOn("bystander");
    CPPUNIT_ASSERT(!verdict || !verdict->proven);
  }

  // An agent repeats its crashes with each hello. Guards against counting one twice.
  void SameCrashCountsOnce() {
    CrashHistory history;
    const WorkerCrash crash = MakeCrash(1, Ms(0), {{Cause(), Ms(20)}});
    history.OnCrash("a", crash);
    CPPUNIT_ASSERT(history.OnCrash("a", crash).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.CountCrashes(Cause()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         history.OnCrash("a", MakeCrash(2, Ms(9), {{Cause(), Ms(20)}})).size());
  }

  // Other tasks explain each of its crashes. Guards against a bound that depends on the
  // attribution being right: after three crashes a task may be started twice more.
  void TaskIsNotStartedAfterFourCrashesInAnyCase() {
    CrashHistory history;
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(!history.VerdictOn("bystander"));
      const TaskId other{"other-" + std::to_string(i), 0, 0};
      history.OnCrash("a", MakeCrash(i + 1, Ms(i), {{other, Ms(5)}}));
      history.OnCrash("b", MakeCrash(i + 1, Ms(i), {{other, Ms(5)}, {Bystander(), Ms(300)}}));
    }
    CPPUNIT_ASSERT(history.VerdictOn("bystander"));
    CPPUNIT_ASSERT(!history.VerdictOn("bystander")->proven);
  }

  void JobsWithSimilarIdsAreNotMixedUp() {
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{Cause(), Ms(20)}}));
    history.OnCrash("b", MakeCrash(1, Ms(50), {{Cause(), Ms(30)}}));
    CPPUNIT_ASSERT(!history.VerdictOn("caus"));
    CPPUNIT_ASSERT(!history.VerdictOn("cause2"));
  }

  // Guards against memory that grows with every crash.
  void OldCrashesAreForgotten() {
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{Cause(), Ms(20)}}));
    history.OnCrash("b", MakeCrash(1, Ms(50), {{Cause(), Ms(30)}}));
    history.Forget(kStart + Ms(29'000));
    CPPUNIT_ASSERT(history.VerdictOn("cause"));
    history.Forget(kStart + Ms(31'000));
    CPPUNIT_ASSERT(!history.VerdictOn("cause"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, history.CountCrashes(Cause()));
  }

  // Backend servers were cut off and have answered since. Guards against a task that is not
  // started again because of the network, and against missing a crash of the same incarnation
  // after that.
  void RetractedCrashProvesNothing() {
    CrashHistory history;
    history.OnCrash("a", MakeCrash(1, Ms(0), {{Cause(), Ms(20)}}));
    history.OnCrash("a", Retraction(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, history.CountCrashes(Cause()));
    CPPUNIT_ASSERT(history.CrashedSince(kStart).empty());
    CPPUNIT_ASSERT(history.OnCrash("b", MakeCrash(1, Ms(50), {{Cause(), Ms(30)}})).empty());
    CPPUNIT_ASSERT(!history.OnCrash("a", MakeCrash(1, Ms(90), {{Cause(), Ms(20)}})).empty());
    history.OnCrash("b", Retraction(1));
    CPPUNIT_ASSERT(!history.VerdictOn("cause"));
  }

  // Guards against giving a task up for cuts of the network, and against forgetting a verdict
  // when a suspicion beside it is retracted.
  void SuspectedCrashGivesNoTaskUp() {
    CrashHistory history;
    for (const char* agent : {"a", "b", "c", "d"}) {
      WorkerCrash crash = MakeCrash(1, Ms(50), {{Cause(), Ms(20)}});
      crash.kind = WorkerCrash::Kind::kSuspected;
      CPPUNIT_ASSERT(history.OnCrash(agent, crash).empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, history.CrashedSince(kStart).size());
    history.OnCrash("a", MakeCrash(1, Ms(50), {{Cause(), Ms(20)}}));
    CPPUNIT_ASSERT(!history.OnCrash("b", MakeCrash(1, Ms(50), {{Cause(), Ms(20)}})).empty());
    history.OnCrash("c", Retraction(1));
    CPPUNIT_ASSERT(history.VerdictOn("cause"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashHistoryTest);

}  // namespace
}  // namespace coltsfoottide::direct
