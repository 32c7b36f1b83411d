#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/console/workload_mix.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// A job of a mix with the run times that its payloads ask of a stand-in
// backend server.
struct DrawnJob {
  std::uint64_t number = 0;
  api::JobSpec job;
  std::vector<std::chrono::milliseconds> run_times;
  std::chrono::milliseconds critical_path{};
  // Sum of the run times.
  std::chrono::milliseconds work{};
};

// Draws the job with a number; the same mix, seed and number give the same
// job. Each payload asks for an echo that names the job and the task.
DrawnJob DrawJob(const WorkloadMix& mix, std::uint64_t seed, std::uint64_t number);

// Returns the result that a stand-in backend server gives for a task.
std::string ExpectedResult(std::uint64_t seed, std::uint64_t number, std::uint32_t task);

// Returns the mean work of a job, from the first 4000 jobs of the seed.
std::chrono::duration<double> MeanWork(const WorkloadMix& mix, std::uint64_t seed);

}  // namespace coltsfoottide::console
