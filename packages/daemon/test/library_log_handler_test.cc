#include "library_log_handler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QtGlobal>
#include <string>
#include <vector>

#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/schema/direct.pb.h"

namespace coltsfoottide::daemon {
namespace {

class RecordingLogger : public Logger {
 public:
  void Debug(std::string_view /*event*/, std::initializer_list<Field> /*fields*/) override {}
  void Info(std::string_view /*event*/, std::initializer_list<Field> /*fields*/) override {}
  void Warn(std::string_view event, std::initializer_list<Field> fields) override {
    lines.push_back(std::string(event) + ' ' + fields.begin()->second + ' ' +
                    (fields.begin() + 1)->second);
  }
  void Error(std::string_view /*event*/, std::initializer_list<Field> /*fields*/) override {}

  std::vector<std::string> lines;
};

class LibraryLogHandlerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LibraryLogHandlerTest);
  CPPUNIT_TEST(LogsQtMessage);
  CPPUNIT_TEST(LogsProtobufMessageAboutInvalidUtf8);
  CPPUNIT_TEST(TruncatesLongText);
  CPPUNIT_TEST_SUITE_END();

  // Guards against Qt messages that are written as plain text among the JSON
  // lines of a process.
  void LogsQtMessage() {
    RecordingLogger logger;
    const LibraryLogHandler handler(logger);
    qWarning("socket trouble");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logger.lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("library message Qt socket trouble"), logger.lines[0]);
  }

  // Guards against plain protobuf messages on standard error, which a job id
  // that is not valid UTF-8 causes.
  void LogsProtobufMessageAboutInvalidUtf8() {
    RecordingLogger logger;
    const LibraryLogHandler handler(logger);
    direct_wire::RunId id;
    id.set_job("\xff\xfe");
    id.SerializeAsString();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logger.lines.size());
    CPPUNIT_ASSERT(logger.lines[0].starts_with("library message protobuf "));
  }

  // Guards against log lines of unlimited length when a message quotes input.
  void TruncatesLongText() {
    RecordingLogger logger;
    const LibraryLogHandler handler(logger);
    qWarning("%s", std::string(10'000, 'x').c_str());
    CPPUNIT_ASSERT(logger.lines.at(0).size() < 600);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LibraryLogHandlerTest);

}  // namespace
}  // namespace coltsfoottide::daemon
