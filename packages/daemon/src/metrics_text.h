#pragma once

#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::daemon {

// The Prometheus text form of a report: a histogram in seconds for each
// series, and each counter as an untyped value.
std::string FormatMetrics(const api::GetMetricsResponse& report);

}  // namespace coltsfoottide::daemon
