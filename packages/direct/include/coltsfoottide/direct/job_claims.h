#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/claim_leases.h"
#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/job_filter.h"
#include "coltsfoottide/direct/job_request.h"

namespace coltsfoottide::direct {

class JobClaimsSink;
struct ClaimVerdict;
struct RivalClaim;

// Makes sure that one entry at a time coordinates a job, although a caller whose connection
// has broken submits it again through any entry, and the first one may not have noticed. An
// entry claims each job before it places a task. Does no I/O.
//
// With each stamp an entry tells the others which jobs it has begun, as hashes. An entry that knows
// of all jobs that a caller can have submitted before, and that the job is not among them, grants
// the claim itself. Otherwise it asks the job's recorders, the two entries that rank highest for it
// (see HighestRanked), so that what a job costs does not depend on the number of entries.
// Recorders learn of each job that lasts, and of its outcome.
//
// One recorder that is certain to know all earlier claims (ClaimVerdict::complete) is enough for
// a grant, if this entry is certain of its own records as well and no entry that it has heard of
// has begun the job. Otherwise both have to agree, and the next in rank is asked in place of one
// that does not answer. Coordinators renew their claims, and move them when entries connect or
// disconnect.
//
// A claim is a lease: a coordinator that no other entry has confirmed for kClaimLease gives the job
// up, before those that have recorded it may grant it to another one. A claim that was granted
// while no other entry was connected has no lease until one has confirmed it. Two groups of entries
// that are cut off from each other may both be granted a job.
class JobClaims {
 public:
  // `self`: name of this entry. `first_number`: see JobClaim; random, so that claims of
  // different processes of an entry differ.
  JobClaims(std::string self, std::uint32_t first_number, JobClaimsSink& sink);

  // Claims a job that has no claim here. May grant it within the call.
  void Claim(JobRequest request, core::TimePoint now);

  // Whether the job is claimed and not granted yet.
  bool IsPending(const std::string& job) const;

  // Whether no other entry can have begun the job, and it has no claim here; as far as the
  // messages of others have been read.
  bool IsNew(const std::string& job, core::TimePoint now) const;

  // A further caller of a job that is pending waits until `deadline`.
  void ExtendDeadline(const std::string& job, core::TimePoint deadline);

  // Ends the claim of a pending job whose callers have disconnected.
  void Withdraw(const std::string& job);

  // No run of a granted job is left. `outcome`: if later submissions get the same answer.
  void Release(const std::string& job, const std::optional<JobOutcome>& outcome);

  void OnVerdict(const std::string& entry, const ClaimVerdict& verdict, core::TimePoint now);
  // `entry`: the one that records the claim.
  void OnRival(const std::string& entry, const RivalClaim& message, core::TimePoint now);

  // Hashes of the jobs that this entry has begun since the last call for the other entry, see
  // JobFilter. Must be sent to it with each stamp.
  std::vector<std::uint32_t> TakeBegunJobs(const std::string& entry);
  // Another entry has begun the jobs with these hashes.
  void OnBegunJobs(const std::vector<std::uint32_t>& jobs, core::TimePoint now);

  // An entry that records claims has connected, possibly in place of an earlier connection.
  // Claims that it may not have received, or has forgotten, are sent to it.
  void OnConnected(const std::string& entry, core::TimePoint now);
  void OnDisconnected(const std::string& entry, core::TimePoint now);
  // This process has stood still, so that answers that have arrived meanwhile are not read yet.
  void OnPause() { paused_ = !skipped_; }
  // Something has arrived from the entry.
  void OnHeard(const std::string& entry) { unresponsive_.erase(entry); }

  // Gives up the jobs whose leases have ended. Must be called before any event is acted on that may
  // start or continue runs.
  void EndExpired(core::TimePoint now);

  // Asks further entries in place of those that do not answer, and ends claims whose deadline
  // has passed. Must be called every few tens of milliseconds.
  void Advance(core::TimePoint now);

  // Whether this entry is connected to the others. While it is not, since it has just started
  // or stood still, nothing is granted: those that know the coordinator of a job have not been
  // asked. Initially it is not.
  void SetConnected(bool connected, core::TimePoint now);

  // Whether this entry is connected to all entries that it knows. While it is not, the others may
  // have begun jobs that it has not heard of. Initially it is not.
  void SetReachesAll(bool reaches_all) { reaches_all_ = reaches_all; }

  // Sends all that waits to be sent with other jobs. For a process that is about to end.
  void Flush();
  bool HasUnsent() const;

  // Number of claims, pending and granted.
  std::size_t size() const { return claims_.size(); }

 private:
  struct Answer {
    enum class State {
      kNone,
      // None, and not waited for any longer.
      kLate,
      kGranted,
      kTaken,
    };
    State state = State::kNone;
    // kGranted, see ClaimVerdict.
    bool complete = false;
    // Of the latest claim that was sent to the entry.
    core::TimePoint asked_at;
    // kGranted: when the claim was sent that the entry has answered.
    core::TimePoint confirmed_at;
  };
  struct ClaimState {
    std::uint32_t number = 0;
    // Empty once the job is granted.
    std::optional<JobRequest> request;
    // Number of recorders that have to agree, up to kRecorders. Unset until this entry's own
    // records have been looked up.
    std::optional<std::size_t> recorders_needed;
    // Another claimant wants the job: a release must reach it soon.
    bool contested = false;
    // Another entry has been recorded for the job.
    bool taken_elsewhere = false;
    // Another entry has begun a job of the same hash. It may have ended: a recorder that has no
    // record may have restarted since, so that both are needed.
    bool begun_elsewhere = false;
    // When the claim was made.
    core::TimePoint claimed_at;
    // Not granted before. Set when the entry that has recorded another one is lost: that one
    // claims the job anew elsewhere until then, or its claim has lapsed.
    core::TimePoint not_before;
    // Of the entries that the claim was sent to.
    std::map<std::string, Answer> answers;
    // The entries that rank highest for the job, as of the value `ranked_at_change` of changes_.
    std::vector<std::string> recorders;
    std::optional<std::uint64_t> ranked_at_change;
  };

  struct ClaimKey {
    std::string job;
    std::uint32_t number = 0;
  };
  struct Timer {
    core::TimePoint due;
    ClaimKey claim;
  };

  // Asks all recorders.
  void AskAll(const std::string& job, core::TimePoint now);
  // Sends the claim to the entries, which have to answer it.
  void Ask(const std::string& job, const std::vector<std::string>& entries, core::TimePoint now);
  // Sends the claim once more to the other entries that have been asked.
  void AskAgain(const std::string& job, core::TimePoint now);
  // Sends the claim of a pending job under a new number.
  void Begin(const std::string& job, core::TimePoint now);
  // Determines the recorders, if the entries have changed.
  void Rank(const std::string& job, ClaimState& claim) const;
  // Asks as many recorders as are to answer, and the next in rank in place of those that do not,
  // as far as they have not been asked.
  void AskMissing(const std::string& job, core::TimePoint now);
  // Marks the answers that are not waited for any longer, and their entries. Returns whether
  // there are any.
  bool MarkLate(ClaimState& claim, core::TimePoint now);
  // Whether the claim has been granted and not released.
  bool IsHeld(const ClaimKey& key) const;
  // Renews the claims of granted jobs and replaces the entries that do not answer.
  void Renew(core::TimePoint now);
  // Tells recorders of the jobs that have lasted since the last call, and of ended ones.
  void Record(core::TimePoint now);
  // Sends the releases that wait to be sent to the entry.
  void FlushReleases(const std::string& entry);
  // The next stamps name the job. Others that hear of it again do not forget it.
  void AddBegun(const std::string& job, core::TimePoint now);
  // Longest time for which what is read now may have waited to be read.
  core::Duration ReadingDelay(core::TimePoint now) const;
  // Whether a recorder has granted the claim; `complete`: with certainty.
  static bool IsGrantedByRecorder(const ClaimState& claim, bool complete);
  // Whether the answers are enough for a grant.
  bool IsAgreed(const ClaimState& claim, core::TimePoint now) const;
  // The entries whose grants are too old to act on.
  std::vector<std::string> ExpiredGrants(const ClaimState& claim, core::TimePoint now) const;
  // Starts the lease of a claim that is being granted, unless no other entry is connected.
  void BeginLease(const std::string& job, const ClaimState& claim);
  // Grants a pending job if the answers are enough for it.
  void Settle(const std::string& job, core::TimePoint now);
  // Releases the claim where it is known. `awaited`: another entry waits for it, so that it is
  // sent at once.
  void SendReleases(const std::string& job, const ClaimState& claim,
                    const std::optional<JobOutcome>& outcome, bool awaited);
  // Releases a pending claim and claims the job anew, after the others that wait for it.
  void GiveWay(const std::string& job, core::TimePoint now);
  // Withdraws a pending claim and answers its callers.
  void EndPending(const std::string& job, const JobOutcome& outcome);

  const std::string self_;
  JobClaimsSink& sink_;
  std::uint32_t next_number_;
  // With this entry.
  std::vector<std::string> entries_;
  // Number of connections and disconnections of entries.
  std::uint64_t changes_ = 0;
  // Entries that have not answered a claim in time and have sent nothing since.
  std::set<std::string> unresponsive_;
  std::map<std::string, ClaimState> claims_;
  std::set<std::string> pending_;
  bool connected_ = false;
  bool reaches_all_ = false;
  // Answers may wait to be read: the next call of Advance is skipped, but never two in a row.
  bool paused_ = false;
  bool skipped_ = false;
  // The last two calls of Advance; between them all connections were read.
  std::optional<core::TimePoint> advanced_at_;
  std::optional<core::TimePoint> previous_advance_;

  // Of granted jobs, by time: when the claim is sent again, and when the answers are due.
  std::deque<Timer> renewals_;
  std::deque<Timer> answers_due_;
  // Of granted jobs.
  ClaimLeases leases_;

  // What Record sends: claims that no recorder knows of, and releases, by entry.
  std::vector<ClaimKey> unrecorded_;
  core::TimePoint claims_due_;
  std::map<std::string, std::vector<ClaimRelease>> releases_;
  core::TimePoint releases_due_;

  // Hashes of jobs, by the connected entry that is to hear of them.
  std::map<std::string, std::vector<std::uint32_t>> unheard_;

  // Jobs that this entry has begun lately, and those that others have.
  JobFilter begun_here_;
  JobFilter begun_elsewhere_;
};

}  // namespace coltsfoottide::direct
