#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "router_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Coordinators that answer late, twice, in any order or not at all, and
// callers that disconnect.
class RandomTraffic {
 public:
  using Op = std::tuple<unsigned, unsigned>;

  RandomTraffic() { harness_.SetCoordinators({1, 2, 3}); }

  void Step(const Op& op) {
    const auto [action, value] = op;
    switch (action % 8) {
      case 0:
      case 1:
        Begin(value);
        break;
      case 2:
        harness_.Run(milliseconds(value));
        break;
      case 3:
        harness_.router.OnLinkDown(harness_.EndpointOf(1 + (value % 3)), harness_.now);
        break;
      case 4:
        if (!tickets_.empty()) {
          const std::uint64_t call = 1 + (value % tickets_.size());
          harness_.router.Abandon(call);
          abandoned_.insert(call);
        }
        break;
      default:
        Answer(value);
    }
  }

  // Every call that was not abandoned has one response by now, with the
  // caller's own ticket and the output made for it.
  void Finish() {
    harness_.Run(seconds(100));
    RC_ASSERT(harness_.router.pending() == 0U);
    std::map<std::uint64_t, int> responses;
    for (const auto& [call, response] : harness_.sink.jobs) {
      const api::JobAnswer& answer = response.answer();
      ++responses[call];
      RC_ASSERT(answer.ticket().sequence() == tickets_.at(call).sequence());
      RC_ASSERT(answer.ticket().endpoint() == tickets_.at(call).endpoint());
      if (answer.state() == api::COMPLETE) {
        RC_ASSERT(answer.results(0).output() == std::to_string(answer.ticket().sequence()));
      } else if (answer.state() == api::FAILED) {
        RC_ASSERT(answer.error().verdict() == api::MAY_HAVE_RUN);
      }
    }
    for (const auto& [call, ticket] : tickets_) {
      RC_ASSERT(responses[call] <= 1);
      RC_ASSERT(responses[call] == 1 || abandoned_.contains(call));
    }
  }

 private:
  void Begin(unsigned value) {
    const std::uint64_t call = tickets_.size() + 1;
    const api::Ticket ticket = harness_.MakeTicket(1 + (value % 3), value % 20);
    tickets_[call] = ticket;
    api::WaitRequest wait;
    api::CancelRequest cancel;
    api::StatusRequest status;
    switch (value % 5) {
      case 0:
        *wait.mutable_ticket() = ticket;
        harness_.router.Wait(call, wait, harness_.now);
        break;
      case 1:
        *cancel.mutable_ticket() = ticket;
        harness_.router.Cancel(call, cancel, harness_.now);
        break;
      case 2:
        *status.mutable_ticket() = ticket;
        harness_.router.Status(call, status, harness_.now);
        break;
      default:
        harness_.Submit(call, ticket, value % 5 == 3);
    }
  }

  // Answers some earlier message to a coordinator, perhaps one that was answered
  // before.
  void Answer(unsigned value) {
    if (harness_.outbox.sent.empty()) {
      return;
    }
    const auto [endpoint, message] = harness_.outbox.sent[value % harness_.outbox.sent.size()];
    const std::uint64_t coordinator = std::stoull(endpoint.substr(std::string("10.0.0.").size()));
    if (message.has_submit_job()) {
      Reply(coordinator, message.submit_job(), value);
    } else if (message.has_wait_job()) {
      Reply(coordinator, message.wait_job(), value);
    } else if (message.has_cancel_job()) {
      Reply(coordinator, message.cancel_job(), value);
    } else if (message.has_status_job()) {
      Reply(coordinator, message.status_job(), value);
    } else if (message.has_probe()) {
      wire::Envelope reply;
      reply.mutable_probe_reply()->set_request(message.probe().request());
      harness_.Deliver(coordinator, reply);
    }
  }

  template <typename Message>
  void Reply(std::uint64_t coordinator, const Message& message, unsigned value) {
    const std::uint64_t sequence = message.ticket().sequence();
    if (value % 7 == 0) {
      harness_.Move(coordinator, message.request(), harness_.MakeTicket(1 + (value % 3), sequence));
      return;
    }
    wire::Envelope reply =
        harness_.MakeReply(message.request(), value % 7 < 4 ? api::RUNNING : api::COMPLETE);
    api::JobAnswer& answer = *reply.mutable_job_reply()->mutable_answer();
    *answer.mutable_ticket() = message.ticket();
    answer.add_results()->set_output(std::to_string(sequence));
    harness_.Deliver(coordinator, reply);
  }

  RouterHarness harness_;
  std::map<std::uint64_t, api::Ticket> tickets_;
  std::set<std::uint64_t> abandoned_;
};

class JobRouterPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRouterPropertyTest);
  CPPUNIT_TEST(GivesEachCallItsOwnAnswerOnce);
  CPPUNIT_TEST_SUITE_END();

  void GivesEachCallItsOwnAnswerOnce() {
    const auto ops =
        rc::gen::resize(200, rc::gen::container<std::vector<RandomTraffic::Op>>(rc::gen::tuple(
                                 rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 1000U))));
    const bool held = rc::check("router", [&ops] {
      RandomTraffic traffic;
      for (const RandomTraffic::Op& op : *ops) {
        traffic.Step(op);
      }
      traffic.Finish();
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterPropertyTest);

}  // namespace
}  // namespace coltsfoottide::core
