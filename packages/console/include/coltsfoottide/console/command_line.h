#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// A parsed command line. The values of its flags are already assigned to the
// ABSL_FLAG variables, see ReadOptions.
struct CommandLine {
  // Null when only --help was given.
  const Command* command = nullptr;
  std::vector<std::string> arguments;
  bool help = false;
};

struct UsageError {
  std::string message;
};

// Parses the arguments after the program's name. Flags may stand anywhere, as
// "--name=value", "--name value" or, for switches, "--name"; dashes and
// underscores in names are equivalent. A flag that the command does not take
// is an error.
std::variant<CommandLine, UsageError> ParseCommandLine(const std::vector<std::string>& words);

// Returns the help of one command.
std::string CommandHelp(const Command& command);

// Returns the help of the program.
std::string ProgramHelp();

}  // namespace coltsfoottide::console
