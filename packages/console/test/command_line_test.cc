#include "coltsfoottide/console/command_line.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::console {
namespace {

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(ReadsFlagsAnywhere);
  CPPUNIT_TEST(FindsCommandsOfTwoWords);
  CPPUNIT_TEST(RejectsWrongUsage);
  CPPUNIT_TEST(DocumentsEveryCommand);
  CPPUNIT_TEST_SUITE_END();

  void ReadsFlagsAnywhere() {
    const CommandLine line =
        Parse({"--entry", "10.0.0.1:80,http://10.0.0.2:80/", "submit", "--wait", "job.json"});
    CPPUNIT_ASSERT_EQUAL(std::string("submit"), line.command->name);
    CPPUNIT_ASSERT_EQUAL(std::string("job.json"), line.arguments.at(0));
    const Options options = ReadOptions();
    CPPUNIT_ASSERT(options.wait);
    CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.1:80"), options.entries.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.2:80"), options.entries.at(1));
    Parse({"wait", "T", "--timeout-ms=70"});
    CPPUNIT_ASSERT(ReadOptions().timeout == std::chrono::milliseconds(70));
  }

  // "entries" is a command as well as the first word of "entries remove".
  void FindsCommandsOfTwoWords() {
    CPPUNIT_ASSERT_EQUAL(std::string("entries"), Parse({"entries"}).command->name);
    CPPUNIT_ASSERT_EQUAL(std::string("load"), Parse({"load", "--urgent-share=0.5"}).command->name);
    const CommandLine line = Parse({"entries", "remove", "a:1", "00ff"});
    CPPUNIT_ASSERT_EQUAL(std::string("entries remove"), line.command->name);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, line.arguments.size());
  }

  // A misspelt or misplaced flag must stop the call, not be ignored.
  void RejectsWrongUsage() {
    const std::vector<std::vector<std::string>> wrong = {{},
                                                         {"resubmit"},
                                                         {"submit"},
                                                         {"submit", "a.json", "b.json"},
                                                         {"submit", "a.json", "--wiat"},
                                                         {"status", "T", "--wait"},
                                                         {"load", "--rate=fast"},
                                                         {"load", "--seed"},
                                                         {"load", "--urgent-share=half"},
                                                         {"submit", "--urgent-share=0.5", "a.json"},
                                                         {"zone"}};
    for (const auto& words : wrong) {
      CPPUNIT_ASSERT(std::holds_alternative<UsageError>(ParseCommandLine(words)));
    }
  }

  void DocumentsEveryCommand() {
    for (const Command& command : Commands()) {
      CPPUNIT_ASSERT(ProgramHelp().find(command.summary) != std::string::npos);
      CPPUNIT_ASSERT(CommandHelp(command).find("Exit status") != std::string::npos);
    }
    CPPUNIT_ASSERT(Parse({"submit", "--help"}).help);
  }

  static CommandLine Parse(const std::vector<std::string>& words) {
    const auto parsed = ParseCommandLine(words);
    CPPUNIT_ASSERT(std::holds_alternative<CommandLine>(parsed));
    return std::get<CommandLine>(parsed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

}  // namespace
}  // namespace coltsfoottide::console
