#pragma once

#include <chrono>

#include "coltsfoottide/core/time.h"

// When crashes of backend servers are like each other.
namespace coltsfoottide::direct {

// A task that crashes its backend server does so soon after its start. Crashes that come later
// are weaker evidence.
inline constexpr core::Duration kPromptCrash = std::chrono::milliseconds(250);

// A cause crashes its backend servers at the same time after each start, and a crash is noticed
// 10 to 40 ms late. Times that differ by more have different causes.
inline constexpr core::Duration kNoticeSpread = std::chrono::milliseconds(30);

}  // namespace coltsfoottide::direct
