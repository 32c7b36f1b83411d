#include "library_messages.h"

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

// Text from outside may be in it.
constexpr std::size_t kMostBytes = 500;

// The libraries take functions without a context.
std::atomic<Logger*> current = nullptr;

void Write(const char* library, std::string text) {
  Logger* logger = current.load();
  if (logger == nullptr) return;
  text.resize(std::min(text.size(), kMostBytes));
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

LibraryMessages::LibraryMessages(Logger& logger) {
  current = &logger;
  qInstallMessageHandler(OnQtMessage);
  google::protobuf::SetLogHandler(OnProtobufMessage);
}

LibraryMessages::~LibraryMessages() {
  qInstallMessageHandler(nullptr);
  google::protobuf::SetLogHandler(nullptr);
  current = nullptr;
}

}  // namespace coltsfoottide::daemon
