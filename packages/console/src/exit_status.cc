#include "coltsfoottide/console/exit_status.h"

namespace coltsfoottide::console {

ExitStatus StatusOf(const api::Error& error) {
  switch (error.verdict()) {
    case api::NOT_RUN:
      return ExitStatus::kNotRun;
    case api::RAN:
      return ExitStatus::kRan;
    default:
      return ExitStatus::kMayHaveRun;
  }
}

ExitStatus StatusOf(const api::JobAnswer& answer) {
  switch (answer.state()) {
    case api::RUNNING:
    case api::COMPLETE:
      return ExitStatus::kOk;
    default:
      return StatusOf(answer.error());
  }
}

const char* ExitStatusHelp() {
  return "Exit status:\n"
         "  0  complete, accepted, in force, or still running when the call does not wait\n"
         "  1  config check: warnings\n"
         "  2  bad usage, or a file that cannot be read; config check: errors\n"
         "  3  refused or failed, not run: no task has started and none will\n"
         "  4  may have run: the outcome is unknown or not yet known\n"
         "  5  at least one task has started, and the job failed or could not be cancelled\n"
         "  6  no entry could be reached; nothing was sent\n";
}

}  // namespace coltsfoottide::console
