#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Each command reads the version of its key and sends the change as a
// compare-and-set on that version, so that one of two concurrent operators gets
// a conflict. It waits until the change is in force everywhere, for at most
// --timeout-ms.
ExitStatus RunZoneOut(CommandContext& context);
ExitStatus RunZoneIn(CommandContext& context);
ExitStatus RunQuotaSet(CommandContext& context);
ExitStatus RunServiceSet(CommandContext& context);
// Forcibly removes an entry from the roster, without a version check.
ExitStatus RunEntriesRemove(CommandContext& context);

}  // namespace coltsfoottide::console
