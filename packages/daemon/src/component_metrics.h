#pragma once

namespace coltsfoottide::core {
struct CoordinatorCounters;
struct WorkerCounters;
}  // namespace coltsfoottide::core

namespace coltsfoottide::daemon {

class HubOutbox;
class Metrics;

// Copy the counters of a worker, a coordinator and the links into the metrics.
void SetWorkerMetrics(const core::WorkerCounters& worker, Metrics& metrics);
void SetCoordinatorMetrics(const core::CoordinatorCounters& coordinator, Metrics& metrics);
void SetLinkMetrics(const HubOutbox& outbox, Metrics& metrics);

}  // namespace coltsfoottide::daemon
