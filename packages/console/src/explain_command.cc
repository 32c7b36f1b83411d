#include "coltsfoottide/console/explain_command.h"

#include <QJsonDocument>
#include <QVariant>
#include <fstream>
#include <iostream>
#include <optional>

#include "coltsfoottide/console/job_trace.h"

namespace coltsfoottide::console {
namespace {

constexpr char kStandardInput[] = "-";

// Whether a field is left out of the KEY=VALUE list that follows the leading
// columns.
bool IsOmittedField(const QString& name) {
  return name == "time" || name == "process" || name == "event" || name == "level" || name == "job";
}

void PrintLine(const LogRecord& record, std::ostream& out) {
  out << record.time << "  " << record.process << "  " << record.event;
  for (auto it = record.fields.begin(); it != record.fields.end(); ++it) {
    if (!IsOmittedField(it.key())) {
      out << ' ' << it.key().toStdString() << '='
          << it.value().toVariant().toString().toStdString();
    }
  }
  out << '\n';
}

std::string ToLine(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

// Returns the first file that cannot be read, if any.
std::optional<std::string> ReadAll(const std::vector<std::string>& files, JobTrace& trace) {
  for (const std::string& it : files) {
    if (it == kStandardInput) {
      trace.Read(std::cin);
      continue;
    }
    std::ifstream file(it);
    if (!file) return it;
    trace.Read(file);
  }
  return std::nullopt;
}

}  // namespace

ExitStatus RunExplain(CommandContext& context) {
  const std::string& job = context.arguments.front();
  std::vector<std::string> files(context.arguments.begin() + 1, context.arguments.end());
  if (files.empty()) files.emplace_back(kStandardInput);
  JobTrace trace(job);
  if (const auto file = ReadAll(files, trace)) {
    context.err << "coltsfoottide: cannot read " << *file << '\n';
    return ExitStatus::kUsage;
  }
  for (const LogRecord& it : trace.Lines()) {
    if (context.options.json) {
      context.out << ToLine(it.fields) << '\n';
    } else {
      PrintLine(it, context.out);
    }
  }
  if (context.options.json) {
    context.out << ToLine({{"job", QString::fromStdString(job)},
                           {"summary", QString::fromStdString(trace.Summary())}})
                << '\n';
  } else {
    context.out << trace.Summary() << '\n';
  }
  return trace.Outcome();
}

}  // namespace coltsfoottide::console
