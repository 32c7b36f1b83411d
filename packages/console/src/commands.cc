#include "coltsfoottide/console/command.h"
#include "coltsfoottide/console/config_check_command.h"
#include "coltsfoottide/console/config_commands.h"
#include "coltsfoottide/console/explain_command.h"
#include "coltsfoottide/console/job_commands.h"
#include "coltsfoottide/console/load_command.h"
#include "coltsfoottide/console/top_command.h"
#include "coltsfoottide/console/view_commands.h"

namespace coltsfoottide::console {
namespace {

std::vector<Command> JobCommands() {
  return {
      {"submit",
       "FILE.json",
       "Submits a job; prints its ticket first. A repetition with --ticket "
       "gets the same answer.",
       {"wait", "ticket"},
       1,
       1,
       true,
       RunSubmit},
      {"wait", "TICKET", "Waits for the answer of a job.", {"timeout_ms"}, 1, 1, true, RunWait},
      {"status", "TICKET", "Shows the state of a job.", {}, 1, 1, true, RunStatus},
      {"cancel",
       "TICKET",
       "Cancels a job; tasks that have started run to their end.",
       {},
       1,
       1,
       true,
       RunCancel},
  };
}

std::vector<Command> OperatorCommands() {
  return {
      {"zone list",
       "",
       "Lists the data centres of the configuration.",
       {},
       0,
       0,
       true,
       RunZoneList},
      {"zone out",
       "NAME",
       "Takes a data centre out of service.",
       {"timeout_ms"},
       1,
       1,
       true,
       RunZoneOut},
      {"zone in",
       "NAME",
       "Returns a data centre to service.",
       {"timeout_ms"},
       1,
       1,
       true,
       RunZoneIn},
      {"quota set",
       "TEAM STARTS_PER_SECOND [BURST]",
       "Sets the quota of a team.",
       {"timeout_ms"},
       2,
       3,
       true,
       RunQuotaSet},
      {"service set",
       "NAME",
       "Sets the limits of a service.",
       {"max_deadline_ms", "timeout_ms"},
       1,
       1,
       true,
       RunServiceSet},
      {"config get", "", "Shows the configuration.", {}, 0, 0, true, RunConfigGet},
      {"config status",
       "",
       "Shows the offsets known to and in force at each entry.",
       {},
       0,
       0,
       true,
       RunConfigStatus},
      {"config check",
       "FILE",
       "Checks a configuration of the platform's operator, and compares it with another one or "
       "with the newest in the platform's store.",
       {"against"},
       1,
       1,
       false,
       RunConfigCheck},
      {"entries", "", "Lists the entries of the roster.", {}, 0, 0, true, RunEntries},
      {"entries remove",
       "ENDPOINT INCARNATION",
       "Removes an entry from the roster by force.",
       {"timeout_ms"},
       2,
       2,
       true,
       RunEntriesRemove},
      {"workers", "", "Lists the workers.", {}, 0, 0, true, RunWorkers},
      {"jobs", "", "Lists the jobs in progress.", {"limit"}, 0, 0, true, RunJobs},
      {"metrics",
       "",
       "Shows response times by team and class, and counters.",
       {},
       0,
       0,
       true,
       RunMetrics},
      {"top",
       "",
       "Shows load and response times, refreshed periodically.",
       {"once", "interval_ms"},
       0,
       0,
       true,
       RunTop},
  };
}

std::vector<Command> LoadCommands() {
  return {
      {"load",
       "",
       "Sends jobs at predetermined random times, regardless of the answers, and reports response "
       "times relative to the ideal.",
       {"rate", "load", "seed", "duration", "mix", "run_ms", "urgent_share", "connections",
        "direct", "history", "report"},
       0,
       0,
       false,
       RunLoad},
  };
}

std::vector<Command> LogCommands() {
  constexpr std::size_t kMostFiles = 100'000;
  return {
      {"explain",
       "ID [FILE...]",
       "Shows the log lines of a job from several processes, read from files or standard input, in "
       "the order of time, and the job's outcome.",
       {},
       1,
       kMostFiles,
       false,
       RunExplain},
  };
}

std::vector<Command> AllCommands() {
  std::vector<Command> commands;
  for (const auto& group : {JobCommands(), OperatorCommands(), LoadCommands(), LogCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = AllCommands();
  return commands;
}

}  // namespace coltsfoottide::console
