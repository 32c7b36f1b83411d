#include "coltsfoottide/daemon/runtime.h"

#include "agent_runtime.h"
#include "coltsfoottide/daemon/settings.h"
#include "direct_agent_runtime.h"
#include "direct_entry_runtime.h"
#include "entry_runtime.h"

namespace coltsfoottide::daemon {

std::unique_ptr<Runtime> MakeRuntime(const Settings& settings, const RuntimeHooks& hooks,
                                     Logger& logger, Metrics& metrics) {
  switch (settings.role) {
    case Role::kAgent:
      return std::make_unique<AgentRuntime>(settings, hooks, logger, metrics);
    case Role::kDirectEntry:
      return std::make_unique<DirectEntryRuntime>(settings, logger, metrics);
    case Role::kDirectAgent:
      return std::make_unique<DirectAgentRuntime>(settings, logger, metrics);
    case Role::kEntry:
      break;
  }
  return std::make_unique<EntryRuntime>(settings, logger, metrics);
}

}  // namespace coltsfoottide::daemon
