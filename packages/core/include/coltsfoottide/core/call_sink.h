#pragma once

#include <cstdint>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Receives the responses to the calls that a JobRouter has routed, one for each.
class CallSink {
 public:
  virtual ~CallSink() = default;

  virtual void OnTickets(std::uint64_t call, const api::ObtainTicketsResponse& response) = 0;
  virtual void OnJob(std::uint64_t call, const api::JobResponse& response) = 0;
  virtual void OnJobs(std::uint64_t call, const api::ListJobsResponse& response) = 0;
};

}  // namespace coltsfoottide::core
