#include "coltsfoottide/direct/crash_reports.h"

#include <algorithm>
#include <utility>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/time_bounds.h"

namespace coltsfoottide::direct {

CrashReports::CrashReports(ReportSink& reports) : reports_(reports) {}

void CrashReports::OnRefusal(std::int64_t incarnation, core::TimePoint since,
                             std::vector<RunAtCrash> runs) {
  if (IsReported(incarnation)) return;
  Report({incarnation, since, std::move(runs), WorkerCrash::Kind::kSuspected});
}

void CrashReports::OnLapsed(std::vector<RunAtCrash> runs) { lapsed_ = std::move(runs); }

void CrashReports::OnCrash(std::int64_t incarnation, core::TimePoint time,
                           std::vector<RunAtCrash> runs) {
  runs.insert(runs.end(), lapsed_.begin(), lapsed_.end());
  lapsed_.clear();
  Report({incarnation, time, std::move(runs), WorkerCrash::Kind::kCrashed});
}

void CrashReports::OnAnswer(std::int64_t incarnation) {
  lapsed_.clear();
  for (WorkerCrash& it : crashes_) {
    if (it.incarnation != incarnation || it.kind == WorkerCrash::Kind::kRetracted) continue;
    it.kind = WorkerCrash::Kind::kRetracted;
    it.runs.clear();
    reports_.ReportCrash(it);
  }
}

bool CrashReports::IsReported(std::int64_t incarnation) const {
  return std::any_of(crashes_.begin(), crashes_.end(), [incarnation](const WorkerCrash& it) {
    return it.incarnation == incarnation && it.kind != WorkerCrash::Kind::kRetracted;
  });
}

void CrashReports::Report(WorkerCrash crash) {
  if (crash.runs.empty()) return;
  std::erase_if(crashes_,
                [&](const WorkerCrash& it) { return it.incarnation == crash.incarnation; });
  crashes_.push_back(std::move(crash));
  reports_.ReportCrash(crashes_.back());
}

void CrashReports::Forget(core::TimePoint now) {
  std::erase_if(crashes_, [now](const WorkerCrash& it) { return now - it.time > kCrashRetention; });
}

}  // namespace coltsfoottide::direct
