#pragma once

#include <string>
#include <vector>

#include "coltsfoottide/console/table.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

Table ZoneTable(const api::GetConfigResponse& config);
Table ConfigTable(const api::GetConfigResponse& config);
Table RosterTable(const api::GetConfigResponse& config);
Table WorkerTable(const api::ListWorkersResponse& workers);
Table JobTable(const api::ListJobsResponse& jobs);
// Response times of each team and class.
Table SeriesTable(const api::GetMetricsResponse& metrics);
// The non-empty buckets of a response time histogram, with bars.
Table HistogramTable(const api::LatencySeries& series);
Table CounterTable(const api::GetMetricsResponse& metrics);

}  // namespace coltsfoottide::console
