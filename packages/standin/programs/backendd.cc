// backendd: a stand-in backend server for tests and experiments. See
// BackendService for its calls and BackendControls for its switches.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <QCoreApplication>
#include <cstdint>
#include <iostream>
#include <string>

#include "coltsfoottide/standin/backend_service.h"
#include "coltsfoottide/standin/listen_address.h"
#include "coltsfoottide/standin/termination.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to serve on; port 0 chooses one");
ABSL_FLAG(std::uint16_t, slots, 8,
          "largest number of concurrent tasks; further ones are refused and not run");
ABSL_FLAG(int, lease_ms, -1, "milliseconds of the lease reported by GET /health; -1 for none");
ABSL_FLAG(std::string, record, "",
          "file to which starts and ends of tasks are appended as JSON lines");

namespace {

constexpr int kUsageError = 2;

int Fail(const std::string& message) {
  std::cerr << "backendd: " << message << '\n';
  return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  namespace standin = coltsfoottide::standin;
  absl::SetProgramUsageMessage("stand-in backend server for tests and experiments");
  absl::ParseCommandLine(argc, argv);
  QCoreApplication app(argc, argv);
  const auto termination = standin::OnTermination([] { QCoreApplication::quit(); });
  const auto address = standin::ParseListenAddress(absl::GetFlag(FLAGS_listen));
  if (!address) {
    return Fail("--listen: expected IP:PORT");
  }
  standin::BackendControls controls;
  controls.slots = absl::GetFlag(FLAGS_slots);
  controls.lease_ms = absl::GetFlag(FLAGS_lease_ms);
  standin::BackendService service(controls);
  if (!service.RecordTo(absl::GetFlag(FLAGS_record))) {
    return Fail("--record: cannot open the file");
  }
  if (const auto error = service.Listen(*address)) {
    return Fail(*error);
  }
  standin::PrintListening(address->ip, service.port());
  return QCoreApplication::exec();
}
