#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class CandidateRing;
class OutlierDetector;

// The agents that an entry knows, from their renewals or from other entries'
// samples, with their last reported state.
class Directory {
 public:
  struct Member {
    api::WorkerInfo info;
    // Time of the last renewal or sample.
    TimePoint last_heard;
    std::uint32_t recent_starts = 0;
    std::uint32_t recent_failures = 0;
    // Ejected for failing nearly all its tasks; see OutlierDetector.
    bool ejected = false;
    // Ejected, and offered as a candidate again to see how its tasks end.
    bool probation = false;
    // Heard from the agent itself rather than in another entry's sample.
    bool renewed_here = true;
    // Not heard from for the suspicion time, or its connection has closed.
    bool suspected = false;
  };

  explicit Directory(Duration suspect_after = std::chrono::seconds(3),
                     Duration remove_after = std::chrono::seconds(10));
  ~Directory();
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // Handles an agent's renewal. A new incarnation at an endpoint replaces the
  // older one.
  void OnRenew(const wire::Renew& renew, TimePoint now);

  // Adds or updates the members of another entry's sample that have not renewed
  // here within the suspicion time.
  void OnSample(const std::vector<api::WorkerInfo>& workers, TimePoint now);

  // Reports a closed connection: the agent is suspected until it is heard from
  // again.
  void OnLinkDown(const std::string& endpoint);

  // Sets the data centres that are out of service; their members are no
  // candidates.
  void SetOutDataCentres(const std::set<std::string>& names);

  // Suspects and removes members that are not heard from, and updates ejections.
  void Tick(TimePoint now);

  // Increases whenever a candidate list may change: when a member is added,
  // removed, suspected or heard from again, ejected or reinstated, when its
  // probation starts or ends, when its state or description changes, or when a
  // data centre is taken out or returned. Load does not count, nor does a
  // number of slots that stays above zero.
  std::uint64_t version() const { return version_; }

  // Workers for one agent's coordinator: at most `limit` for each service, a
  // stable random subset weighted to its own data centre.
  std::vector<api::WorkerInfo> CandidatesFor(const std::string& endpoint,
                                             const std::string& data_centre,
                                             std::size_t limit = 64) const;

  // Agents that may issue tickets now, with those of `data_centre` first. Those
  // in data centres that are out are included only when there are no others.
  std::vector<api::WorkerInfo> AvailableCoordinators(const std::string& data_centre) const;

  // A random sample, for other entries, of up to `limit` workers a service that
  // have renewed here. The same seed gives a stable sample as members come and
  // go.
  std::vector<api::WorkerInfo> Sample(std::size_t limit, std::uint64_t seed) const;

  // Whether some known worker of the service offers what the task needs; sets
  // `known` to whether the service has any worker.
  bool CanRun(const std::string& service, const api::Resources& needs, bool* known) const;

  // Every member, as an operator sees it.
  std::vector<api::WorkerInfo> List(TimePoint now) const;
  const std::map<std::string, Member>& members() const { return members_; }
  bool Ejected(const std::string& endpoint) const;

 private:
  Member* Upsert(const api::WorkerInfo& info, bool renewed_here, TimePoint now);

  Duration suspect_after_;
  Duration remove_after_;
  // Whether the member may be a candidate.
  bool Eligible(const Member& member) const;
  void RefreshDerived() const;

  std::map<std::string, Member> members_;
  std::set<std::string> out_data_centres_;
  std::uint64_t version_ = 1;
  std::unique_ptr<OutlierDetector> outlier_detector_;
  // Derived from the members as of derived_version_. `resource_offers_` has the
  // distinct resources that the workers of each service offer.
  mutable std::unique_ptr<CandidateRing> ring_;
  mutable std::map<std::string, std::vector<api::Resources>> resource_offers_;
  mutable std::uint64_t derived_version_ = 0;
};

}  // namespace coltsfoottide::core
