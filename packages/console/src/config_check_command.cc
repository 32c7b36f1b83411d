#include "coltsfoottide/console/config_check_command.h"

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <iterator>
#include <optional>

#include "coltsfoottide/console/stored_configuration.h"
#include "coltsfoottide/platform/configuration_check.h"

namespace coltsfoottide::console {
namespace {

using Finding = platform::ConfigurationFinding;
using Severity = Finding::Severity;
using Findings = std::vector<Finding>;

constexpr char kUrlPrefix[] = "http://";

const char* Name(Severity severity) {
  switch (severity) {
    case Severity::kError:
      return "error";
    case Severity::kWarning:
      return "warning";
    case Severity::kDifference:
      return "difference";
  }
  return "";
}

std::optional<std::string> ReadFile(const std::string& path, std::ostream& err) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    err << "coltsfoottide: cannot read " << path << '\n';
    return std::nullopt;
  }
  return file.readAll().toStdString();
}

// Returns nothing if the file to compare with cannot be read.
std::optional<Findings> Compare(const std::string& against, const std::string& text,
                                std::ostream& err) {
  if (!against.starts_with(kUrlPrefix)) {
    const auto in_force = ReadFile(against, err);
    if (!in_force) return std::nullopt;
    return platform::CompareConfigurations(*in_force, text);
  }
  const auto read = ReadStoredConfiguration(against);
  if (const auto* error = std::get_if<StoredConfigurationError>(&read)) {
    return Findings{{Severity::kWarning, "", "not compared: " + error->message}};
  }
  return platform::CompareConfigurations(std::get<StoredConfiguration>(read).text, text);
}

auto Count(const Findings& findings, Severity severity) {
  return std::count_if(findings.begin(), findings.end(),
                       [severity](const Finding& it) { return it.severity == severity; });
}

std::string ToLine(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject ToJson(const Finding& finding) {
  QJsonObject object = {{"severity", Name(finding.severity)},
                        {"path", QString::fromStdString(finding.path)},
                        {"message", QString::fromStdString(finding.message)}};
  if (finding.line > 0) {
    object["line"] = finding.line;
    object["column"] = finding.column;
  }
  return object;
}

void Print(const Findings& findings, bool json, std::ostream& out) {
  for (const Finding& it : findings) {
    if (json) {
      out << ToLine(ToJson(it)) << '\n';
    } else {
      out << Name(it.severity) << ": " << Describe(it) << '\n';
    }
  }
  const auto errors = Count(findings, Severity::kError);
  const auto warnings = Count(findings, Severity::kWarning);
  const auto differences = Count(findings, Severity::kDifference);
  if (json) {
    out << ToLine({{"errors", static_cast<qint64>(errors)},
                   {"warnings", static_cast<qint64>(warnings)},
                   {"differences", static_cast<qint64>(differences)}})
        << '\n';
  } else {
    out << "errors: " << errors << ", warnings: " << warnings << ", differences: " << differences
        << '\n';
  }
}

}  // namespace

ExitStatus RunConfigCheck(CommandContext& context) {
  const auto text = ReadFile(context.arguments.front(), context.err);
  if (!text) return ExitStatus::kUsage;
  Findings findings = platform::CheckConfiguration(*text);
  if (!context.options.against.empty()) {
    const auto compared = Compare(context.options.against, *text, context.err);
    if (!compared) return ExitStatus::kUsage;
    std::copy(compared->begin(), compared->end(), std::back_inserter(findings));
  }
  Print(findings, context.options.json, context.out);
  if (Count(findings, Severity::kError) > 0) return ExitStatus::kUsage;
  return Count(findings, Severity::kWarning) > 0 ? ExitStatus::kWarnings : ExitStatus::kOk;
}

}  // namespace coltsfoottide::console
