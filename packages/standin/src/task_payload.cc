#include "coltsfoottide/standin/task_payload.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace coltsfoottide::standin {
namespace {

constexpr int kDefaultRunMs = 50;
constexpr int kMaxRunMs = 3'600'000;

}  // namespace

TaskPayload ParseTaskPayload(const std::string& payload) {
  TaskPayload task;
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(payload));
  if (!document.isObject()) {
    task.result = payload;
    return task;
  }
  const QJsonObject object = document.object();
  task.run_time = std::chrono::milliseconds(
      std::clamp(object.value("run_ms").toInt(kDefaultRunMs), 0, kMaxRunMs));
  const QString echo = object.value("echo").toString();
  task.echo = echo.toStdString();
  task.result =
      QJsonDocument(QJsonObject{{"echo", echo}}).toJson(QJsonDocument::Compact).toStdString();
  return task;
}

}  // namespace coltsfoottide::standin
