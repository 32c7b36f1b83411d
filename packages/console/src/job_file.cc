#include "coltsfoottide/console/job_file.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <fstream>
#include <sstream>

#include "coltsfoottide/schema/json.h"
#include "coltsfoottide/schema/validation.h"

namespace coltsfoottide::console {
namespace {

// Replaces a payload that is a JSON object by its text in base64.
QJsonObject EncodePayload(QJsonObject task) {
  const QJsonValue payload = task.value("payload");
  if (payload.isObject()) {
    const QByteArray text = QJsonDocument(payload.toObject()).toJson(QJsonDocument::Compact);
    task["payload"] = QString::fromLatin1(text.toBase64());
  }
  return task;
}

QJsonObject EncodePayloads(QJsonObject job) {
  const QJsonArray given = job.value("tasks").toArray();
  QJsonArray tasks;
  for (qsizetype n = 0; n < given.size(); ++n) {
    const QJsonValue task = given.at(n);
    tasks.append(task.isObject() ? EncodePayload(task.toObject()) : task);
  }
  if (job.value("tasks").isArray()) {
    job["tasks"] = tasks;
  }
  return job;
}

}  // namespace

std::variant<api::JobSpec, JobFileError> ParseJob(const std::string& json) {
  QJsonParseError parse_error;
  const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(json), &parse_error);
  if (!document.isObject()) {
    return JobFileError{"not a JSON object: " + parse_error.errorString().toStdString()};
  }
  const QJsonObject encoded = EncodePayloads(document.object());
  const std::string text = QJsonDocument(encoded).toJson(QJsonDocument::Compact).toStdString();
  api::JobSpec job;
  if (const auto error = schema::FromJson(text, &job)) {
    return JobFileError{*error};
  }
  if (const auto error = schema::ValidateJob(job)) {
    return JobFileError{error->message()};
  }
  return job;
}

std::variant<api::JobSpec, JobFileError> ReadJobFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return JobFileError{"cannot read the file"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJob(text.str());
}

}  // namespace coltsfoottide::console
