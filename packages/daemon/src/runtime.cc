#include "coltsfoottide/daemon/runtime.h"

#include "agent_runtime.h"
#include "coltsfoottide/daemon/settings.h"
#include "entry_runtime.h"

namespace coltsfoottide::daemon {

std::unique_ptr<Runtime> MakeRuntime(const Settings& settings, const RuntimeParts& parts,
                                     Logger& logger, Metrics& metrics) {
  if (settings.role == Role::kAgent) {
    return std::make_unique<AgentRuntime>(settings, parts, logger, metrics);
  }
  return std::make_unique<EntryRuntime>(settings, logger, metrics);
}

}  // namespace coltsfoottide::daemon
