#include <cppunit/extensions/HelperMacros.h>

#include <QByteArray>
#include <fstream>
#include <sstream>

#include "application.h"
#include "coltsfoottide/console/config_check_command.h"
#include "fake_platform.h"

namespace coltsfoottide::console {
namespace {

std::string PathOf(const std::string& name) {
  return std::string(COLTSFOOTTIDE_TEST_CONFIGURATIONS) + "/" + name;
}

// A store whose topic of operator's records holds `file` as its configuration, or
// only an evacuation if `file` is empty.
platform::FakePlatform::Handler StoreWith(const std::string& file) {
  return [file](const http::Request& request) {
    CPPUNIT_ASSERT_EQUAL(std::string("/log-newest"), request.path);
    CPPUNIT_ASSERT(request.query.find("Topic=keyed.op") != std::string::npos);
    std::string items = R"({"Key":"evacuate/z","Value":"e30=","Offset":1})";
    if (!file.empty()) {
      std::ostringstream text;
      text << std::ifstream(PathOf(file)).rdbuf();
      items += R"(,{"Key":"config","Value":")" +
               QByteArray::fromStdString(text.str()).toBase64().toStdString() + R"(","Offset":2})";
    }
    return platform::Reply(200, R"({"End":3,"items":[)" + items + R"(],"More":false})");
  };
}

class ConfigCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigCheckTest);
  CPPUNIT_TEST(StatusIsThatOfTheWorstFinding);
  CPPUNIT_TEST(PrintsFindings);
  CPPUNIT_TEST(PrintsJson);
  CPPUNIT_TEST(ComparesWithAFile);
  CPPUNIT_TEST(ComparesWithTheStore);
  CPPUNIT_TEST(ChecksTheFileWithoutTheStore);
  CPPUNIT_TEST(UnreadableFileIsBadUsage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

 private:
  // Guards against a script that takes a configuration with errors for a valid one.
  void StatusIsThatOfTheWorstFinding() {
    CPPUNIT_ASSERT_EQUAL(0, Run("valid.json"));
    CPPUNIT_ASSERT_EQUAL(1, Run("same_prefix.json"));
    CPPUNIT_ASSERT_EQUAL(2, Run("wrong_types.json"));
  }

  // Guards against a finding without its severity, place or reason.
  void PrintsFindings() {
    Run("syntax.json");
    CPPUNIT_ASSERT_EQUAL(std::string("error: line 4, column 23: unterminated object\n"
                                     "errors: 1, warnings: 0, differences: 0\n"),
                         out_.str());
  }

  // Guards against output that scripts cannot read.
  void PrintsJson() {
    options_.json = true;
    Run("body_limit_zero.json");
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"message":"is 0: every job is refused","path":"Limits.MaxBodyBytes",)"
                    R"("severity":"warning"})"
                    "\n"
                    R"({"differences":0,"errors":0,"warnings":1})"
                    "\n"),
        out_.str());
    out_.str("");
    Run("syntax.json");
    CPPUNIT_ASSERT(out_.str().find(R"("line":4)") != std::string::npos);
  }

  // Guards against differences that count as warnings: an operator compares to make a
  // change.
  void ComparesWithAFile() {
    options_.against = PathOf("valid.json");
    CPPUNIT_ASSERT_EQUAL(0, Run("valid.json"));
    CPPUNIT_ASSERT_EQUAL(1, Run("same_version.json"));
    options_.against = PathOf("same_version.json");
    out_.str("");
    CPPUNIT_ASSERT_EQUAL(0, Run("changed.json"));
    CPPUNIT_ASSERT(out_.str().find("difference: Version: 7 -> 8\n") != std::string::npos);
  }

  // Guards against comparing with another record of the topic.
  void ComparesWithTheStore() {
    platform::FakePlatform store(StoreWith("valid.json"));
    options_.against = "http://" + store.address();
    CPPUNIT_ASSERT_EQUAL(0, Run("changed.json"));
    CPPUNIT_ASSERT(out_.str().find("errors: 0, warnings: 0, differences: 8\n") !=
                   std::string::npos);
  }

  // Guards against a check that fails, or reports no differences, when the store is unreachable.
  void ChecksTheFileWithoutTheStore() {
    platform::FakePlatform empty(StoreWith(""));
    options_.against = "http://" + empty.address();
    CPPUNIT_ASSERT_EQUAL(1, Run("valid.json"));
    CPPUNIT_ASSERT_EQUAL(std::string("warning: not compared: the store has no configuration\n"
                                     "errors: 0, warnings: 1, differences: 0\n"),
                         out_.str());
    platform::FakePlatform broken([](const auto&) { return platform::Reply(500, ""); });
    options_.against = "http://" + broken.address();
    CPPUNIT_ASSERT_EQUAL(1, Run("valid.json"));
    CPPUNIT_ASSERT_EQUAL(2, Run("wrong_types.json"));
    CPPUNIT_ASSERT(out_.str().find("the store gave no answer") != std::string::npos);
  }

  // Guards against an absent file that passes for an empty configuration.
  void UnreadableFileIsBadUsage() {
    CPPUNIT_ASSERT_EQUAL(2, Run("absent.json"));
    CPPUNIT_ASSERT_EQUAL(2, Run("."));
    options_.against = PathOf("absent.json");
    CPPUNIT_ASSERT_EQUAL(2, Run("valid.json"));
    CPPUNIT_ASSERT(out_.str().empty());
  }

  int Run(const std::string& name) {
    const std::vector<std::string> arguments = {PathOf(name)};
    std::ostringstream err;
    EntryClient client({}, err);
    CommandContext context{options_, arguments, client, out_, err};
    return static_cast<int>(RunConfigCheck(context));
  }

  Options options_;
  std::ostringstream out_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCheckTest);

}  // namespace
}  // namespace coltsfoottide::console
