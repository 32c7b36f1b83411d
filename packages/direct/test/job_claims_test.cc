#include "coltsfoottide/direct/job_claims.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/claim_registry.h"
#include "coltsfoottide/direct/claim_registry_sink.h"
#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/job_claims_sink.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/rendezvous_hash.h"
#include "coltsfoottide/direct/rival_claim.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr ClaimRegistry::Tuning kTuning{std::chrono::milliseconds(1250),
                                        std::chrono::milliseconds(1950),
                                        std::chrono::milliseconds(950)};

// Entries that are connected to each other. Messages wait until they are delivered.
class ClaimingEntries {
 public:
  class Entry : public JobClaimsSink, public ClaimRegistrySink {
   public:
    Entry(ClaimingEntries& owner, std::string own_name, std::uint32_t first_number)
        : name(std::move(own_name)),
          claims(name, first_number, *this),
          registry(kTuning, *this),
          owner_(owner) {}

    void SendClaim(const std::string& to, const JobClaim& claim) override {
      owner_.Send(name, to, [claim, from = name](Entry& it, core::TimePoint now) {
        it.registry.OnClaim(from, claim, now);
      });
    }
    void SendRelease(const std::string& to, const ClaimRelease& release) override {
      owner_.Send(name, to, [release, from = name](Entry& it, core::TimePoint now) {
        it.registry.OnRelease(from, release, now);
      });
    }
    void SendBegunJobs(const std::string& to, const std::vector<std::uint32_t>& jobs) override {
      owner_.Send(name, to,
                  [jobs](Entry& it, core::TimePoint now) { it.claims.OnBegunJobs(jobs, now); });
    }
    void SendVerdict(const std::string& to, const ClaimVerdict& verdict) override {
      owner_.Send(name, to, [verdict, from = name](Entry& it, core::TimePoint now) {
        it.claims.OnVerdict(from, verdict, now);
      });
    }
    void SendRival(const std::string& to, const RivalClaim& message) override {
      owner_.Send(name, to, [message, from = name](Entry& it, core::TimePoint now) {
        it.claims.OnRival(from, message, now);
      });
    }
    void OnGranted(JobRequest request, core::TimePoint /*now*/) override {
      may_have_run = request.may_have_run;
      if (refuses) return claims.Release(request.id, std::nullopt);
      running.insert(request.id);
    }
    void OnOutcome(const std::string& job, const JobOutcome& outcome) override {
      outcomes[job] = outcome.kind;
    }
    void OnClaimLost(const std::string& job, const std::string& /*holder*/,
                     core::TimePoint /*now*/) override {
      running.erase(job);
      claims.Release(job, std::nullopt);
    }
    void OnClaimExpired(const std::string& job, core::TimePoint /*now*/) override {
      expired.insert(job);
      running.erase(job);
      claims.Release(job, std::nullopt);
    }
    void OnAwaitedElsewhere(const RivalClaim& message, core::TimePoint /*now*/) override {
      returned.insert(message.job);
    }
    void OnTakenElsewhere(const std::string& /*job*/, const std::string& /*holder*/) override {}
    void OnUnanswered(const std::string& entry) override { unanswered.insert(entry); }

    void End(const std::string& job, JobOutcome::Kind kind) {
      running.erase(job);
      claims.Release(job, JobOutcome{kind, "", {}});
    }

    const std::string name;
    JobClaims claims;
    ClaimRegistry registry;
    // Jobs that this entry coordinates.
    std::set<std::string> running;
    bool may_have_run = false;
    // Jobs end as soon as they are granted.
    bool refuses = false;
    std::map<std::string, JobOutcome::Kind> outcomes;
    std::set<std::string> returned;
    std::set<std::string> expired;
    std::set<std::string> unanswered;

   private:
    ClaimingEntries& owner_;
  };

  explicit ClaimingEntries(int count) { Reset(count); }
  ClaimingEntries(const ClaimingEntries&) = delete;
  ClaimingEntries& operator=(const ClaimingEntries&) = delete;

  void Reset(int count) {
    messages_.clear();
    entries_.clear();
    paused.clear();
    cut_off.clear();
    for (int i = 0; i < count; ++i) Start("entry-" + std::to_string(i));
  }

  // `complete`: the entry is connected to all that it knows of.
  Entry& Start(const std::string& name, bool complete = true) {
    auto added = std::make_unique<Entry>(*this, name, ++processes_ * 1000);
    Entry& entry = *added;
    entries_[name] = std::move(added);
    for (auto& [other, it] : entries_) {
      if (other == name) continue;
      it->registry.OnDisconnected(name, now);
      it->claims.OnConnected(name, now);
      entry.claims.OnConnected(other, now);
    }
    entry.claims.SetConnected(complete, now);
    entry.claims.SetReachesAll(reaches_all);
    return entry;
  }

  // The entry's process ends; what it has sent and is not delivered is lost.
  void Kill(const std::string& name) {
    Disconnect(name);
    entries_.erase(name);
  }
  void Disconnect(const std::string& name) {
    std::erase_if(messages_, [&](const Message& it) { return it.from == name || it.to == name; });
    for (auto& [other, it] : entries_) {
      if (other == name) continue;
      it->registry.OnDisconnected(name, now);
      it->claims.OnDisconnected(name, now);
    }
  }

  Entry& at(const std::string& name) { return *entries_.at(name); }

  void Send(const std::string& from, const std::string& to,
            std::function<void(Entry&, core::TimePoint)> deliver) {
    if (from == to) return deliver(at(to), now);
    if (entries_.contains(to)) messages_.push_back({from, to, std::move(deliver)});
  }

  // Delivers all messages but those to entries that stand still, and to or from entries that are
  // cut off.
  void Deliver() {
    for (std::size_t i = 0; i < messages_.size();) {
      const bool held = cut_off.contains(messages_[i].from) || cut_off.contains(messages_[i].to);
      if (held || paused.contains(messages_[i].to)) {
        ++i;
        continue;
      }
      const Message message = std::move(messages_[i]);
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i));
      Entry& entry = at(message.to);
      entry.registry.OnHeard(message.from, now);
      entry.claims.OnHeard(message.from);
      message.deliver(entry, now);
      i = 0;
    }
  }

  void Advance(core::Duration duration) {
    for (core::TimePoint end = now + duration; now < end;) {
      now += Ms(20);
      for (auto& [name, it] : entries_) {
        if (paused.contains(name)) continue;
        it->registry.Advance(now);
        it->claims.Advance(now);
        for (auto& [other, peer] : entries_) {
          if (other == name || paused.contains(other)) continue;
          if (cut_off.contains(name) || cut_off.contains(other)) continue;
          peer->registry.OnHeard(name, now);
          peer->registry.OnStamp(name, now);
          peer->claims.OnBegunJobs(it->claims.TakeBegunJobs(other), now);
        }
      }
      Deliver();
    }
  }

  void Submit(const std::string& entry, const std::string& job) {
    JobRequest request = SampleJob(job, 1);
    request.deadline = now + Ms(5000);
    at(entry).claims.Claim(request, now);
    Deliver();
  }

  // Entries that coordinate the job, separated by blanks.
  std::string Coordinators(const std::string& job) const {
    std::string names;
    for (const auto& [name, it] : entries_) {
      if (it->running.contains(job)) names += (names.empty() ? "" : " ") + name;
    }
    return names;
  }

  // The entries, the ones that record claims of the job first.
  std::vector<std::string> Rank(const std::string& job) const {
    std::vector<std::string> names;
    for (const auto& [name, it] : entries_) names.push_back(name);
    return HighestRanked(job, names, names.size());
  }

  std::size_t Recorded() const {
    std::size_t n = 0;
    for (const auto& [name, it] : entries_) n += it->registry.size();
    return n;
  }

  core::TimePoint now = kStart;
  std::set<std::string> paused;
  std::set<std::string> cut_off;
  // Of entries that start: whether they are connected to all that they know.
  bool reaches_all = false;

 private:
  struct Message {
    std::string from;
    std::string to;
    std::function<void(Entry&, core::TimePoint)> deliver;
  };

  std::map<std::string, std::unique_ptr<Entry>> entries_;
  std::deque<Message> messages_;
  std::uint32_t processes_ = 0;
};

// A caller leaves an entry unnoticed and submits its job again through another one.
class JobClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobClaimsTest);
  CPPUNIT_TEST(SecondSubmissionWaitsForTheFirst);
  CPPUNIT_TEST(SecondSubmissionGetsTheOutcome);
  CPPUNIT_TEST(LateDuplicateGetsTheOutcome);
  CPPUNIT_TEST(SecondSubmissionRunsAfterTheFirstHasBeenGivenUp);
  CPPUNIT_TEST(HolderIsKnownAfterOneRecorderHasRestarted);
  CPPUNIT_TEST(HolderIsKnownAfterOneRecorderHasDied);
  CPPUNIT_TEST(PausedRecorderDelaysNoJob);
  CPPUNIT_TEST(HolderIsKnownWhileARecorderStandsStill);
  CPPUNIT_TEST(HolderIsKnownAfterItsRecordersStandStill);
  CPPUNIT_TEST(WaitingEntryWaitsOnAfterItsRecordersHaveDied);
  CPPUNIT_TEST(LapsedClaimPassesToAJobThatEndsAtOnce);
  CPPUNIT_TEST(StaleRecordIsReleased);
  CPPUNIT_TEST(WaitingEntriesDoNotBlockEachOther);
  CPPUNIT_TEST(StartingEntryGrantsNothing);
  CPPUNIT_TEST(RunningJobWinsOverAPendingClaim);
  CPPUNIT_TEST(ClaimOfADeadEntryLapses);
  CPPUNIT_TEST(ClaimOfASilentEntryLapses);
  CPPUNIT_TEST(RestartedEntryDoesNotRenewItsClaims);
  CPPUNIT_TEST(OldGrantIsNotActedOn);
  CPPUNIT_TEST(SimultaneousClaimsDoNotBlockEachOther);
  CPPUNIT_TEST(SecondSubmissionEndsAtItsDeadline);
  CPPUNIT_TEST(EntryAloneGrantsItself);
  CPPUNIT_TEST(ClaimAtTheLapseOfAnotherIsAnswered);
  CPPUNIT_TEST(AnswersThatAreNotReadYetAreWaitedFor);
  CPPUNIT_TEST(LaterCallerIsWaitedFor);
  CPPUNIT_TEST(GrantOfACompleteRecorderIsEnough);
  CPPUNIT_TEST(LastingJobIsKnownToBothRecorders);
  CPPUNIT_TEST(RecorderThatMayMissAClaimIsNotEnough);
  CPPUNIT_TEST(EntryThatHasLostAConnectionAsksAllRecorders);
  CPPUNIT_TEST(NewJobIsGrantedWithoutAsking);
  CPPUNIT_TEST(JobThatAnotherEntryHasBegunIsNotNew);
  CPPUNIT_TEST(QuickJobIsNotRunAgain);
  CPPUNIT_TEST(RestartedEntryHearsOfEarlierJobs);
  CPPUNIT_TEST(EntryThatDoesNotReachAllAsks);
  CPPUNIT_TEST(RequestReadLateIsNotNew);
  CPPUNIT_TEST(RestartedRecorderIsNotEnoughForAJobThatHasBegun);
  CPPUNIT_TEST(StoppingEntryLeavesItsOutcomes);
  CPPUNIT_TEST(ReleasedClaimsLeaveNothing);
  CPPUNIT_TEST(OnlyJobsThatNoEntryCanHaveBegunAreNew);
  CPPUNIT_TEST(EntryThatIsCutOffGivesItsJobsUp);
  CPPUNIT_TEST(LeaseLastsWhileOneEntryConfirmsIt);
  CPPUNIT_TEST(DelayedConfirmationExtendsNoLease);
  CPPUNIT_TEST(EntryAloneKeepsItsJobs);
  CPPUNIT_TEST_SUITE_END();

 private:
  // Guards against two entries that coordinate the same job.
  void SecondSubmissionWaitsForTheFirst() {
    for (int i = 0; i < 50; ++i) {
      const std::string job = "job-" + std::to_string(i);
      entries_.Submit("entry-0", job);
      CPPUNIT_ASSERT_EQUAL(std::string("entry-0"), entries_.Coordinators(job));
      entries_.Submit("entry-1", job);
      CPPUNIT_ASSERT_EQUAL(std::string("entry-0"), entries_.Coordinators(job));
      CPPUNIT_ASSERT(entries_.at("entry-0").returned.contains(job));
      CPPUNIT_ASSERT(entries_.at("entry-1").claims.IsPending(job));
    }
  }

  // Guards against a caller that waits at the second entry for good, and against work that is
  // done twice.
  void SecondSubmissionGetsTheOutcome() {
    entries_.Submit("entry-0", "j");
    entries_.Submit("entry-1", "j");
    entries_.at("entry-0").End("j", JobOutcome::Kind::kCompleted);
    entries_.Deliver();
    CPPUNIT_ASSERT(entries_.at("entry-1").outcomes.at("j") == JobOutcome::Kind::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
  }

  // Guards against a job that runs again when its request is delivered a second time, at an
  // entry that has not had it.
  void LateDuplicateGetsTheOutcome() {
    entries_.Submit("entry-0", "j");
    entries_.at("entry-0").End("j", JobOutcome::Kind::kCompleted);
    entries_.Advance(Ms(5000));
    entries_.Submit("entry-2", "j");
    CPPUNIT_ASSERT(entries_.at("entry-2").outcomes.at("j") == JobOutcome::Kind::kCompleted);
  }

  // Guards against a caller that is told that its job has not run, or gets no answer, when the
  // first entry has given the job up.
  void SecondSubmissionRunsAfterTheFirstHasBeenGivenUp() {
    entries_.Submit("entry-0", "j");
    entries_.Submit("entry-1", "j");
    entries_.at("entry-0").running.erase("j");
    entries_.at("entry-0").claims.Release("j", std::nullopt);
    entries_.Advance(Ms(100));
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), entries_.Coordinators("j"));
    CPPUNIT_ASSERT(entries_.at("entry-1").may_have_run);
  }

  // Guards against a restarted entry that grants a job of which it has forgotten the
  // coordinator.
  void HolderIsKnownAfterOneRecorderHasRestarted() {
    ForEachRecorder([this](const std::string& recorder) {
      entries_.Kill(recorder);
      entries_.Start(recorder);
    });
  }

  // Guards against a claim that is forgotten with the entry that recorded it.
  void HolderIsKnownAfterOneRecorderHasDied() {
    ForEachRecorder([this](const std::string& recorder) { entries_.Kill(recorder); });
  }

  // Guards against jobs that wait for an entry which does not answer.
  void PausedRecorderDelaysNoJob() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.paused.insert(rank[0]);
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(60));
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    CPPUNIT_ASSERT(entries_.at(rank[2]).unanswered.contains(rank[0]));
  }

  // Guards against two entries that each have the agreement of another entry, where the first
  // claim was made while an entry did not answer.
  void HolderIsKnownWhileARecorderStandsStill() {
    const std::vector<std::string> rank = entries_.Rank("j");
    for (const bool wakes : {false, true}) {
      const std::string job = "j";
      entries_.Reset(4);
      entries_.paused = {rank[0], rank[1]};
      entries_.Submit(rank[2], job);
      entries_.Advance(Ms(800));
      CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators(job));
      if (wakes) entries_.paused.clear();
      entries_.Submit(rank[3], job);
      entries_.Advance(Ms(1000));
      CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators(job));
    }
  }

  // Guards against a second run when the entries that have recorded the claim stop answering
  // while the job runs, and its caller comes back before their connections are closed.
  void HolderIsKnownAfterItsRecordersStandStill() {
    for (const int ms : {700, 1300}) {
      entries_.Reset(4);
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Submit(rank[2], "j");
      entries_.Advance(Ms(ms));
      entries_.paused = {rank[0], rank[1]};
      entries_.Submit(rank[3], "j");
      entries_.Advance(Ms(1500));
      CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    }
  }

  // Guards against two runs when the entries that have told a waiting entry of the coordinator
  // die.
  void WaitingEntryWaitsOnAfterItsRecordersHaveDied() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[3], "j");
    entries_.Submit(rank[2], "j");
    // The waiting entry learns of the deaths first.
    for (const std::size_t i : {0, 1}) {
      entries_.at(rank[2]).claims.OnDisconnected(rank[i], entries_.now);
      entries_.Deliver();
    }
    entries_.Advance(Ms(300));
    CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
  }

  // Guards against an entry that ends with an error when a lapsed claim passes to itself and
  // the job ends at once.
  void LapsedClaimPassesToAJobThatEndsAtOnce() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.at(rank[0]).refuses = true;
    entries_.Submit(rank[0], "j");
    entries_.Kill(rank[2]);
    entries_.Advance(Ms(1500));
    CPPUNIT_ASSERT(!entries_.at(rank[0]).claims.IsPending("j"));
  }

  // Guards against a job that nobody can coordinate any more, because a record names an entry
  // that has ended the job.
  void StaleRecordIsReleased() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.at(rank[0]).registry.OnClaim(rank[2], {"j", 77, false, {}}, entries_.now);
    entries_.Deliver();
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(100));
    CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
  }

  // Guards against two waiting entries that each get one of the records and wait for each
  // other.
  void WaitingEntriesDoNotBlockEachOther() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.Submit(rank[0], "j");
    entries_.Submit(rank[1], "j");
    ClaimingEntries::Entry& holder = entries_.at(rank[2]);
    holder.running.erase("j");
    holder.claims.Release("j", std::nullopt);
    entries_.Advance(Ms(200));
    const std::string coordinator = entries_.Coordinators("j");
    CPPUNIT_ASSERT(coordinator == rank[0] || coordinator == rank[1]);
  }

  // Guards against an entry that has just started and grants itself a job that an entry it is
  // not connected to yet has recorded.
  void StartingEntryGrantsNothing() {
    ClaimingEntries::Entry& starting = entries_.Start("entry-9", false);
    entries_.Submit("entry-9", "j");
    entries_.Advance(Ms(500));
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
    starting.claims.SetConnected(true, entries_.now);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-9"), entries_.Coordinators("j"));
  }

  // Guards against a running job that is given up, because an entry that only waits for it is
  // recorded as its coordinator where the job is claimed anew.
  void RunningJobWinsOverAPendingClaim() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.Kill(rank[1]);
    // The waiting entry's claim arrives first at the entry that is asked in place of the dead one.
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(300));
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    JobClaim pending{"other", 1, false, Ms(1000)};
    JobClaim held{"other", 2, true, {}};
    ClaimingEntries::Entry& recorder = entries_.at(rank[0]);
    recorder.registry.OnClaim(rank[3], pending, entries_.now);
    recorder.registry.OnClaim(rank[2], held, entries_.now);
    recorder.registry.OnRelease(rank[3], {"other", 1, std::nullopt}, entries_.now);
    recorder.registry.OnClaim(rank[3], {"other", 3, true, {}}, entries_.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, recorder.registry.size());
  }

  // Guards against a job that nobody may coordinate after its entry has died, and against one
  // that starts again while the dead entry's runs go on.
  void ClaimOfADeadEntryLapses() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.Kill(rank[2]);
    entries_.Advance(Ms(1000));
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(200));
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
    entries_.Advance(Ms(100));
    CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
  }

  // Guards against a caller that waits in vain while the first entry stands still, and against
  // a job that the first entry goes on with when it wakes.
  void ClaimOfASilentEntryLapses() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(100));
    entries_.paused.insert(rank[2]);
    entries_.Advance(Ms(1300));
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(500));
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    entries_.Advance(Ms(300));
    CPPUNIT_ASSERT_EQUAL(rank[2] < rank[3] ? rank[2] + ' ' + rank[3] : rank[3] + ' ' + rank[2],
                         entries_.Coordinators("j"));
    entries_.paused.clear();
    entries_.Advance(Ms(40));
    CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
  }

  // Guards against a restarted entry that starts a job again while runs of its earlier process
  // go on.
  void RestartedEntryDoesNotRenewItsClaims() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.Kill(rank[2]);
    entries_.Advance(Ms(200));
    entries_.Start(rank[2]);
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(500));
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
    entries_.Advance(Ms(700));
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
  }

  // Guards against an entry that stood still and starts a job by a grant that has lapsed since.
  void OldGrantIsNotActedOn() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.paused.insert(rank[2]);
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(2000));
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(100));
    CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
    entries_.paused.clear();
    entries_.Advance(Ms(100));
    CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
    CPPUNIT_ASSERT(entries_.at(rank[2]).claims.IsPending("j"));
  }

  // Guards against two entries that wait for each other until the caller's deadline.
  void SimultaneousClaimsDoNotBlockEachOther() {
    const std::vector<std::string> rank = entries_.Rank("j");
    JobRequest request = SampleJob("j", 1);
    request.deadline = entries_.now + Ms(5000);
    // Each records its own claim at once.
    entries_.at(rank[0]).claims.Claim(request, entries_.now);
    entries_.at(rank[1]).claims.Claim(request, entries_.now);
    entries_.Advance(Ms(100));
    const std::string coordinator = entries_.Coordinators("j");
    CPPUNIT_ASSERT(coordinator == rank[0] || coordinator == rank[1]);
  }

  // Guards against a caller that gets no answer while the first entry has the job, or is told
  // that the job has not run.
  void SecondSubmissionEndsAtItsDeadline() {
    entries_.Submit("entry-0", "j");
    entries_.Submit("entry-1", "j");
    entries_.Advance(Ms(5100));
    CPPUNIT_ASSERT(entries_.at("entry-1").outcomes.at("j") == JobOutcome::Kind::kMayHaveRun);
    CPPUNIT_ASSERT(!entries_.at("entry-1").claims.IsPending("j"));
  }

  // Guards against an entry that serves nothing while it is the only one.
  void EntryAloneGrantsItself() {
    entries_.Reset(1);
    entries_.Submit("entry-0", "j");
    CPPUNIT_ASSERT_EQUAL(std::string("entry-0"), entries_.Coordinators("j"));
  }

  // Guards against two entries that coordinate a job, because a claim that arrives when an
  // earlier one has lapsed passes the job to another waiting entry and is not answered.
  void ClaimAtTheLapseOfAnotherIsAnswered() {
    struct Verdicts : ClaimRegistrySink {
      void SendVerdict(const std::string& entry, const ClaimVerdict& verdict) override {
        kinds[entry] = verdict.kind;
      }
      void SendRival(const std::string& /*entry*/, const RivalClaim& /*message*/) override {}
      std::map<std::string, ClaimVerdict::Kind> kinds;
    } verdicts;
    ClaimRegistry registry(kTuning, verdicts);
    registry.OnClaim("dead", {"j", 1, false, Ms(5000)}, kStart);
    registry.OnClaim("waiting", {"j", 2, false, Ms(5000)}, kStart);
    registry.OnDisconnected("dead", kStart);
    registry.OnClaim("late", {"j", 3, false, Ms(5000)}, kStart + Ms(1250));
    CPPUNIT_ASSERT(verdicts.kinds.at("waiting") == ClaimVerdict::Kind::kGranted);
    CPPUNIT_ASSERT(verdicts.kinds.contains("late"));
    CPPUNIT_ASSERT(verdicts.kinds.at("late") == ClaimVerdict::Kind::kTaken);
  }

  // Guards against an entry that stood still and takes answers that it has not read yet for
  // missing ones.
  void AnswersThatAreNotReadYetAreWaitedFor() {
    entries_.Reset(3);
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[0], "j");
    JobRequest request = SampleJob("j", 1);
    request.deadline = entries_.now + Ms(5000);
    JobClaims& claims = entries_.at(rank[2]).claims;
    claims.Claim(request, entries_.now);
    entries_.now += Ms(800);
    claims.OnPause();
    claims.Advance(entries_.now);
    entries_.Deliver();
    CPPUNIT_ASSERT_EQUAL(rank[0], entries_.Coordinators("j"));
  }

  // Guards against a caller that is given up at the deadline of an earlier one that waited for
  // the same job.
  void LaterCallerIsWaitedFor() {
    entries_.Submit("entry-0", "j");
    entries_.Submit("entry-1", "j");
    entries_.at("entry-1").claims.ExtendDeadline("j", entries_.now + Ms(8000));
    entries_.Advance(Ms(6000));
    CPPUNIT_ASSERT(entries_.at("entry-1").claims.IsPending("j"));
  }

  // Guards against jobs that wait for a slow entry although another one knows that they are new.
  void GrantOfACompleteRecorderIsEnough() {
    for (const std::size_t slow : {0, 1}) {
      entries_.Reset(4);
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Advance(Ms(3000));
      entries_.paused.insert(rank[slow]);
      entries_.Submit(rank[2], "j");
      // Only the entry that ranks first is asked at once.
      if (slow == 0) entries_.Advance(Ms(60));
      CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    }
  }

  // Guards against a second run of a job that only one recorder knows of at first: the other
  // learns of it before its caller can come back.
  void LastingJobIsKnownToBothRecorders() {
    for (const std::size_t lost : {0, 1}) {
      entries_.Reset(4);
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Advance(Ms(3000));
      entries_.Submit(rank[2], "j");
      entries_.Advance(Ms(300));
      entries_.Kill(rank[lost]);
      entries_.Submit(rank[3], "j");
      entries_.Advance(Ms(500));
      CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    }
  }

  // Guards against an entry that takes its records for complete although an entry, whose claims
  // it may not have read, is silent, or was connected lately.
  void RecorderThatMayMissAClaimIsNotEnough() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Advance(Ms(3000));
    entries_.paused.insert(rank[0]);
    entries_.Advance(Ms(960));
    entries_.Submit(rank[2], "j");
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
    entries_.paused.clear();
    entries_.Advance(Ms(3000));
    entries_.Start("entry-9");
    entries_.paused.insert(rank[0]);
    entries_.Submit(rank[2], "k");
    const std::vector<std::string> rank_k = entries_.Rank("k");
    if (rank_k[0] == rank[0] || rank_k[1] == rank[0]) {
      CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("k"));
    }
  }

  // Whether an overloaded entry may refuse a job without a claim. Guards against an answer that it
  // has not run although another entry, or this one, has begun it.
  void OnlyJobsThatNoEntryCanHaveBegunAreNew() {
    entries_.reaches_all = true;
    entries_.Reset(4);
    const auto is_new = [this](const std::string& entry, const std::string& job) {
      ClaimingEntries::Entry& it = entries_.at(entry);
      return it.claims.IsNew(job, entries_.now) &&
             it.registry.IsCertainlyUnknown(job, entries_.now);
    };
    // Its records may not be complete yet.
    CPPUNIT_ASSERT(!is_new("entry-0", "j"));
    entries_.Advance(Ms(3000));
    CPPUNIT_ASSERT(is_new("entry-0", "j"));
    entries_.Submit("entry-1", "j");
    CPPUNIT_ASSERT(!is_new("entry-1", "j"));
    entries_.Advance(Ms(40));
    CPPUNIT_ASSERT(!is_new("entry-0", "j"));
    CPPUNIT_ASSERT(is_new("entry-0", "k"));
    entries_.at("entry-1").End("j", JobOutcome::Kind::kCompleted);
    entries_.Advance(Ms(1000));
    CPPUNIT_ASSERT(!is_new("entry-0", "j"));
    // What a silent entry has begun is not known.
    entries_.paused.insert("entry-1");
    entries_.Advance(Ms(1300));
    CPPUNIT_ASSERT(!is_new("entry-0", "k"));
    entries_.paused.clear();
    entries_.Advance(Ms(100));
    CPPUNIT_ASSERT(is_new("entry-0", "k"));
    entries_.at("entry-0").claims.SetReachesAll(false);
    CPPUNIT_ASSERT(!is_new("entry-0", "k"));
  }

  // Guards against two coordinators after an entry has lost its connection to a recorder, and so
  // takes others for the recorders.
  void EntryThatHasLostAConnectionAsksAllRecorders() {
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Advance(Ms(3000));
    entries_.Submit(rank[0], "j");
    ClaimingEntries::Entry& entry = entries_.at(rank[3]);
    entry.registry.OnDisconnected(rank[0], entries_.now);
    entry.claims.OnDisconnected(rank[0], entries_.now);
    entries_.paused.insert(rank[1]);
    entries_.Submit(rank[3], "j");
    CPPUNIT_ASSERT_EQUAL(rank[0], entries_.Coordinators("j"));
  }

  // Guards against jobs that wait for other entries although no caller can have submitted them
  // before.
  void NewJobIsGrantedWithoutAsking() {
    StartConnected();
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.paused = {rank[0], rank[1], rank[3]};
    entries_.Submit(rank[2], "j");
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
  }

  // Guards against a second run of a job that its first entry has begun without asking another.
  void JobThatAnotherEntryHasBegunIsNotNew() {
    for (const int ms : {400, 1300, 15000, 45000}) {
      StartConnected();
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Submit(rank[2], "j");
      entries_.Advance(Ms(ms));
      for (const std::size_t i : {0, 1, 3}) {
        entries_.Submit(rank[i], "j");
        entries_.Advance(Ms(100));
        CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
        CPPUNIT_ASSERT(entries_.at(rank[i]).claims.IsPending("j"));
      }
      CPPUNIT_ASSERT(entries_.at(rank[2]).returned.contains("j"));
    }
  }

  // Guards against a job that runs again after its answer was lost, because it had ended before
  // any other entry heard of it.
  void QuickJobIsNotRunAgain() {
    StartConnected();
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.at(rank[2]).End("j", JobOutcome::Kind::kCompleted);
    entries_.Advance(Ms(1300));
    for (const std::size_t i : {0, 1, 3}) {
      entries_.Submit(rank[i], "j");
      CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
      CPPUNIT_ASSERT(entries_.at(rank[i]).outcomes.at("j") == JobOutcome::Kind::kCompleted);
    }
  }

  // Guards against an entry that has missed the jobs which others began before it started.
  void RestartedEntryHearsOfEarlierJobs() {
    for (const bool ended : {false, true}) {
      StartConnected();
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Submit(rank[2], "j");
      if (ended) entries_.at(rank[2]).End("j", JobOutcome::Kind::kCompleted);
      entries_.Advance(Ms(300));
      entries_.Kill(rank[3]);
      entries_.Start(rank[3]);
      entries_.Advance(Ms(4000));
      entries_.Submit(rank[3], "j");
      CPPUNIT_ASSERT_EQUAL(ended ? std::string() : rank[2], entries_.Coordinators("j"));
    }
  }

  // Guards against two coordinators while two entries are not connected to each other, so that
  // neither hears of the jobs of the other one.
  void EntryThatDoesNotReachAllAsks() {
    StartConnected();
    const std::vector<std::string> rank = entries_.Rank("j");
    for (const auto& [one, other] : {std::pair(rank[2], rank[3]), std::pair(rank[3], rank[2])}) {
      ClaimingEntries::Entry& entry = entries_.at(one);
      entry.registry.OnDisconnected(other, entries_.now);
      entry.claims.OnDisconnected(other, entries_.now);
      entry.claims.SetReachesAll(false);
    }
    entries_.Advance(Ms(3000));
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(1300));
    entries_.Submit(rank[3], "j");
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
  }

  // Guards against an entry that stood still and begins a job of a request that has waited, while
  // another entry begins it for the caller who has come back.
  void RequestReadLateIsNotNew() {
    StartConnected();
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.paused.insert(rank[2]);
    entries_.Advance(Ms(900));
    entries_.paused.clear();
    entries_.Submit(rank[2], "j");
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(400));
    // One of the two coordinates the job.
    const std::string coordinator = entries_.Coordinators("j");
    CPPUNIT_ASSERT(coordinator == rank[2] || coordinator == rank[3]);
  }

  // Guards against a completed job that runs again, because one of the two entries that have
  // recorded its outcome has restarted.
  void RestartedRecorderIsNotEnoughForAJobThatHasBegun() {
    for (const std::size_t recorder : {0, 1}) {
      StartConnected();
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Submit(rank[2], "j");
      entries_.at(rank[2]).End("j", JobOutcome::Kind::kCompleted);
      entries_.Advance(Ms(600));
      entries_.Kill(rank[recorder]);
      entries_.Start(rank[recorder]);
      entries_.Advance(Ms(4000));
      entries_.Submit(rank[3], "j");
      CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
      CPPUNIT_ASSERT(entries_.at(rank[3]).outcomes.at("j") == JobOutcome::Kind::kCompleted);
    }
  }

  // Guards against a completed job that runs again, because its entry has stopped before it has
  // told the others.
  void StoppingEntryLeavesItsOutcomes() {
    StartConnected();
    const std::vector<std::string> rank = entries_.Rank("j");
    ClaimingEntries::Entry& stopping = entries_.at(rank[2]);
    entries_.Submit(rank[2], "j");
    stopping.End("j", JobOutcome::Kind::kCompleted);
    CPPUNIT_ASSERT(stopping.claims.HasUnsent());
    stopping.claims.Flush();
    CPPUNIT_ASSERT(!stopping.claims.HasUnsent());
    entries_.Deliver();
    entries_.Kill(rank[2]);
    entries_.Advance(Ms(1300));
    entries_.Submit(rank[3], "j");
    entries_.Advance(Ms(3000));
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
    CPPUNIT_ASSERT(entries_.at(rank[3]).outcomes.at("j") == JobOutcome::Kind::kCompleted);
  }

  // Guards against records that grow with each job.
  void ReleasedClaimsLeaveNothing() {
    for (int i = 0; i < 100; ++i) {
      const std::string job = "job-" + std::to_string(i);
      entries_.Submit("entry-" + std::to_string(i % 4), job);
      if (i % 2 == 0) {
        entries_.at("entry-" + std::to_string(i % 4)).End(job, JobOutcome::Kind::kCompleted);
      } else {
        entries_.at("entry-" + std::to_string(i % 4)).claims.Release(job, std::nullopt);
      }
    }
    entries_.Advance(Ms(11000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entries_.Recorded());
  }

  // Guards against two coordinators of a job: one that is cut off from all other entries, and one
  // to which the caller has submitted the job again.
  void EntryThatIsCutOffGivesItsJobsUp() {
    for (const int ms : {0, 100, 700, 3000}) {
      StartConnected();
      const std::vector<std::string> rank = entries_.Rank("j");
      entries_.Submit(rank[2], "j");
      entries_.Advance(Ms(ms));
      entries_.cut_off.insert(rank[2]);
      entries_.Advance(Ms(1200));
      CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
      entries_.Advance(Ms(100));
      entries_.Submit(rank[3], "j");
      entries_.Advance(Ms(1500));
      CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
      entries_.cut_off.clear();
      entries_.Advance(Ms(100));
      CPPUNIT_ASSERT_EQUAL(rank[3], entries_.Coordinators("j"));
    }
  }

  // Guards against running jobs that are given up because the entries that have recorded them are
  // lost.
  void LeaseLastsWhileOneEntryConfirmsIt() {
    StartConnected();
    const std::vector<std::string> rank = entries_.Rank("j");
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(700));
    entries_.paused = {rank[0], rank[1]};
    entries_.Advance(Ms(5000));
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    CPPUNIT_ASSERT(entries_.at(rank[2]).expired.empty());
  }

  // Guards against a lease that is counted from a later claim than the one that was confirmed, so
  // that a coordinator goes on after its claim has lapsed.
  void DelayedConfirmationExtendsNoLease() {
    const std::vector<std::string> rank = entries_.Rank("j");
    ClaimingEntries::Entry& entry = entries_.at(rank[2]);
    entries_.Submit(rank[2], "j");
    entries_.Advance(Ms(1000));
    entries_.now += Ms(20);
    entry.claims.Advance(entries_.now);
    entries_.paused.insert(rank[2]);
    entries_.Advance(Ms(600));
    // Sends a further claim, which does not arrive, before it reads the answer to the last one.
    entry.claims.Advance(entries_.now);
    CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
    entries_.paused = {rank[0], rank[1], rank[3]};
    entries_.Deliver();
    entries_.paused.clear();
    entries_.cut_off.insert(rank[2]);
    entries_.Advance(Ms(600));
    CPPUNIT_ASSERT_EQUAL(std::string(), entries_.Coordinators("j"));
  }

  // Guards against a last entry that gives up each job that lasts, as nobody confirms its claims.
  void EntryAloneKeepsItsJobs() {
    entries_.Reset(1);
    entries_.Submit("entry-0", "j");
    entries_.Advance(Ms(5000));
    CPPUNIT_ASSERT_EQUAL(std::string("entry-0"), entries_.Coordinators("j"));
  }

  // Four entries that know of all jobs.
  void StartConnected() {
    entries_.reaches_all = true;
    entries_.Reset(4);
    entries_.Advance(Ms(3000));
  }

  // A job runs at an entry when one of the two that record its claim fails, and its caller
  // comes to a third one at any time after that.
  void ForEachRecorder(const std::function<void(const std::string&)>& fail) {
    for (const int recorder : {0, 1}) {
      for (const int ms : {0, 20, 1300, 3000}) {
        entries_.Reset(4);
        const std::vector<std::string> rank = entries_.Rank("j");
        entries_.Submit(rank[2], "j");
        fail(rank[static_cast<std::size_t>(recorder)]);
        entries_.Advance(Ms(ms));
        entries_.Submit(rank[3], "j");
        entries_.Advance(Ms(500));
        CPPUNIT_ASSERT_EQUAL(rank[2], entries_.Coordinators("j"));
      }
    }
  }

  ClaimingEntries entries_{4};
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobClaimsTest);

}  // namespace
}  // namespace coltsfoottide::direct
