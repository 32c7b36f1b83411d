// logd: a stand-in for the platform's log, for tests and experiments. See
// LogService for its calls and LogControls for its switches.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <QCoreApplication>
#include <cstdint>
#include <iostream>
#include <string>

#include "coltsfoottide/standin/listen_address.h"
#include "coltsfoottide/standin/log_service.h"
#include "coltsfoottide/standin/termination.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to serve on; port 0 chooses one");
ABSL_FLAG(std::uint32_t, sync_ms, 5, "duration of one synced write in milliseconds");
ABSL_FLAG(std::uint32_t, max_records, 100'000, "largest number of records retained");
ABSL_FLAG(std::uint32_t, max_age_s, 3600, "seconds for which a record is retained");

namespace {

constexpr int kUsageError = 2;

}  // namespace

int main(int argc, char** argv) {
  namespace standin = coltsfoottide::standin;
  absl::SetProgramUsageMessage("stand-in for the platform's log, for tests and experiments");
  absl::ParseCommandLine(argc, argv);
  QCoreApplication app(argc, argv);
  const auto termination = standin::OnTermination([] { QCoreApplication::quit(); });
  const auto address = standin::ParseListenAddress(absl::GetFlag(FLAGS_listen));
  if (!address) {
    std::cerr << "logd: --listen: expected IP:PORT\n";
    return kUsageError;
  }
  standin::LogControls controls;
  controls.sync_ms = static_cast<int>(absl::GetFlag(FLAGS_sync_ms));
  standin::LogService service(
      {absl::GetFlag(FLAGS_max_records), std::chrono::seconds(absl::GetFlag(FLAGS_max_age_s))},
      controls);
  if (const auto error = service.Listen(*address)) {
    std::cerr << "logd: " << *error << '\n';
    return kUsageError;
  }
  standin::PrintListening(address->ip, service.port());
  return QCoreApplication::exec();
}
