#include "coltsfoottide/console/command_line.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace coltsfoottide::console {
namespace {

constexpr std::array<std::string_view, 2> kCommonFlags = {"entry", "json"};

// A flag of the command line whose value is not yet assigned.
struct GivenFlag {
  std::string name;
  std::string value;
};

struct SplitArguments {
  std::vector<std::string> positional;
  std::vector<GivenFlag> flags;
  bool help = false;
};

std::string WithUnderscores(std::string name) {
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

std::string WithDashes(std::string name) {
  std::replace(name.begin(), name.end(), '_', '-');
  return name;
}

bool IsKnownFlag(const std::string& name) {
  const auto is_name = [&](std::string_view it) { return it == name; };
  return std::any_of(kCommonFlags.begin(), kCommonFlags.end(), is_name) ||
         std::any_of(Commands().begin(), Commands().end(), [&](const Command& command) {
           return std::any_of(command.flags.begin(), command.flags.end(), is_name);
         });
}

bool Accepts(const Command& command, const std::string& name) {
  return std::find(kCommonFlags.begin(), kCommonFlags.end(), name) != kCommonFlags.end() ||
         std::find(command.flags.begin(), command.flags.end(), name) != command.flags.end();
}

// Reads the flag at `*index` and its value. Advances `*index` if the value is
// the next word.
std::optional<UsageError> ReadFlag(const std::vector<std::string>& words, std::size_t* index,
                                   SplitArguments* result) {
  const std::string word = words[*index].substr(2);
  const std::size_t equals = word.find('=');
  GivenFlag flag{WithUnderscores(word.substr(0, equals)), "true"};
  if (!IsKnownFlag(flag.name)) {
    return UsageError{"unknown flag --" + word.substr(0, equals)};
  }
  if (equals != std::string::npos) {
    flag.value = word.substr(equals + 1);
  } else if (!absl::FindCommandLineFlag(flag.name)->IsOfType<bool>()) {
    if (++*index == words.size()) {
      return UsageError{"--" + word + " needs a value"};
    }
    flag.value = words[*index];
  }
  result->flags.push_back(std::move(flag));
  return std::nullopt;
}

std::variant<SplitArguments, UsageError> SplitWords(const std::vector<std::string>& words) {
  SplitArguments result;
  for (std::size_t n = 0; n < words.size(); ++n) {
    if (words[n] == "--help" || words[n] == "-h") {
      result.help = true;
    } else if (words[n].starts_with("--")) {
      if (auto error = ReadFlag(words, &n, &result)) {
        return *error;
      }
    } else {
      result.positional.push_back(words[n]);
    }
  }
  return result;
}

// Finds the command named by the first one or two words and removes them.
const Command* TakeCommand(std::vector<std::string>* positional) {
  for (const std::size_t length : {std::size_t{2}, std::size_t{1}}) {
    if (positional->size() < length) {
      continue;
    }
    const std::string name =
        length == 2 ? (*positional)[0] + " " + (*positional)[1] : (*positional)[0];
    const auto it = std::find_if(Commands().begin(), Commands().end(),
                                 [&](const Command& command) { return command.name == name; });
    if (it != Commands().end()) {
      positional->erase(positional->begin(),
                        positional->begin() + static_cast<std::ptrdiff_t>(length));
      return &*it;
    }
  }
  return nullptr;
}

std::optional<UsageError> AssignFlags(const Command& command, const std::vector<GivenFlag>& flags) {
  for (const GivenFlag& flag : flags) {
    if (!Accepts(command, flag.name)) {
      return UsageError{command.name + " takes no --" + WithDashes(flag.name)};
    }
    std::string error;
    if (!absl::FindCommandLineFlag(flag.name)->ParseFrom(flag.value, &error)) {
      return UsageError{"--" + WithDashes(flag.name) + ": wrong value \"" + flag.value + "\"" +
                        (error.empty() ? "" : ", " + error)};
    }
  }
  return std::nullopt;
}

void PrintFlag(std::ostream& out, const std::string& name) {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  out << "  --" << WithDashes(name) << "  " << flag->Help();
  if (!flag->IsOfType<bool>() && !flag->DefaultValue().empty()) {
    out << " (default: " << flag->DefaultValue() << ")";
  }
  out << '\n';
}

}  // namespace

std::variant<CommandLine, UsageError> ParseCommandLine(const std::vector<std::string>& words) {
  auto split = SplitWords(words);
  if (const auto* error = std::get_if<UsageError>(&split)) {
    return *error;
  }
  SplitArguments& given = std::get<SplitArguments>(split);
  CommandLine line;
  line.help = given.help;
  line.command = TakeCommand(&given.positional);
  line.arguments = given.positional;
  if (line.help) {
    return line;
  }
  if (line.command == nullptr) {
    return UsageError{given.positional.empty() ? "a command is needed"
                                               : "unknown command " + given.positional.front()};
  }
  if (line.arguments.size() < line.command->min_arguments ||
      line.arguments.size() > line.command->max_arguments) {
    return UsageError{line.command->name + ": expected arguments: " +
                      (line.command->arguments.empty() ? "none" : line.command->arguments)};
  }
  if (auto error = AssignFlags(*line.command, given.flags)) {
    return *error;
  }
  return line;
}

std::string CommandHelp(const Command& command) {
  std::ostringstream out;
  out << "usage: coltsfoottide " << command.name << (command.arguments.empty() ? "" : " ")
      << command.arguments << " [flags]\n\n"
      << command.summary << "\n\nFlags:\n";
  for (const std::string_view name : kCommonFlags) {
    PrintFlag(out, std::string(name));
  }
  for (const std::string& name : command.flags) {
    PrintFlag(out, name);
  }
  out << '\n' << ExitStatusHelp();
  return out.str();
}

std::string ProgramHelp() {
  std::ostringstream out;
  out << "usage: coltsfoottide COMMAND [arguments] [flags]\n\nCommands:\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name << (command.arguments.empty() ? "" : " ") << command.arguments
        << "\n      " << command.summary << '\n';
  }
  out << "\nCOMMAND --help shows the flags of a command.\n\nFlags of all commands:\n";
  for (const std::string_view name : kCommonFlags) {
    PrintFlag(out, std::string(name));
  }
  out << '\n' << ExitStatusHelp();
  return out.str();
}

}  // namespace coltsfoottide::console
