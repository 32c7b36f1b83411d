#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/direct/worker_port.h"
#include "coltsfoottide/direct/worker_report.h"

namespace coltsfoottide::direct {

// Records the calls to a backend server; the test supplies the answers.
class FakeWorkerPort : public WorkerPort {
 public:
  struct RenewalCall {
    std::uint64_t renewal_number = 0;
    std::uint64_t ended_cursor = 0;
    std::optional<core::TimePoint> lease_end;
  };

  void UseIncarnation(const WorkerReport& report) override { used_ids.push_back(report.id); }
  void StartRun(const RunOrder& order, core::TimePoint lease_end,
                core::Duration /*timeout*/) override {
    starts.push_back(order.id);
    latest_lease_end = std::max(latest_lease_end, lease_end);
  }
  void StopRun(const RunId& id) override { stops.push_back(id); }
  void RenewLease(std::uint64_t renewal_number, std::uint64_t ended_cursor,
                  std::optional<core::TimePoint> lease_end, core::Duration /*wait*/) override {
    renewals.push_back({renewal_number, ended_cursor, lease_end});
    latest_lease_end = std::max(latest_lease_end, lease_end.value_or(latest_lease_end));
  }

  // Ids of the incarnations that calls were meant for, one after the other.
  std::vector<std::string> used_ids;
  std::vector<RunId> starts;
  std::vector<RunId> stops;
  std::vector<RenewalCall> renewals;
  core::TimePoint latest_lease_end;
};

}  // namespace coltsfoottide::direct
