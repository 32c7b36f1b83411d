#include "library_log_handler.h"

#include <google/protobuf/stubs/logging.h>

#include <QString>
#include <QtGlobal>
#include <algorithm>
#include <atomic>
#include <string>
#include <utility>

#include "coltsfoottide/daemon/logging.h"

namespace coltsfoottide::daemon {

namespace {

// Messages may contain input from outside, so their size is limited.
constexpr std::size_t kMaxTextBytes = 500;

// Global, because the libraries' handlers take no context argument.
std::atomic<Logger*> current_logger = nullptr;

void Write(const char* library, std::string text) {
  Logger* logger = current_logger.load();
  if (logger == nullptr) return;
  text.resize(std::min(text.size(), kMaxTextBytes));
  logger->Warn("library message", {{"library", library}, {"text", std::move(text)}});
}

void OnQtMessage(QtMsgType /*type*/, const QMessageLogContext& /*context*/, const QString& text) {
  Write("Qt", text.toStdString());
}

void OnProtobufMessage(google::protobuf::LogLevel /*level*/, const char* /*file*/, int /*line*/,
                       const std::string& text) {
  Write("protobuf", text);
}

}  // namespace

LibraryLogHandler::LibraryLogHandler(Logger& logger) {
  current_logger = &logger;
  qInstallMessageHandler(OnQtMessage);
  google::protobuf::SetLogHandler(OnProtobufMessage);
}

LibraryLogHandler::~LibraryLogHandler() {
  qInstallMessageHandler(nullptr);
  google::protobuf::SetLogHandler(nullptr);
  current_logger = nullptr;
}

}  // namespace coltsfoottide::daemon
