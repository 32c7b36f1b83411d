#pragma once

#include <optional>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/rival_claim.h"
#include "coltsfoottide/direct/run_order.h"
#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/worker_crash.h"
#include "coltsfoottide/direct/worker_description.h"
#include "coltsfoottide/direct/worker_state.h"
#include "coltsfoottide/schema/direct.pb.h"

namespace coltsfoottide::daemon {

// Adds the order to the frame's group for its step, or adds such a group. Times
// are sent relative to `now`, since machines do not share a clock.
void AddOrder(const direct::RunOrder& order, core::TimePoint now, direct_wire::Frame& frame);
direct::RunOrder ReadOrder(const direct_wire::OrderGroup& group,
                           const direct_wire::OrderGroup::Task& task, core::TimePoint now);

void WriteRunId(const direct::RunId& id, direct_wire::RunId& message);
direct::RunId ReadRunId(const direct_wire::RunId& message);

void WriteReport(const direct::RunReport& report, direct_wire::RunReport& message);
direct::RunReport ReadReport(const direct_wire::RunReport& message);

void WriteClaim(const direct::RunId& id, const direct::Resources& need, direct_wire::Frame& frame);
// What the claimed run with this position needs, if the sender has said it.
std::optional<direct::Resources> ReadClaimNeed(const direct_wire::Frame& frame, int position);

void WriteCrash(const direct::WorkerCrash& crash, core::TimePoint now,
                direct_wire::WorkerCrash& message);
direct::WorkerCrash ReadCrash(const direct_wire::WorkerCrash& message, core::TimePoint now);

void WriteJobClaim(const direct::JobClaim& claim, direct_wire::JobClaim& message);
direct::JobClaim ReadJobClaim(const direct_wire::JobClaim& message);
void WriteVerdict(const direct::ClaimVerdict& verdict, direct_wire::ClaimVerdict& message);
// None if the kind or the outcome is unknown.
std::optional<direct::ClaimVerdict> ReadVerdict(const direct_wire::ClaimVerdict& message);
void WriteRelease(const direct::ClaimRelease& release, direct_wire::ClaimRelease& message);
direct::ClaimRelease ReadRelease(const direct_wire::ClaimRelease& message);
void WriteRival(const direct::RivalClaim& job, direct_wire::RivalClaim& message);
direct::RivalClaim ReadRival(const direct_wire::RivalClaim& message);

// `age`: time since the last task of the route was found.
void WriteCrashingRoute(const std::string& route, core::Duration age,
                        direct_wire::CrashingRoute& message);
// `age`: time since the last crash for which this entry isolates the route.
void WriteIsolatedRoute(const std::string& route, core::Duration age,
                        direct_wire::CrashingRoute& message);
// Returns when the last task of the route was found, or the time of the last crash for which
// the sender isolates it.
core::TimePoint ReadCrashingRouteTime(const direct_wire::CrashingRoute& message,
                                      core::TimePoint now);

void WriteDescription(const direct::WorkerDescription& description,
                      direct_wire::WorkerDescription& message);
direct::WorkerDescription ReadDescription(const direct_wire::WorkerDescription& message);

void WriteState(const direct::WorkerState& state, direct_wire::WorkerState& message);
direct::WorkerState ReadState(const direct_wire::WorkerState& message);

}  // namespace coltsfoottide::daemon
