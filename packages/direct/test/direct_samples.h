#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/agent_hello.h"
#include "coltsfoottide/direct/job_request.h"
#include "coltsfoottide/direct/run_order.h"
#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/worker_description.h"
#include "coltsfoottide/direct/worker_report.h"
#include "coltsfoottide/direct/worker_state.h"

// Sample values for the tests of this package.
namespace coltsfoottide::direct {

inline constexpr core::TimePoint kStart{std::chrono::seconds(100)};

inline core::Duration Ms(std::int64_t ms) { return std::chrono::milliseconds(ms); }

// A job of one step whose tasks take 6 cores for 60 ms; in time within 150 ms.
inline JobRequest SampleJob(const std::string& id, std::uint32_t tasks) {
  JobRequest request;
  request.id = id;
  request.route = "lookups";
  request.service = "review";
  StepRequest step;
  step.count = tasks;
  step.need.cpu_millicores = 6000;
  step.need.memory_mb = 64;
  step.estimate = Ms(60);
  request.steps = {step};
  request.max_attempts = 3;
  request.objective = kStart + Ms(150);
  request.useful_until = kStart + Ms(450);
  request.deadline = kStart + Ms(2000);
  return request;
}

// A backend server of 64 cores.
inline WorkerDescription SampleWorker(const std::string& data_centre = "a") {
  WorkerDescription description;
  description.service = "review";
  description.data_centre = data_centre;
  description.total = {64000, 131072, 0};
  return description;
}

// The state of a SampleWorker that runs nothing.
inline WorkerState IdleWorker() {
  WorkerState state;
  state.ready = true;
  state.free = SampleWorker().total;
  return state;
}

// The hello of an agent with an idle SampleWorker.
inline AgentHello SampleHello(const std::string& agent, std::uint64_t incarnation, bool runs_known,
                              std::vector<RunReport> runs) {
  return {agent, incarnation, runs_known, std::move(runs), {}, SampleWorker(), IdleWorker()};
}

inline WorkerReport SampleReport(std::uint64_t sequence) {
  WorkerReport report;
  report.id = "i-1";
  report.incarnation = 1000;
  report.sequence = sequence;
  report.description = SampleWorker();
  report.description.total = {12000, 1024, 0};
  return report;
}

inline RunOrder SampleOrder(const std::string& job, std::uint32_t index) {
  RunOrder order;
  order.id = {{job, 0, index}, 1};
  order.payload = "payload";
  order.need = {6000, 64, 0};
  order.estimate = Ms(60);
  order.objective = kStart + Ms(150);
  order.useful_until = kStart + Ms(450);
  return order;
}

}  // namespace coltsfoottide::direct
