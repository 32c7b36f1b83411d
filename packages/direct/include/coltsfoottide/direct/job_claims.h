#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/job_request.h"

namespace coltsfoottide::direct {

class JobClaimsSink;
struct ClaimVerdict;
struct JobOutcome;
struct JobReturn;

// Makes sure that one entry at a time coordinates a job, although a caller whose connection
// has broken submits it again through any entry, and the first one may not have noticed. An
// entry claims each job before it places a task. Claims are recorded by the two entries that
// rank highest for the job (see HighestRanked), so that the messages of a job do not depend on
// the number of entries. Does no I/O.
//
// A claim is granted when one of the two agrees and the other one agrees as well or does not
// answer; then the next in rank is asked in its place. The claims of two entries meet at one
// entry at least as long as one of the two that rank highest remembers the first claim: it is
// told to both and sent again every half second, and moves when entries come or go. Entries
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

  // A further caller of a job that is pending waits until `deadline`.
  void ExtendDeadline(const std::string& job, core::TimePoint deadline);

  // The callers of a job that is pending have gone.
  void Withdraw(const std::string& job);

  // No run of a granted job is left. `outcome`: if later submissions get the same answer.
  void Release(const std::string& job, const std::optional<JobOutcome>& outcome);

  void OnVerdict(const std::string& entry, const ClaimVerdict& verdict, core::TimePoint now);
  // `entry`: the one that records the claim.
  void OnReturn(const std::string& entry, const JobReturn& message, core::TimePoint now);

  // An entry that records claims has connected, possibly in place of an earlier connection.
  // Claims that it may not have received, or has forgotten, are sent to it.
  void OnConnected(const std::string& entry, core::TimePoint now);
  void OnDisconnected(const std::string& entry, core::TimePoint now);
  // This process has stood still, so that answers that have arrived meanwhile are not read yet.
  void OnPause(core::TimePoint now);
  // Something has arrived from the entry.
  void OnHeard(const std::string& entry) { unresponsive_.erase(entry); }

  // Asks further entries in place of those that do not answer, and ends claims whose deadline
  // has passed. Must be called every few tens of milliseconds.
  void Advance(core::TimePoint now);

  // Whether this entry is connected to the others. While it is not, since it has just started
  // or stood still, nothing is granted: those that know the coordinator of a job have not been
  // asked. Initially it is not.
  void SetComplete(bool complete, core::TimePoint now);

  // Number of claims, pending and granted.
  std::size_t size() const { return claims_.size(); }

 private:
  struct Answer {
    enum class State { kNone, kGranted, kHeld };
    State state = State::kNone;
    // Of the latest claim that was sent to the entry.
    core::TimePoint asked_at;
  };
  struct ClaimState {
    std::uint32_t number = 0;
    // Empty once the job is granted.
    std::optional<JobRequest> request;
    // Another entry has been recorded for the job.
    bool held_elsewhere = false;
    // When the claim was made.
    core::TimePoint claimed_at;
    // Not granted before. Set when the entry that has recorded another one is lost: that one
    // claims the job anew elsewhere until then, or its claim has lapsed.
    core::TimePoint not_before;
    // By entry that records the claim.
    std::map<std::string, Answer> answers;
    // Value of changes_ when it was last made sure that the entries that rank highest are asked.
    std::uint64_t asked_at_change = 0;
  };

  struct Timer {
    core::TimePoint due;
    std::string job;
    std::uint32_t number = 0;
  };

  // Sends the claim to the entries, which have to answer it.
  void Ask(const std::string& job, const std::vector<std::string>& entries, core::TimePoint now);
  // Asks the entries that should record the claim and have not been asked.
  void AskMissing(const std::string& job, core::TimePoint now);
  // Marks the entries that have not answered the claim in time.
  void NoteUnresponsive(const ClaimState& claim, core::TimePoint now);
  // Renews the claims of granted jobs and replaces the entries that do not answer.
  void Renew(core::TimePoint now);
  // Whether one of the entries that rank highest for the job has granted it.
  bool IsGrantedByRecorder(const std::string& job, const ClaimState& claim) const;
  // Grants a pending job if the entries that answer agree.
  void Settle(const std::string& job, core::TimePoint now);
  // Whether an answer of the entry is missing that is not waited for any longer.
  bool IsUnresponsive(const std::string& entry, const Answer& answer, core::TimePoint now) const;
  void SendReleases(const std::string& job, const ClaimState& claim,
                    const std::optional<JobOutcome>& outcome);
  // Releases a pending claim and claims the job anew, after the others that wait for it.
  void GiveWay(const std::string& job, core::TimePoint now);
  // Withdraws a pending claim and answers its callers.
  void EndPending(const std::string& job, const JobOutcome& outcome);

  const std::string self_;
  JobClaimsSink& sink_;
  std::uint32_t next_number_;
  // With this entry.
  std::vector<std::string> entries_;
  // Number of times that an entry has come or gone.
  std::uint64_t changes_ = 0;
  // Entries that have not answered a claim in time and have sent nothing since.
  std::set<std::string> unresponsive_;
  std::map<std::string, ClaimState> claims_;
  std::set<std::string> pending_;
  bool complete_ = false;
  // Of granted jobs, by time: when the claim is sent again, and when the answers to that are
  // due.
  std::deque<Timer> renewals_;
  std::deque<Timer> answers_due_;
};

}  // namespace coltsfoottide::direct
