#include "coltsfoottide/standin/field_reader.h"

#include <QJsonDocument>
#include <cmath>

namespace coltsfoottide::standin {

FieldReader::FieldReader(const std::string& json) {
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json));
  if (document.isObject()) {
    object_ = document.object();
  } else {
    error_ = "the body is not a JSON object";
  }
}

QJsonValue FieldReader::Take(const QString& key) {
  return object_.contains(key) ? object_.take(key) : QJsonValue(QJsonValue::Undefined);
}

void FieldReader::SetError(const QString& key, const QString& expected) {
  if (!error_) {
    error_ = (key + ": expected " + expected).toStdString();
  }
}

void FieldReader::ReadInteger(const QString& key, int min, int max, int* target) {
  const QJsonValue value = Take(key);
  if (value.isUndefined()) {
    return;
  }
  const double number = value.toDouble(std::nan(""));
  if (!(number >= min && number <= max) || number != std::floor(number)) {
    SetError(key, QString("an integer from %1 to %2").arg(min).arg(max));
    return;
  }
  *target = static_cast<int>(number);
}

void FieldReader::ReadBoolean(const QString& key, bool* target) {
  const QJsonValue value = Take(key);
  if (value.isUndefined()) {
    return;
  }
  if (!value.isBool()) {
    SetError(key, "true or false");
    return;
  }
  *target = value.toBool();
}

void FieldReader::ReadChoice(const QString& key, const QStringList& choices, int* target) {
  const QJsonValue value = Take(key);
  if (value.isUndefined()) {
    return;
  }
  const qsizetype index = choices.indexOf(value.toString());
  if (index < 0) {
    SetError(key, "one of " + choices.join(", "));
    return;
  }
  *target = static_cast<int>(index);
}

std::optional<std::string> FieldReader::Finish() {
  if (!error_ && !object_.isEmpty()) {
    error_ = "unknown field " + object_.keys().first().toStdString();
  }
  return error_;
}

}  // namespace coltsfoottide::standin
