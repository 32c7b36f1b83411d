#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "coltsfoottide/console/exit_status.h"
#include "coltsfoottide/console/job_file.h"
#include "coltsfoottide/console/job_output.h"
#include "coltsfoottide/console/table.h"
#include "coltsfoottide/console/ticket_text.h"
#include "coltsfoottide/schema/errors.h"

namespace coltsfoottide::console {
namespace {

class TextFormsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextFormsTest);
  CPPUNIT_TEST(TicketRoundTripsThroughText);
  CPPUNIT_TEST(RejectsMalformedTickets);
  CPPUNIT_TEST(MapsVerdictsToExitStatus);
  CPPUNIT_TEST(ReadsPayloadsAsObjectsAndBase64);
  CPPUNIT_TEST(ReportsInvalidJobs);
  CPPUNIT_TEST(ShowsBinaryOutputAsBase64);
  CPPUNIT_TEST(AlignsTables);
  CPPUNIT_TEST_SUITE_END();

  // A wrong digit would name the ticket of another coordinator, so that the job
  // could be submitted twice.
  void TicketRoundTripsThroughText() {
    api::Ticket ticket;
    ticket.set_endpoint("10.0.0.5:7000");
    ticket.set_incarnation(0xfedcba9876543210ULL);
    ticket.set_sequence(18'446'744'073'709'551'615ULL);
    ticket.set_data_centre("fes-c");
    const std::string text = FormatTicket(ticket);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5:7000/fedcba9876543210/18446744073709551615/fes-c"),
                         text);
    CPPUNIT_ASSERT_EQUAL(ticket.SerializeAsString(), ParseTicket(text)->SerializeAsString());
  }

  void RejectsMalformedTickets() {
    for (const char* text : {"", "a/b", "a:1/00ff/7", "a:1/00fg/7/x", "a:1/00ff/-7/x",
                             "a:1/00ff/7/x/y", "a:1/11112222333344445/7/x", "/00ff/7/x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseTicket(text));
    }
  }

  // Scripts decide by the exit status whether a retry is safe.
  void MapsVerdictsToExitStatus() {
    const auto status = [](api::Verdict verdict) {
      return StatusOf(schema::MakeFailedAnswer({}, schema::MakeError(verdict, api::CANCELLED, "")));
    };
    CPPUNIT_ASSERT(status(api::NOT_RUN) == ExitStatus::kNotRun);
    CPPUNIT_ASSERT(status(api::MAY_HAVE_RUN) == ExitStatus::kMayHaveRun);
    CPPUNIT_ASSERT(status(api::RAN) == ExitStatus::kRan);
    CPPUNIT_ASSERT(status(api::VERDICT_UNSPECIFIED) == ExitStatus::kMayHaveRun);
    CPPUNIT_ASSERT(StatusOf(api::JobAnswer()) == ExitStatus::kMayHaveRun);
  }

  void ReadsPayloadsAsObjectsAndBase64() {
    const auto parsed = ParseJob(R"({"team":"coaches","service":"match-review",
        "job_class":"URGENT","deadline_ms":1000,"tasks":[
        {"kind":"clip-lookup","payload":{"run_ms":70}},
        {"kind":"clip-lookup","payload":"aGk=","depends_on":[0]}]})");
    const auto& job = std::get<api::JobSpec>(parsed);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"run_ms":70})"), job.tasks(0).payload());
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), job.tasks(1).payload());
  }

  void ReportsInvalidJobs() {
    for (const char* text : {"", "[]", "{\"teem\":\"x\"}", "{\"team\":\"coaches\"}"}) {
      CPPUNIT_ASSERT_MESSAGE(text, std::holds_alternative<JobFileError>(ParseJob(text)));
    }
    CPPUNIT_ASSERT(std::holds_alternative<JobFileError>(ReadJobFile("no-such-file.json")));
  }

  // Control characters in a result must not reach the terminal.
  void ShowsBinaryOutputAsBase64() {
    CPPUNIT_ASSERT_EQUAL(std::string("Fès"), OutputText("Fès"));
    CPPUNIT_ASSERT_EQUAL(std::string("base64:G1sySg=="), OutputText("\033[2J"));
    CPPUNIT_ASSERT_EQUAL(std::string("base64:/w=="), OutputText("\xff"));
  }

  void AlignsTables() {
    Table table({"NAME", "N"});
    table.AddRow({"x", "10"});
    std::ostringstream out;
    table.Print(out);
    CPPUNIT_ASSERT_EQUAL(std::string("NAME  N\nx     10\n"), out.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextFormsTest);

}  // namespace
}  // namespace coltsfoottide::console
