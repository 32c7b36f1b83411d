#include "coltsfoottide/console/load_command.h"

#include <sys/resource.h>

#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "coltsfoottide/console/arrivals.h"
#include "coltsfoottide/console/direct_sender.h"
#include "coltsfoottide/console/dispatcher_sender.h"
#include "coltsfoottide/console/generated_job.h"
#include "coltsfoottide/console/load_runner.h"
#include "coltsfoottide/console/load_target.h"
#include "coltsfoottide/console/progress.h"
#include "coltsfoottide/console/ticket_pool.h"

namespace coltsfoottide::console {
namespace {

constexpr std::size_t kMinTicketStock = 100;
constexpr std::size_t kMaxTicketStock = 5000;
// Target stock of tickets, as seconds of sending at the rate.
constexpr double kTicketStockSeconds = 2;

ExitStatus Fail(CommandContext& context, ExitStatus status, const std::string& message) {
  context.err << "load: " << message << '\n';
  return status;
}

// Returns the first error in the options, if any.
std::optional<std::string> CheckOptions(const Options& options) {
  const bool direct = !options.direct.empty();
  if ((options.rate > 0) == (options.load > 0)) {
    return "one of --rate and --load is needed";
  }
  if (options.rate < 0 || options.load < 0 || options.duration.count() <= 0 ||
      options.connections <= 0 || options.run_time.count() <= 0) {
    return "--rate, --load, --duration, --connections and --run-ms must be positive";
  }
  if (options.urgent_share.value_or(0) > 1) {
    return "--urgent-share must be at most 1";
  }
  if (!MakeMix(options.mix, options.run_time)) {
    return "--mix must be atlas, inzira or single, not " + options.mix;
  }
  if (direct && (options.mix != "single" || options.load > 0)) {
    return "--direct needs --mix=single and --rate";
  }
  if (!direct && options.entries.empty()) {
    return "no entry given: --entry or COLTSFOOTTIDE_ENTRY is needed";
  }
  return std::nullopt;
}

std::uint64_t ChooseSeed(std::uint64_t given) {
  if (given != 0) {
    return given;
  }
  // 53 bits, so that the seed is exact as a JSON number.
  std::random_device device;
  return ((std::uint64_t{device()} << 21U) ^ device()) & ((std::uint64_t{1} << 53U) - 1);
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double Seconds(core::Duration time) { return std::chrono::duration<double>(time).count(); }

// One run of `load`.
class LoadRun {
 public:
  explicit LoadRun(CommandContext& context)
      : context_(context),
        options_(context.options),
        client_(http::MakeClient(options_.connections)) {}

  ExitStatus Run() {
    plan_.mix = *MakeMix(options_.mix, options_.run_time);
    plan_.mix.urgent_share = options_.urgent_share.value_or(plan_.mix.urgent_share);
    plan_.seed = ChooseSeed(options_.seed);
    context_.err << "load: seed " << plan_.seed << std::endl;
    if (!history_.Open(options_.history)) {
      return Fail(context_, ExitStatus::kUsage, "--history: cannot write " + options_.history);
    }
    if (!PrepareTarget()) {
      return Fail(context_, ExitStatus::kUnreachable, "the target does not answer");
    }
    if (rate_ <= 0) {
      return Fail(context_, ExitStatus::kNotRun, "no serving worker of " + plan_.mix.service);
    }
    plan_.arrivals = GenerateArrivals(plan_.seed, rate_, options_.duration);
    return direct() ? RunDirect() : RunThroughDispatcher();
  }

 private:
  bool direct() const { return !options_.direct.empty(); }

  // Measures the round trip and determines the rate. Returns false if the target
  // does not answer.
  bool PrepareTarget() {
    const std::string url =
        direct() ? options_.direct.front() + "/health" : options_.entries.front() + "/healthz";
    const auto round_trip = MeasureRoundTrip(*client_, url);
    if (!round_trip) {
      return false;
    }
    plan_.round_trip = *round_trip;
    rate_ = options_.rate;
    if (direct()) {
      return true;
    }
    slots_ = CountSlots(context_.client, plan_.mix.service);
    if (slots_ && options_.load > 0) {
      rate_ = options_.load * *slots_ / MeanWork(plan_.mix, plan_.seed).count();
    }
    return slots_.has_value();
  }

  ExitStatus RunDirect() {
    DirectSender sender(*client_, options_.direct, history_, plan_.seed);
    return Execute(sender, nullptr);
  }

  ExitStatus RunThroughDispatcher() {
    const auto stock = std::clamp(static_cast<std::size_t>(rate_ * kTicketStockSeconds),
                                  kMinTicketStock, kMaxTicketStock);
    TicketPool tickets(*client_, options_.entries, plan_.mix.service, stock, plan_.seed);
    QEventLoop loop;
    tickets.Fill([&loop] { loop.quit(); });
    loop.exec();
    if (tickets.stock() == 0) {
      return Fail(context_, ExitStatus::kNotRun, "no entry gives tickets");
    }
    DispatcherSender sender(*client_, options_.entries, tickets, history_, plan_.seed);
    return Execute(sender, &tickets);
  }

  ExitStatus Execute(JobSender& sender, const TicketPool* tickets) {
    const auto progress = ShowProgress("the load to end");
    const double cpu_before = CpuSeconds();
    LoadRunner runner(plan_, sender, history_);
    runner.Run();
    QJsonObject report = runner.statistics().ToJson();
    AddRunFields(runner, &report);
    report["cpu_s"] = CpuSeconds() - cpu_before;
    report["ticket_failures"] = static_cast<qint64>(tickets == nullptr ? 0 : tickets->failures());
    return WriteReport(report);
  }

  void AddRunFields(const LoadRunner& runner, QJsonObject* report) const {
    const double offered =
        Seconds(runner.offered_work()) / std::chrono::duration<double>(options_.duration).count();
    (*report)["seed"] = static_cast<qint64>(plan_.seed);
    (*report)["mix"] = QString::fromStdString(plan_.mix.name);
    (*report)["rate"] = rate_;
    (*report)["duration_s"] = std::chrono::duration<double>(options_.duration).count();
    (*report)["elapsed_s"] = Seconds(runner.elapsed());
    (*report)["round_trip_ms"] = Seconds(plan_.round_trip) * 1000;
    (*report)["offered_work_per_s"] = offered;
    if (slots_) {
      (*report)["slots"] = static_cast<qint64>(*slots_);
      (*report)["offered_load"] = *slots_ == 0 ? 0 : offered / *slots_;
    }
  }

  ExitStatus WriteReport(const QJsonObject& report) {
    const auto format = options_.json ? QJsonDocument::Compact : QJsonDocument::Indented;
    const std::string text = QJsonDocument(report).toJson(format).toStdString();
    if (options_.report.empty()) {
      context_.out << text << std::endl;
      return ExitStatus::kOk;
    }
    std::ofstream file(options_.report);
    file << text << std::endl;
    return file ? ExitStatus::kOk
                : Fail(context_, ExitStatus::kUsage, "--report: cannot write " + options_.report);
  }

  CommandContext& context_;
  const Options& options_;
  std::unique_ptr<http::Client> client_;
  HistoryFile history_;
  LoadPlan plan_;
  double rate_ = 0;
  std::optional<std::uint32_t> slots_;
};

}  // namespace

ExitStatus RunLoad(CommandContext& context) {
  if (const auto error = CheckOptions(context.options)) {
    return Fail(context, ExitStatus::kUsage, *error);
  }
  return LoadRun(context).Run();
}

}  // namespace coltsfoottide::console
