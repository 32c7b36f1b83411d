#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Collects the jobs of several coordinators into one response.
class JobListCollector {
 public:
  using Response = std::pair<std::uint64_t, api::ListJobsResponse>;

  JobListCollector(Outbox& outbox, std::uint64_t first_request)
      : outbox_(outbox), next_request_(first_request) {}

  // Requests the jobs of the endpoints. The response is due once all have replied,
  // or shortly after with the lists that have arrived by then.
  void Begin(std::uint64_t call, const std::vector<std::string>& endpoints, std::uint32_t limit,
             TimePoint now);

  // Adds the list of one coordinator.
  void OnList(const wire::JobList& list);

  void Abandon(std::uint64_t call);

  // Removes and returns the responses that are complete or past their deadline.
  std::vector<Response> TakeDue(TimePoint now);

  TimePoint NextWake() const;
  std::size_t pending() const { return listings_.size(); }

 private:
  struct Listing {
    api::ListJobsResponse response;
    std::uint32_t limit = 0;
    std::size_t outstanding = 0;
    TimePoint deadline;
  };

  Outbox& outbox_;
  std::uint64_t next_request_;
  std::map<std::uint64_t, Listing> listings_;                  // by call
  std::unordered_map<std::uint64_t, std::uint64_t> requests_;  // calls by request number
};

}  // namespace coltsfoottide::core
