#include "coltsfoottide/console/job_trace.h"

#include <QDateTime>
#include <algorithm>
#include <chrono>
#include <map>
#include <sstream>
#include <utility>

namespace coltsfoottide::console {
namespace {

// States are logged once a second.
constexpr std::chrono::milliseconds kMargin = std::chrono::seconds(1);
constexpr char kConfiguration[] = "configuration in force";

std::string Shift(const std::string& time, std::chrono::milliseconds by) {
  const QDateTime moment = QDateTime::fromString(QString::fromStdString(time), Qt::ISODateWithMs);
  return moment.toUTC().addMSecs(by.count()).toString(Qt::ISODateWithMs).toStdString();
}

// "entry 10.0.0.1:7260" is on the machine 10.0.0.1.
std::string MachineOf(const std::string& process) {
  const std::size_t begin = process.find(' ') + 1;
  return process.substr(begin, process.find(':', begin) - begin);
}

// The agents of "0.1.1@10.0.0.5 0.2.1@10.0.0.6".
void AddAgents(const std::string& tasks, std::set<std::string>& machines) {
  std::istringstream words(tasks);
  for (std::string it; words >> it;) {
    const std::size_t at = it.find('@');
    if (at != std::string::npos) machines.insert(it.substr(at + 1));
  }
}

bool Earlier(const LogRecord& a, const LogRecord& b) { return a.time < b.time; }

}  // namespace

JobTrace::JobTrace(std::string job) : job_(std::move(job)) {}

std::size_t JobTrace::Read(std::istream& log) {
  const std::string own = "\"job\":\"" + job_ + '"';
  std::size_t n = 0;
  for (std::string line; std::getline(log, line);) {
    const bool names_job = line.find(own) != std::string::npos;
    if (!names_job && line.find("\"job\":") != std::string::npos) {
      ++n;
      continue;
    }
    auto record = ParseLogLine(line);
    if (!record) continue;
    ++n;
    (names_job ? own_ : others_).push_back(std::move(*record));
  }
  std::stable_sort(own_.begin(), own_.end(), Earlier);
  return n;
}

std::set<std::string> JobTrace::Machines() const {
  std::set<std::string> machines;
  for (const LogRecord& it : own_) {
    machines.insert(MachineOf(it.process));
    AddAgents(it.Field("tasks"), machines);
    if (const std::string agent = it.Field("agent"); !agent.empty()) machines.insert(agent);
  }
  return machines;
}

std::vector<LogRecord> JobTrace::Lines() const {
  if (own_.empty()) return {};
  const std::set<std::string> machines = Machines();
  const std::string begin = Shift(own_.front().time, -kMargin);
  const std::string end = Shift(own_.back().time, kMargin);
  std::vector<LogRecord> lines = own_;
  std::map<std::string, LogRecord> configurations;
  for (const LogRecord& it : others_) {
    if (!machines.contains(MachineOf(it.process)) || it.time > end) continue;
    if (it.time >= begin) {
      lines.push_back(it);
    } else if (it.event == kConfiguration) {
      LogRecord& latest = configurations[it.process];
      if (latest.time <= it.time) latest = it;
    }
  }
  for (const auto& [process, record] : configurations) lines.push_back(record);
  std::stable_sort(lines.begin(), lines.end(), Earlier);
  return lines;
}

std::size_t JobTrace::Count(const std::string& event, const std::string& how) const {
  return static_cast<std::size_t>(std::count_if(own_.begin(), own_.end(), [&](const LogRecord& it) {
    return it.event == event && (how.empty() || it.Field("how") == how);
  }));
}

const LogRecord* JobTrace::LastAnswer() const {
  const auto it = std::find_if(own_.rbegin(), own_.rend(), [](const LogRecord& record) {
    return record.event == "job ended" || record.event == "job refused";
  });
  return it == own_.rend() ? nullptr : &*it;
}

std::string JobTrace::Summary() const {
  if (own_.empty()) return "no line names the job " + job_;
  std::ostringstream out;
  if (const LogRecord* answer = LastAnswer()) {
    out << answer->process << " answered " << answer->Field("status") << ' '
        << answer->Field("outcome") << " (" << answer->Field("reason") << ") after "
        << answer->Field("elapsed_ms") << " ms";
  } else {
    out << "no answer is logged: the entry has ended, or its lines are missing or left out";
  }
  const std::pair<const char*, std::size_t> counts[] = {
      {"submissions", Count("job accepted", "")},
      {"placements", Count("tasks placed", "")},
      {"runs that waited", Count("run", "queued")},
      {"slow runs reported", Count("run slow", "")},
      {"failed runs", Count("run", "failed")},
      {"lost runs", Count("run", "lost")},
      {"runs not begun", Count("run", "not_run")},
      {"starts not accepted", Count("start not accepted", "")},
      {"callers gone", Count("caller gone", "")},
  };
  for (const auto& [what, n] : counts) {
    if (n > 0) out << "; " << what << ": " << n;
  }
  const std::vector<LogRecord> lines = Lines();
  const bool gaps = std::any_of(lines.begin(), lines.end(),
                                [](const LogRecord& it) { return it.event == "lines left out"; });
  if (gaps) out << "; some lines were left out at that time";
  return out.str();
}

ExitStatus JobTrace::Outcome() const {
  const LogRecord* answer = LastAnswer();
  if (answer == nullptr) return ExitStatus::kMayHaveRun;
  const std::string outcome = answer->Field("outcome");
  if (outcome == "completed") return ExitStatus::kOk;
  if (outcome == "failed") return ExitStatus::kRan;
  const bool refused = answer->event == "job refused" || outcome == "not_run";
  return refused ? ExitStatus::kNotRun : ExitStatus::kMayHaveRun;
}

}  // namespace coltsfoottide::console
