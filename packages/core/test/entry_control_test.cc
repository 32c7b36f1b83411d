#include "coltsfoottide/core/entry_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include "control_fakes.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeEntry;
using testing::FakeFleet;
using testing::QuotaChange;

class EntryControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryControlTest);
  CPPUNIT_TEST(EntryAloneRegistersAndServes);
  CPPUNIT_TEST(ReadEvidenceExpires);
  CPPUNIT_TEST(EmptyAnswerIsNotReadAgainAtOnce);
  CPPUNIT_TEST(ChangeIsAcceptedAndInForce);
  CPPUNIT_TEST(SameChangeIdIsAppendedOnce);
  CPPUNIT_TEST(ConflictNamesTheCurrentVersion);
  CPPUNIT_TEST(CandidatesAreSentOnChangeOnly);
  CPPUNIT_TEST(OutDataCentreLeavesTheCandidates);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a single entry that waits for a majority it cannot have.
  void EntryAloneRegistersAndServes() {
    FakeFleet fleet;
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.log.records.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, entry.control->config().roster().at(0).incarnation());
    CPPUNIT_ASSERT(entry.control->EvidenceAge(fleet.now));
  }

  // Guards against evidence that is counted from the end of a slow read.
  void ReadEvidenceExpires() {
    FakeFleet fleet;
    fleet.log.records.push_back(testing::RegisterData("10.0.0.2:1", 1));
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    entry.control->Tick(fleet.now);
    const TimePoint started = fleet.now;
    entry.ServeLog(started + milliseconds(600));
    CPPUNIT_ASSERT(milliseconds(700) == *entry.control->EvidenceAge(started + milliseconds(700)));
    CPPUNIT_ASSERT(!entry.control->EvidenceAge(started + milliseconds(1001)));
  }

  // Guards against reading without pause from a log that withholds records.
  void EmptyAnswerIsNotReadAgainAtOnce() {
    FakeFleet fleet;
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    entry.control->Tick(fleet.now);
    const auto request = entry.reads.at(0).first;
    entry.reads.clear();
    LogBatch batch;
    batch.next = 5;
    entry.control->OnReadDone(request, batch, fleet.now);
    CPPUNIT_ASSERT(entry.reads.empty());
    entry.control->Tick(fleet.now + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.reads.size());
    CPPUNIT_ASSERT(!entry.control->EvidenceAge(fleet.now + milliseconds(200)));
  }

  // Guards against a change reported as accepted or in force too early.
  void ChangeIsAcceptedAndInForce() {
    FakeFleet fleet;
    FakeEntry& first = fleet.Add("10.0.0.1:1", 7);
    fleet.Add("10.0.0.2:1", 8);
    fleet.Run(seconds(2));
    first.Renew("10.0.1.1:1", 2, 0, fleet.now);
    auto request = QuotaChange("raise", 50);
    first.control->Change(1, request, fleet.now);
    request.set_wait_in_force_ms(10000);
    first.control->Change(2, request, fleet.now);
    CPPUNIT_ASSERT(first.responses.empty());
    fleet.Run(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.responses[1].size());
    CPPUNIT_ASSERT(first.responses[1][0].accepted() && !first.responses[1][0].in_force());
    CPPUNIT_ASSERT(first.responses[2].empty());
    first.Renew("10.0.1.1:1", first.control->config().next_offset(), 0, fleet.now);
    fleet.Run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.responses[2].size());
    CPPUNIT_ASSERT(first.responses[2][0].in_force());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, first.responses[2][0].version());
  }

  // Guards against a repeated call that appends the change again.
  void SameChangeIdIsAppendedOnce() {
    FakeFleet fleet;
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    fleet.Run(seconds(1));
    entry.control->Change(1, QuotaChange("raise", 50), fleet.now);
    entry.control->Change(2, QuotaChange("raise", 50), fleet.now);
    fleet.Run(seconds(1));
    entry.control->Change(3, QuotaChange("raise", 50), fleet.now);
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.log.records.size());
    for (std::uint64_t call = 1; call <= 3; ++call) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.responses[call].size());
      CPPUNIT_ASSERT(entry.responses[call][0].accepted());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.responses[call][0].version());
    }
  }

  void ConflictNamesTheCurrentVersion() {
    FakeFleet fleet;
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    fleet.Run(seconds(1));
    entry.control->Change(1, QuotaChange("first", 50), fleet.now);
    fleet.Run(seconds(1));
    auto request = QuotaChange("second", 60);
    request.set_check_version(true);
    entry.control->Change(2, request, fleet.now);
    fleet.Run(seconds(1));
    const auto& response = entry.responses[2].at(0);
    CPPUNIT_ASSERT_EQUAL(api::CONFLICT, response.error().reason());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, response.current_version());
    CPPUNIT_ASSERT(!response.accepted());
    CPPUNIT_ASSERT_EQUAL(50U, entry.control->config().Quota("coaches")->starts_per_second());
  }

  // Guards against agents' traffic that grows with the candidate list.
  void CandidatesAreSentOnChangeOnly() {
    FakeFleet fleet;
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    fleet.Run(seconds(1));
    const auto first = entry.Renew("10.0.1.1:1", 0, 0, fleet.now);
    CPPUNIT_ASSERT(first.has_candidates() && first.has_evidence());
    CPPUNIT_ASSERT_EQUAL(first.head_next_offset(), first.config().state().next_offset());
    const auto again =
        entry.Renew("10.0.1.1:1", first.head_next_offset(), first.directory_version(), fleet.now);
    CPPUNIT_ASSERT(!again.has_candidates() && !again.has_config());
    entry.Renew("10.0.1.2:1", 0, 0, fleet.now);
    const auto changed =
        entry.Renew("10.0.1.1:1", first.head_next_offset(), first.directory_version(), fleet.now);
    CPPUNIT_ASSERT_EQUAL(2, changed.candidates_size());
  }

  // Guards against tasks placed in a data centre after it was taken out.
  void OutDataCentreLeavesTheCandidates() {
    FakeFleet fleet;
    FakeEntry& entry = fleet.Add("10.0.0.1:1", 7);
    fleet.Run(seconds(1));
    const auto before = entry.Renew("10.0.1.1:1", 0, 0, fleet.now);
    CPPUNIT_ASSERT_EQUAL(1, before.candidates_size());
    api::ChangeConfigRequest request;
    request.mutable_data_centre()->set_name("rw-central-a");
    request.mutable_data_centre()->set_out(true);
    entry.control->Change(1, request, fleet.now);
    fleet.Run(milliseconds(500));
    const auto after = entry.Renew("10.0.1.1:1", 0, before.directory_version(), fleet.now);
    CPPUNIT_ASSERT(after.has_candidates());
    CPPUNIT_ASSERT_EQUAL(0, after.candidates_size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryControlTest);

}  // namespace
}  // namespace coltsfoottide::core
