#include "client_memory.h"

#include <algorithm>
#include <climits>
#include <string>

#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "descriptor_limit.h"
#include "memory_limit.h"

namespace coltsfoottide::daemon {

ClientMemory::ClientMemory(const Settings& settings, Logger& logger, Metrics& metrics)
    : logger_(logger),
      metrics_(metrics),
      budget_(std::make_shared<http::MemoryBudget>(
          ClientBudgetBytes(ProcessMemoryLimit(settings.memory_limit_mb)))) {}

http::ServerLimits ClientMemory::Limits() const {
  http::ServerLimits limits;
  const std::size_t descriptors = DescriptorLimit();
  limits.max_connections = std::min(limits.max_connections, MaxCallerConnections(descriptors));
  // Half of the rest is left to agents, other entries and the store.
  const std::size_t own = (descriptors - MaxCallerConnections(descriptors)) / 2;
  const std::size_t max_descriptor = std::min<std::size_t>(descriptors - own, INT_MAX);
  limits.max_descriptor = static_cast<int>(max_descriptor);
  limits.memory = budget_;
  return limits;
}

void ClientMemory::Report() {
  metrics_.Set("client_bytes_held", budget_->held());
  metrics_.Set("client_bytes_limit", budget_->limit());
  metrics_.Set("client_connections", budget_->holders());
  metrics_.Set("requests_waiting_for_memory", budget_->waiting());
  metrics_.Set("requests_refused_for_memory", budget_->refused());
  metrics_.Set("connections_closed_for_memory", budget_->closed());
  if (budget_->refused() == logged_refused_ && budget_->closed() == logged_closed_) return;
  logger_.Warn("memory limit reached",
               {{"closed", std::to_string(budget_->closed() - logged_closed_)},
                {"refused", std::to_string(budget_->refused() - logged_refused_)},
                {"waiting", std::to_string(budget_->waiting())},
                {"bytes_held", std::to_string(budget_->held())},
                {"bytes_limit", std::to_string(budget_->limit())},
                {"connections", std::to_string(budget_->holders())}});
  logged_refused_ = budget_->refused();
  logged_closed_ = budget_->closed();
}

}  // namespace coltsfoottide::daemon
