#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/console/workload_mix.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// A randomly generated job of a workload mix, with the run times that its
// payloads request from a stand-in backend server.
struct GeneratedJob {
  std::uint64_t number = 0;
  api::JobSpec job;
  std::vector<std::chrono::milliseconds> run_times;
  std::chrono::milliseconds critical_path{};
  // Sum of the run times.
  std::chrono::milliseconds work{};
};

// Generates the job with a number; the same mix, seed and number give the same
// job. Each payload contains an echo text that identifies the job and the task.
GeneratedJob GenerateJob(const WorkloadMix& mix, std::uint64_t seed, std::uint64_t number);

// Returns the result that a stand-in backend server returns for a task.
std::string ExpectedResult(std::uint64_t seed, std::uint64_t number, std::uint32_t task);

// Returns the mean work of a job over the first 4000 jobs of the seed.
std::chrono::duration<double> MeanWork(const WorkloadMix& mix, std::uint64_t seed);

}  // namespace coltsfoottide::console
