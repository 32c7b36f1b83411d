#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoottide/direct/worker_port.h"

namespace coltsfoottide::direct {

// Records the calls to a backend server; the test supplies the answers.
class FakeWorkerPort : public WorkerPort {
 public:
  struct RenewalCall {
    std::uint64_t renewal_number = 0;
    std::uint64_t ended_cursor = 0;
  };

  void StartRun(const RunOrder& order, core::TimePoint /*lease_end*/,
                core::Duration /*timeout*/) override {
    starts.push_back(order.id);
  }
  void StopRun(const RunId& id) override { stops.push_back(id); }
  void RenewLease(std::uint64_t renewal_number, std::uint64_t ended_cursor,
                  core::TimePoint /*lease_end*/, core::Duration /*wait*/) override {
    renewals.push_back({renewal_number, ended_cursor});
  }

  std::vector<RunId> starts;
  std::vector<RunId> stops;
  std::vector<RenewalCall> renewals;
};

}  // namespace coltsfoottide::direct
