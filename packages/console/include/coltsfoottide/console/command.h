#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "coltsfoottide/console/entry_client.h"
#include "coltsfoottide/console/exit_status.h"
#include "coltsfoottide/console/options.h"

namespace coltsfoottide::console {

// Arguments, entries and output streams of a running command.
struct CommandContext {
  const Options& options;
  // Positional arguments after the command's name.
  const std::vector<std::string>& arguments;
  EntryClient& client;
  std::ostream& out;
  std::ostream& err;
};

// One subcommand of the console.
struct Command {
  // One or two words, e.g. "zone out".
  std::string name;
  // Positional arguments as shown in --help.
  std::string arguments;
  std::string summary;
  // Flags accepted besides --entry, --json and --help.
  std::vector<std::string> flags;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  bool needs_entry = true;
  std::function<ExitStatus(CommandContext&)> run;
};

// Returns all commands in the order of --help.
const std::vector<Command>& Commands();

}  // namespace coltsfoottide::console
