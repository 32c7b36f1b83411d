#include "coltsfoottide/core/directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Counters {
  std::uint32_t starts = 0;
  std::uint32_t failures = 0;
};

class DirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(SubsetsCoverAllWorkersAndAreStable);
  CPPUNIT_TEST(SilentMembersAreSuspectedThenRemoved);
  CPPUNIT_TEST(SampleDoesNotReplaceARenewal);
  CPPUNIT_TEST(EjectsAnOutlierAndReinstatesIt);
  CPPUNIT_TEST(FailedProbationDoublesTheDelay);
  CPPUNIT_TEST(FleetWideFailureEjectsNobody);
  CPPUNIT_TEST(EjectsAtMostThirtyPercent);
  CPPUNIT_TEST_SUITE_END();

  static std::string Endpoint(int n) { return "10.0.1." + std::to_string(n) + ":1"; }

  void Renew(int n, const std::string& data_centre = "rabat-b", Counters recent = {},
             Counters total = {}) {
    wire::Renew renew;
    api::WorkerInfo* info = renew.mutable_info();
    info->set_endpoint(Endpoint(n));
    info->set_incarnation(1);
    info->set_service("match-review");
    info->set_data_centre(data_centre);
    info->set_slots(8);
    info->set_state(api::SERVING);
    info->set_starts(total.starts);
    info->set_failures(total.failures);
    renew.set_recent_starts(recent.starts);
    renew.set_recent_failures(recent.failures);
    directory_.OnRenew(renew, now_);
  }

  // Eleven workers, the first `failing` of which fail all their tasks.
  void RenewFleet(int failing, Counters first_total = {}) {
    for (int n = 0; n < 11; ++n) {
      const bool fails = n < failing;
      Renew(n, "rabat-b", {20, fails ? 20U : 1U}, n == 0 ? first_total : Counters{});
    }
    directory_.Tick(now_);
  }

  std::set<std::string> Candidates(const std::string& endpoint) const {
    std::set<std::string> endpoints;
    for (const auto& info : directory_.CandidatesFor(endpoint, "rabat-b")) {
      endpoints.insert(info.endpoint());
    }
    return endpoints;
  }

  int EjectedCount() const {
    int count = 0;
    for (int n = 0; n < 11; ++n) {
      count += directory_.Ejected(Endpoint(n)) ? 1 : 0;
    }
    return count;
  }

  // Guards against workers that no coordinator uses, and against lists that
  // change as a whole when one worker leaves.
  void SubsetsCoverAllWorkersAndAreStable() {
    for (int n = 0; n < 600; ++n) {
      Renew(n, n % 2 == 0 ? "rabat-b" : "fes-c");
    }
    std::map<std::string, int> uses;
    for (int n = 0; n < 600; n += 2) {
      const auto list = directory_.CandidatesFor(Endpoint(n), "rabat-b");
      CPPUNIT_ASSERT_EQUAL(std::size_t{64}, list.size());
      const auto own = std::count_if(list.begin(), list.end(), [](const auto& info) {
        return info.data_centre() == "rabat-b";
      });
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{48}, own);
      for (const auto& info : list) {
        ++uses[info.endpoint()];
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, uses.size());
    const auto before = Candidates(Endpoint(1));
    const std::string gone = *before.begin();
    directory_.OnLinkDown(gone);
    const auto after = Candidates(Endpoint(1));
    std::vector<std::string> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::back_inserter(kept));
    CPPUNIT_ASSERT_EQUAL(std::size_t{63}, kept.size());
    CPPUNIT_ASSERT(!after.contains(gone));
  }

  void SilentMembersAreSuspectedThenRemoved() {
    Renew(1);
    now_ += milliseconds(2999);
    directory_.Tick(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Candidates(Endpoint(1)).size());
    now_ += milliseconds(1);
    directory_.Tick(now_);
    CPPUNIT_ASSERT(Candidates(Endpoint(1)).empty());
    CPPUNIT_ASSERT(directory_.AvailableCoordinators("rabat-b").empty());
    CPPUNIT_ASSERT_EQUAL(api::SUSPECTED, directory_.List(now_).at(0).state());
    now_ += seconds(7);
    directory_.Tick(now_);
    CPPUNIT_ASSERT(directory_.members().empty());
  }

  // Guards against another entry's older report that replaces the renewal of
  // the worker's agent here, and against versions that change with load.
  void SampleDoesNotReplaceARenewal() {
    Renew(1);
    const auto version = directory_.version();
    api::WorkerInfo info = directory_.List(now_).at(0);
    info.set_state(api::LEAVING);
    directory_.OnSample({info}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Candidates(Endpoint(1)).size());
    Renew(1, "rabat-b", {3, 0}, {9, 1});
    CPPUNIT_ASSERT_EQUAL(version, directory_.version());
    info.set_endpoint(Endpoint(2));
    info.set_state(api::SERVING);
    directory_.OnSample({info}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Candidates(Endpoint(1)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory_.Sample(32, 1).size());
  }

  void EjectsAnOutlierAndReinstatesIt() {
    RenewFleet(1);
    CPPUNIT_ASSERT(directory_.Ejected(Endpoint(0)));
    CPPUNIT_ASSERT(!Candidates(Endpoint(3)).contains(Endpoint(0)));
    now_ += seconds(5);
    RenewFleet(1, {20, 20});
    CPPUNIT_ASSERT(Candidates(Endpoint(3)).contains(Endpoint(0)));
    CPPUNIT_ASSERT(directory_.Ejected(Endpoint(0)));
    now_ += seconds(1);
    RenewFleet(1, {23, 20});
    CPPUNIT_ASSERT(!directory_.Ejected(Endpoint(0)));
    // The counters of the last 10 s still show the old failures.
    now_ += seconds(1);
    RenewFleet(1, {23, 20});
    CPPUNIT_ASSERT(!directory_.Ejected(Endpoint(0)));
  }

  // Guards against a broken worker that is given tasks every five seconds.
  void FailedProbationDoublesTheDelay() {
    RenewFleet(1, {20, 20});
    now_ += seconds(5);
    RenewFleet(1, {20, 20});
    RenewFleet(1, {23, 23});
    CPPUNIT_ASSERT(directory_.Ejected(Endpoint(0)));
    now_ += milliseconds(9999);
    RenewFleet(1, {23, 23});
    CPPUNIT_ASSERT(!Candidates(Endpoint(3)).contains(Endpoint(0)));
    now_ += milliseconds(1);
    RenewFleet(1, {23, 23});
    CPPUNIT_ASSERT(Candidates(Endpoint(3)).contains(Endpoint(0)));
  }

  void FleetWideFailureEjectsNobody() {
    RenewFleet(11);
    CPPUNIT_ASSERT_EQUAL(0, EjectedCount());
  }

  void EjectsAtMostThirtyPercent() {
    RenewFleet(5);
    CPPUNIT_ASSERT_EQUAL(3, EjectedCount());
  }

  Directory directory_;
  TimePoint now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

}  // namespace
}  // namespace coltsfoottide::core
