#include "component_metrics.h"

#include "coltsfoottide/core/coordinator.h"
#include "coltsfoottide/core/worker.h"
#include "coltsfoottide/daemon/hub_outbox.h"
#include "coltsfoottide/daemon/metrics.h"

namespace coltsfoottide::daemon {

void SetWorkerMetrics(const core::WorkerCounters& worker, Metrics& metrics) {
  metrics.Set("worker_starts_total", worker.starts);
  metrics.Set("worker_done_total", worker.done);
  metrics.Set("worker_failures_total", worker.failures);
  metrics.Set("worker_refused_total", worker.refused);
  metrics.Set("worker_offers_total", worker.offers);
  metrics.Set("worker_offers_expired_total", worker.offers_expired);
  metrics.Set("worker_duplicate_starts_total", worker.duplicate_starts);
  metrics.Set("worker_late_starts_total", worker.expired_offer_starts);
}

void SetCoordinatorMetrics(const core::CoordinatorCounters& coordinator, Metrics& metrics) {
  metrics.Set("coordinator_jobs_total", coordinator.jobs);
  metrics.Set("coordinator_complete_total", coordinator.complete);
  metrics.Set("coordinator_failed_total", coordinator.failed);
  metrics.Set("coordinator_refused_total", coordinator.refused);
  metrics.Set("coordinator_starts_total", coordinator.starts);
  metrics.Set("coordinator_results_total", coordinator.results);
  metrics.Set("coordinator_other_messages_total", coordinator.other_messages);
  metrics.Set("coordinator_resolves_total", coordinator.resolves);
}

void SetLinkMetrics(const HubOutbox& outbox, Metrics& metrics) {
  metrics.Set("link_messages_total", outbox.messages());
  metrics.Set("link_bytes_total", outbox.bytes());
  for (const auto& [kind, count] : outbox.messages_by_kind()) {
    if (const auto* field = wire::Envelope::descriptor()->FindFieldByNumber(kind)) {
      metrics.Set("link_sent_" + field->name() + "_total", count);
    }
  }
}

}  // namespace coltsfoottide::daemon
