#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace coltsfoottide::schema {

// Limits of a job, checked at the entry and again at the coordinator.
constexpr int kMaxTasks = 220;
constexpr std::size_t kMaxTaskPayloadBytes = 64 * 1024;
constexpr std::size_t kMaxTaskResultBytes = 64 * 1024;
constexpr std::size_t kMaxJobBytes = 1024 * 1024;
constexpr std::size_t kMaxNameBytes = 64;
constexpr int kMaxTicketsPerCall = 1000;
constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::minutes(10);

// Largest message between two processes; larger ones are not received.
constexpr std::size_t kMaxWireMessageBytes = 4 * 1024 * 1024;

}  // namespace coltsfoottide::schema
