// coltsfoottide: the console and load generator; see docs/console.md.

#include <QCoreApplication>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "coltsfoottide/console/command.h"
#include "coltsfoottide/console/command_line.h"
#include "coltsfoottide/console/entry_client.h"
#include "coltsfoottide/console/options.h"

namespace {

using namespace coltsfoottide;  // NOLINT(google-build-using-namespace)

int Exit(console::ExitStatus status) { return static_cast<int>(status); }

int UsageFailure(const std::string& message) {
  std::cerr << "coltsfoottide: " << message << "; see coltsfoottide --help\n";
  return Exit(console::ExitStatus::kUsage);
}

int Run(const console::CommandLine& line) {
  const console::Options options = console::ReadOptions();
  if (line.command->needs_entry && options.entries.empty()) {
    return UsageFailure("no entry given: --entry or COLTSFOOTTIDE_ENTRY is needed");
  }
  console::EntryClient client(options.entries, std::cerr);
  console::CommandContext context{options, line.arguments, client, std::cout, std::cerr};
  return Exit(line.command->run(context));
}

}  // namespace

int main(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  const auto parsed = console::ParseCommandLine(std::vector<std::string>(argv + 1, argv + argc));
  if (const auto* error = std::get_if<console::UsageError>(&parsed)) {
    return UsageFailure(error->message);
  }
  const auto& line = std::get<console::CommandLine>(parsed);
  if (line.help) {
    std::cout << (line.command != nullptr ? console::CommandHelp(*line.command)
                                          : console::ProgramHelp());
    return Exit(console::ExitStatus::kOk);
  }
  return Run(line);
}
