#pragma once

#include <QJsonObject>
#include <QString>
#include <QStringList>
#include <optional>
#include <string>

namespace coltsfoottide::standin {

// Reads the known fields of a JSON object and reports the first field that has
// an invalid value or is unknown. An absent field leaves its target unchanged.
//
//   FieldReader reader(body);
//   reader.ReadInteger("slow_ms", 0, 60000, &controls.slow_ms);
//   if (const auto error = reader.Finish()) { ... }
class FieldReader {
 public:
  // Parses the text; Finish reports text that is not a JSON object.
  explicit FieldReader(const std::string& json);

  void ReadInteger(const QString& key, int min, int max, int* target);
  void ReadBoolean(const QString& key, bool* target);
  // Sets the target to the index of the value in `choices`.
  void ReadChoice(const QString& key, const QStringList& choices, int* target);

  // Returns the first error, or nothing if all fields were read.
  std::optional<std::string> Finish();

 private:
  // Removes a field and returns its value, undefined when it is absent.
  QJsonValue Take(const QString& key);
  void SetError(const QString& key, const QString& expected);

  QJsonObject object_;
  std::optional<std::string> error_;
};

}  // namespace coltsfoottide::standin
