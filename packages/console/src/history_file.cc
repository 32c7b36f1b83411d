#include "coltsfoottide/console/history_file.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace coltsfoottide::console {
namespace {

qint64 Micros(core::TimePoint time) { return time.time_since_epoch().count(); }

QString Text(const std::string& text) { return QString::fromStdString(text); }

void Write(std::ofstream& file, const QJsonObject& line) {
  if (file.is_open()) {
    file << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << '\n';
  }
}

}  // namespace

bool HistoryFile::Open(const std::string& path) {
  if (path.empty()) {
    return true;
  }
  file_.open(path, std::ios::trunc);
  return file_.is_open();
}

void HistoryFile::AddRun(std::uint64_t seed, const std::string& mix, core::TimePoint start) {
  Write(file_, {{"event", "run"},
                {"seed", Text(std::to_string(seed))},
                {"mix", Text(mix)},
                {"at_us", Micros(start)}});
}

void HistoryFile::AddSubmit(const JobOutcome& outcome, const api::JobSpec& job,
                            const std::string& to, core::TimePoint now) {
  Write(file_, {{"event", "submit"},
                {"job", static_cast<qint64>(outcome.number)},
                {"attempt", outcome.attempts},
                {"ticket", Text(outcome.ticket)},
                {"to", Text(to)},
                {"tasks", job.tasks_size()},
                {"team", Text(job.team())},
                {"class", Text(api::JobClass_Name(job.job_class()))},
                {"idempotent", job.idempotent()},
                {"deadline_ms", static_cast<qint64>(job.deadline_ms())},
                {"intended_us", Micros(outcome.intended_at)},
                {"at_us", Micros(now)}});
}

void HistoryFile::AddAnswer(const JobOutcome& outcome) {
  Write(file_, {{"event", "answer"},
                {"job", static_cast<qint64>(outcome.number)},
                {"attempts", outcome.attempts},
                {"ticket", Text(outcome.ticket)},
                {"answered", outcome.answered},
                {"maybe_sent", outcome.maybe_sent},
                {"state", Text(api::JobState_Name(outcome.state))},
                {"verdict", Text(api::Verdict_Name(outcome.verdict))},
                {"reason", Text(api::Reason_Name(outcome.reason))},
                {"message", Text(outcome.message)},
                {"results_ok", outcome.results_ok},
                {"starts", static_cast<qint64>(outcome.starts)},
                {"response_us", static_cast<qint64>(outcome.response().count())},
                {"at_us", Micros(outcome.ended_at)}});
  // Answers are rare enough to flush each one, so that a killed run keeps them.
  if (file_.is_open()) {
    file_.flush();
  }
}

}  // namespace coltsfoottide::console
