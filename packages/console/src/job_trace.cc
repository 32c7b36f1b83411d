#include "coltsfoottide/console/job_trace.h"

#include <QDateTime>
#include <algorithm>
#include <chrono>
#include <map>
#include <sstream>
#include <utility>

namespace coltsfoottide::console {
namespace {

// Lines without a job are included up to 1 s before and after the job, because
// processes log their state once a second.
constexpr std::chrono::milliseconds kContextMargin = std::chrono::seconds(1);
constexpr char kConfiguration[] = "configuration in force";

std::string ShiftTime(const std::string& time, std::chrono::milliseconds by) {
  const QDateTime moment = QDateTime::fromString(QString::fromStdString(time), Qt::ISODateWithMs);
  return moment.toUTC().addMSecs(by.count()).toString(Qt::ISODateWithMs).toStdString();
}

// Returns the IP address in the name of a process, e.g. "entry 10.0.0.1:7260".
std::string MachineOf(const std::string& process) {
  const std::size_t begin = process.find(' ') + 1;
  return process.substr(begin, process.find(':', begin) - begin);
}

// Adds the IP addresses of agents in a list of placed tasks such as
// "0.1.1@10.0.0.5 0.2.1@10.0.0.6".
void AddAgentsOf(const std::string& tasks, std::set<std::string>& machines) {
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
  const std::string job_field = "\"job\":\"" + job_ + '"';
  std::size_t n = 0;
  for (std::string line; std::getline(log, line);) {
    const bool names_job = line.find(job_field) != std::string::npos;
    if (!names_job && line.find("\"job\":") != std::string::npos) {
      ++n;
      continue;
    }
    auto record = ParseLogLine(line);
    if (!record) continue;
    ++n;
    (names_job ? job_lines_ : other_lines_).push_back(std::move(*record));
  }
  std::stable_sort(job_lines_.begin(), job_lines_.end(), Earlier);
  return n;
}

std::set<std::string> JobTrace::Machines() const {
  std::set<std::string> machines;
  for (const LogRecord& it : job_lines_) {
    machines.insert(MachineOf(it.process));
    AddAgentsOf(it.Field("tasks"), machines);
    if (const std::string agent = it.Field("agent"); !agent.empty()) machines.insert(agent);
  }
  return machines;
}

std::vector<LogRecord> JobTrace::Lines() const {
  if (job_lines_.empty()) return {};
  const std::set<std::string> machines = Machines();
  const std::string begin = ShiftTime(job_lines_.front().time, -kContextMargin);
  const std::string end = ShiftTime(job_lines_.back().time, kContextMargin);
  std::vector<LogRecord> lines = job_lines_;
  std::map<std::string, LogRecord> configurations;
  for (const LogRecord& it : other_lines_) {
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
  return static_cast<std::size_t>(
      std::count_if(job_lines_.begin(), job_lines_.end(), [&](const LogRecord& it) {
        return it.event == event && (how.empty() || it.Field("how") == how);
      }));
}

const LogRecord* JobTrace::LastAnswer() const {
  const auto it = std::find_if(job_lines_.rbegin(), job_lines_.rend(), [](const LogRecord& record) {
    return record.event == "job ended" || record.event == "job refused";
  });
  return it == job_lines_.rend() ? nullptr : &*it;
}

std::string JobTrace::Summary() const {
  if (job_lines_.empty()) return "no line names the job " + job_;
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
