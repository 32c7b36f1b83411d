#include "coltsfoottide/console/load_statistics.h"

#include <QJsonArray>
#include <algorithm>

namespace coltsfoottide::console {
namespace {

double Milliseconds(core::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

QJsonObject CountsToJson(const std::map<std::string, std::uint64_t>& counts) {
  QJsonObject object;
  for (const auto& [name, count] : counts) {
    object[QString::fromStdString(name)] = static_cast<qint64>(count);
  }
  return object;
}

QString ClassName(api::JobClass job_class) {
  return QString::fromStdString(api::JobClass_Name(job_class)).toLower();
}

}  // namespace

void JobSeries::Add(const JobOutcome& outcome) {
  ++jobs_;
  answered_on_time_ += outcome.on_time() ? 1 : 0;
  if (!outcome.complete()) {
    return;
  }
  ++complete_;
  complete_on_time_ += outcome.on_time() ? 1 : 0;
  response_ms_.Add(Milliseconds(outcome.response()));
  over_ideal_.Add(Milliseconds(outcome.response()) / Milliseconds(outcome.ideal));
}

double JobSeries::on_time_ratio() const { return Ratio(complete_on_time_, jobs_); }

QJsonObject JobSeries::ToJson() const {
  return {{"jobs", static_cast<qint64>(jobs_)},
          {"complete", static_cast<qint64>(complete_)},
          {"on_time_ratio", on_time_ratio()},
          {"answered_on_time_ratio", Ratio(answered_on_time_, jobs_)},
          {"response_ms", response_ms_.Summary()},
          {"response_ms_buckets", response_ms_.Buckets()},
          {"over_ideal", over_ideal_.Summary()}};
}

void LoadStatistics::Add(const JobOutcome& outcome) {
  ++jobs_;
  all_.Add(outcome);
  classes_[outcome.job_class].Add(outcome);
  teams_[{outcome.team, outcome.job_class}].Add(outcome);
  if (outcome.attempts == 0) {
    ++not_sent_;
    return;
  }
  retries_ += static_cast<std::uint64_t>(outcome.attempts - 1);
  send_delay_ms_.Add(Milliseconds(outcome.sent_at - outcome.intended_at));
  if (!outcome.answered) {
    ++unanswered_;
    return;
  }
  ++states_[api::JobState_Name(outcome.state)];
  ++verdicts_[api::Verdict_Name(outcome.verdict)];
  starts_ += outcome.starts;
  if (outcome.complete()) {
    tasks_complete_ += static_cast<std::uint64_t>(outcome.tasks);
    wrong_results_ += outcome.results_ok ? 0 : 1;
  } else {
    ++reasons_[api::Reason_Name(outcome.reason)];
  }
}

QJsonObject LoadStatistics::ToJson() const {
  QJsonObject classes;
  for (const auto& [job_class, series] : classes_) {
    classes[ClassName(job_class)] = series.ToJson();
  }
  QJsonArray teams;
  for (const auto& [key, series] : teams_) {
    QJsonObject team = series.ToJson();
    team["team"] = QString::fromStdString(key.first);
    team["class"] = ClassName(key.second);
    teams.append(team);
  }
  const auto urgent = classes_.find(api::URGENT);
  return {{"jobs", static_cast<qint64>(jobs_)},
          {"tasks_complete", static_cast<qint64>(tasks_complete_)},
          {"starts", static_cast<qint64>(starts_)},
          {"by_state", CountsToJson(states_)},
          {"by_verdict", CountsToJson(verdicts_)},
          {"failed_by_reason", CountsToJson(reasons_)},
          {"not_sent", static_cast<qint64>(not_sent_)},
          {"unanswered", static_cast<qint64>(unanswered_)},
          {"wrong_results", static_cast<qint64>(wrong_results_)},
          {"retries", static_cast<qint64>(retries_)},
          {"send_delay_ms", send_delay_ms_.Summary()},
          {"urgent_on_time_ratio", urgent == classes_.end() ? 1 : urgent->second.on_time_ratio()},
          {"all", all_.ToJson()},
          {"classes", classes},
          {"teams", teams}};
}

}  // namespace coltsfoottide::console
