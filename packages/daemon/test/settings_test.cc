#include "coltsfoottide/daemon/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::daemon {

namespace {

constexpr char kAgent[] = R"(role = "agent"
listen = "10.0.0.1:7000"
http_listen = "10.0.0.1:8000"
data_centre = "tanger-a"
rack = "r1"
entries = ["10.0.0.2:7000", "[::1]:7000"]
backend_url = "http://10.0.0.1:9000"
service = "match-review"
)";

std::string ErrorOf(const std::string& text, const std::vector<SettingOverride>& overrides = {}) {
  const auto result = ParseSettings(text, "a.toml", overrides);
  const auto* error = std::get_if<SettingsError>(&result);
  return error == nullptr ? "" : error->message;
}

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsAgentSettings);
  CPPUNIT_TEST(OverridesTakePrecedence);
  CPPUNIT_TEST(ErrorsNameFileLineAndKey);
  CPPUNIT_TEST(OverloadPolicyIsSharedByDefault);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAgentSettings() {
    const std::string text = std::string(kAgent) + "slots = 4\ndrain_limit_ms = 1500\n";
    const auto result = ParseSettings(text, "a.toml", {});
    CPPUNIT_ASSERT_EQUAL(std::string(), ErrorOf(text));
    const auto& settings = std::get<Settings>(result);
    CPPUNIT_ASSERT(settings.role == Role::kAgent);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000"), settings.listen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.entries.size());
    CPPUNIT_ASSERT_EQUAL(4U, settings.slots);
    CPPUNIT_ASSERT_EQUAL(64U, settings.connections);
    CPPUNIT_ASSERT(settings.drain_limit == std::chrono::milliseconds(1500));
  }

  void OverridesTakePrecedence() {
    const auto result = ParseSettings(
        kAgent, "a.toml",
        {{"listen", "127.0.0.1:0"}, {"slots", "2"}, {"entries", "10.0.0.3:1,10.0.0.4:1"}});
    const auto& settings = std::get<Settings>(result);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:0"), settings.listen);
    CPPUNIT_ASSERT_EQUAL(2U, settings.slots);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.4:1"), settings.entries.at(1));
    CPPUNIT_ASSERT_EQUAL(std::string("flag: --slots: must be an integer"),
                         ErrorOf(kAgent, {{"slots", "x"}}));
    CPPUNIT_ASSERT_EQUAL(std::string("flag: --nonsense: unknown key"),
                         ErrorOf(kAgent, {{"nonsense", "x"}}));
  }

  // Guards against a deployment whose behaviour changes without its settings.
  void OverloadPolicyIsSharedByDefault() {
    const auto policy = [](const std::string& line) {
      return std::get<Settings>(ParseSettings(kAgent + line, "a.toml", {})).overload_policy;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("shared"), policy(""));
    CPPUNIT_ASSERT_EQUAL(std::string("priority"), policy("overload_policy = \"priority\"\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("a.toml:9: overload_policy: must be \"shared\" or "
                                     "\"priority\""),
                         ErrorOf(kAgent + std::string("overload_policy = \"strict\"\n")));
  }

  // Guards against settings errors that do not name the file, the line and the
  // key, from which an operator has to find the mistake.
  void ErrorsNameFileLineAndKey() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"slots = 0", "slots: must be between 1 and 1024"},
        {"slots = 5000000000", "slots: must be between 1 and 1024"},
        {"slots = -1", "slots: must be between 1 and 1024"},
        {"slots = \"8\"", "slots: must be an integer"},
        {"slot = 8", "slot: unknown key"},
        {"log_level = \"loud\"",
         "log_level: must be \"debug\" or \"info\" or \"warn\" or \"error\""},
        {"log_level = 1", "log_level: must be a string"},
        {"placement = \"best\"", "placement: must be \"hybrid\" or \"random\""},
        {"log_url = \"https://10.0.0.1:1\"", "log_url: must be \"http://IP number:port\""},
        {"log_url = \"http://log:80\"", "log_url: must be \"http://IP number:port\""},
        {"drain_limit_ms = 600001", "drain_limit_ms: must be between 0 and 600000"},
        {"cpu_share = 0", "cpu_share: must be between 0.001000 and 1024.000000"},
        {"cpu_share = \"1\"", "cpu_share: must be a number"},
        {"slots = 8\nslots = 9", ""},
        {"slots = ", ""},
    };
    for (const auto& [line, expected] : cases) {
      const std::string error = ErrorOf(kAgent + line);
      CPPUNIT_ASSERT(error.find('\n') == std::string::npos);
      if (expected.empty()) {
        CPPUNIT_ASSERT(error.find(": syntax: ") != std::string::npos);
      } else {
        CPPUNIT_ASSERT_EQUAL("a.toml:9: " + expected, error);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a.toml:1: listen: missing"), ErrorOf("role = \"entry\""));
    CPPUNIT_ASSERT_EQUAL(std::string("a.toml:2: listen: must be \"IP number:port\""),
                         ErrorOf("role = \"entry\"\nlisten = \"localhost:1\""));
    CPPUNIT_ASSERT_EQUAL(std::string("a.toml:1: entries: must be an array of strings"),
                         ErrorOf("entries = [1]"));
    const auto absent = LoadSettings("/nonexistent/a.toml", {});
    CPPUNIT_ASSERT_EQUAL(std::string("/nonexistent/a.toml:1: file: No such file or directory"),
                         std::get<SettingsError>(absent).message);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace coltsfoottide::daemon
