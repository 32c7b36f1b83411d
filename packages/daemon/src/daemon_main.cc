#include "coltsfoottide/daemon/daemon_main.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <QCoreApplication>
#include <QTimer>
#include <chrono>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/runtime_hooks.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/daemon/signal_handler.h"
#include "library_log_handler.h"

ABSL_FLAG(std::string, settings, "", "path of the TOML settings file");
ABSL_FLAG(std::string, role, "",
          "entry, agent, direct-entry or direct-agent; overrides the settings file");
ABSL_FLAG(std::string, listen, "",
          "IP:port for links to other processes; overrides the settings file");
ABSL_FLAG(std::string, http_listen, "", "IP:port for HTTP; overrides the settings file");
ABSL_FLAG(std::string, data_centre, "", "data centre; overrides the settings file");
ABSL_FLAG(std::string, rack, "", "rack; overrides the settings file");
ABSL_FLAG(std::string, log_level, "", "debug, info, warn or error; overrides the settings file");
ABSL_FLAG(std::string, log_url, "", "URL of the platform's log; overrides the settings file");
ABSL_FLAG(std::string, backend_url, "", "URL of the backend server; overrides the settings file");
ABSL_FLAG(std::string, service, "", "service of the backend server; overrides the settings file");
ABSL_FLAG(std::string, placement, "", "hybrid or random; overrides the settings file");

namespace coltsfoottide::daemon {
namespace {

constexpr int kStartFailed = 2;
// Time for the last answers to leave the sockets before the process ends.
constexpr std::chrono::milliseconds kExitDelay{50};

std::vector<SettingOverride> FlagOverrides() {
  const std::vector<SettingOverride> all = {
      {"role", absl::GetFlag(FLAGS_role)},
      {"listen", absl::GetFlag(FLAGS_listen)},
      {"http_listen", absl::GetFlag(FLAGS_http_listen)},
      {"data_centre", absl::GetFlag(FLAGS_data_centre)},
      {"rack", absl::GetFlag(FLAGS_rack)},
      {"log_level", absl::GetFlag(FLAGS_log_level)},
      {"log_url", absl::GetFlag(FLAGS_log_url)},
      {"backend_url", absl::GetFlag(FLAGS_backend_url)},
      {"service", absl::GetFlag(FLAGS_service)},
      {"placement", absl::GetFlag(FLAGS_placement)},
  };
  std::vector<SettingOverride> given;
  for (const SettingOverride& item : all) {
    if (!item.value.empty()) {
      given.push_back(item);
    }
  }
  return given;
}

// Reads the settings again and applies them; invalid ones are logged and ignored.
void ReloadSettings(Runtime& runtime, Logger& logger) {
  const auto settings = LoadSettings(absl::GetFlag(FLAGS_settings), FlagOverrides());
  if (const auto* error = std::get_if<SettingsError>(&settings)) {
    logger.Error("settings not reloaded", {{"reason", error->message}});
    return;
  }
  runtime.Reload(std::get<Settings>(settings));
  logger.Info("settings reloaded", {});
}

int RunDaemon(const Settings& settings, const RuntimeHooks& hooks) {
  const bool entry = settings.role == Role::kEntry || settings.role == Role::kDirectEntry;
  const std::string process = std::string(entry ? "entry " : "agent ") + settings.listen;
  auto logger = MakeJsonLogger(settings.log_level, process);
  const LibraryLogHandler log_handler(*logger);
  auto metrics = MakeMetrics();
  std::unique_ptr<Runtime> runtime;
  const auto on_stop = [&runtime, &hooks] {
    if (hooks.abrupt_stop) {
      QCoreApplication::quit();
      return;
    }
    runtime->BeginStop([] { QTimer::singleShot(kExitDelay, [] { QCoreApplication::quit(); }); });
  };
  auto stop =
      MakeSignalHandler(on_stop, [&runtime, &logger] { ReloadSettings(*runtime, *logger); });
  runtime = MakeRuntime(settings, hooks, *logger, *metrics);
  if (const auto error = runtime->Start()) {
    std::cerr << absl::GetFlag(FLAGS_settings) << ": " << error->message << std::endl;
    return kStartFailed;
  }
  return QCoreApplication::exec();
}

}  // namespace

int DaemonMain(int argc, char** argv, const RuntimeHooks& hooks) {
  absl::SetProgramUsageMessage(
      "Dispatcher for sub-second tasks: one entry or agent process.\n"
      "coltsfoottided --settings=FILE [--role=entry|agent|direct-entry|direct-agent] [overrides]");
  absl::ParseCommandLine(argc, argv);
  const QCoreApplication application(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "coltsfoottided: --settings=FILE is required; see --help" << std::endl;
    return kStartFailed;
  }
  const auto settings = LoadSettings(path, FlagOverrides());
  if (const auto* error = std::get_if<SettingsError>(&settings)) {
    std::cerr << error->message << std::endl;
    return kStartFailed;
  }
  return RunDaemon(std::get<Settings>(settings), hooks);
}

}  // namespace coltsfoottide::daemon
