#include "coltsfoottide/console/job_output.h"

#include <fmt/format.h>

#include <QByteArray>
#include <QStringDecoder>
#include <algorithm>

#include "coltsfoottide/console/table.h"
#include "coltsfoottide/console/ticket_text.h"

namespace coltsfoottide::console {
namespace {

constexpr double kMicrosPerMilli = 1000.0;

bool IsPrintable(const std::string& output) {
  const bool has_control = std::any_of(output.begin(), output.end(),
                                       [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  QStringDecoder decoder(QStringDecoder::Utf8);
  const QString decoded = decoder(QByteArray::fromStdString(output));
  return !has_control && !decoder.hasError() && decoded.toStdString() == output;
}

}  // namespace

std::string OutputText(const std::string& output) {
  if (IsPrintable(output)) {
    return output;
  }
  return "base64:" + QByteArray::fromStdString(output).toBase64().toStdString();
}

std::string ErrorText(const api::Error& error) {
  return api::Verdict_Name(error.verdict()) + ", " + api::Reason_Name(error.reason()) +
         (error.message().empty() ? "" : ": " + error.message());
}

void PrintAnswer(const api::JobAnswer& answer, std::ostream& out) {
  out << "state: " << api::JobState_Name(answer.state()) << '\n';
  if (answer.has_error()) {
    out << "error: " << ErrorText(answer.error()) << '\n';
  }
  if (answer.elapsed_us() > 0) {
    out << "elapsed: "
        << fmt::format("{:.1f} ms", static_cast<double>(answer.elapsed_us()) / kMicrosPerMilli)
        << ", starts: " << answer.starts() << '\n';
  }
  if (answer.results_size() > 0) {
    Table table({"TASK", "OUTPUT"});
    for (const api::TaskResult& result : answer.results()) {
      table.AddRow({std::to_string(result.index()), OutputText(result.output())});
    }
    table.Print(out);
  }
}

}  // namespace coltsfoottide::console
