#pragma once

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// Exit status of the console.
enum class ExitStatus {
  // Complete, accepted, in force, or still running when the call does not wait.
  kOk = 0,
  // `config check` has found warnings and no errors.
  kWarnings = 1,
  // Bad usage, an unreadable file, or errors found by `config check`.
  kUsage = 2,
  // Refused or failed; no task has run and none will, or a change was not
  // made.
  kNotRun = 3,
  // The outcome is unknown.
  kMayHaveRun = 4,
  // At least one task has started, and the job failed or could not be cancelled.
  kRan = 5,
  // No entry could be reached; nothing was sent.
  kUnreachable = 6,
};

// Returns the status that corresponds to an error's verdict; an unspecified
// verdict counts as unknown.
ExitStatus StatusOf(const api::Error& error);

// Returns the status that corresponds to an answer.
ExitStatus StatusOf(const api::JobAnswer& answer);

// Returns the documentation of all statuses, for --help.
const char* ExitStatusHelp();

}  // namespace coltsfoottide::console
