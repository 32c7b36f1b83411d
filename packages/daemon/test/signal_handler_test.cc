#include "coltsfoottide/daemon/signal_handler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <chrono>
#include <csignal>

namespace coltsfoottide::daemon {
namespace {

class SignalHandlerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SignalHandlerTest);
  CPPUNIT_TEST(SighupReloadsWithoutStopping);
  CPPUNIT_TEST_SUITE_END();

  // Guards against SIGHUP with its default action, which would end the process
  // and all requests in progress.
  void SighupReloadsWithoutStopping() {
    static int argc = 0;
    const QCoreApplication application(argc, nullptr);
    int stops = 0;
    int reloads = 0;
    const auto handler = MakeSignalHandler([&stops] { ++stops; }, [&reloads] { ++reloads; });
    std::raise(SIGHUP);
    // Far above the time that one turn of the event loop takes.
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (reloads == 0 && std::chrono::steady_clock::now() < limit) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    CPPUNIT_ASSERT_EQUAL(1, reloads);
    CPPUNIT_ASSERT_EQUAL(0, stops);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SignalHandlerTest);

}  // namespace
}  // namespace coltsfoottide::daemon
