#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Each change reads the key's version first and is made only on top of that
// version, so that of two racing operators one gets a conflict. A change
// waits until it is in force everywhere, at most --timeout-ms.
ExitStatus RunZoneOut(CommandContext& context);
ExitStatus RunZoneIn(CommandContext& context);
ExitStatus RunQuotaSet(CommandContext& context);
ExitStatus RunServiceSet(CommandContext& context);
// Forced removal of an entry from the roster.
ExitStatus RunEntriesRemove(CommandContext& context);

}  // namespace coltsfoottide::console
