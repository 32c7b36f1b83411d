#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/console/entry_client.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/http/client.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// Returns the median time of 41 successive GET calls, or nothing if one fails.
std::optional<core::Duration> MeasureRoundTrip(http::Client& client, const std::string& url);

// Returns the sum of the slots of the serving workers of a service, or
// nothing if no entry answers.
std::optional<std::uint32_t> CountSlots(EntryClient& client, const std::string& service);

}  // namespace coltsfoottide::console
