#include "coltsfoottide/console/view_commands.h"

#include <string>

#include "coltsfoottide/console/view_tables.h"
#include "coltsfoottide/schema/json.h"

namespace coltsfoottide::console {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{5000};

ExitStatus ReportUnreachable(CommandContext& context) {
  context.err << "no entry answered\n";
  return ExitStatus::kUnreachable;
}

// Calls a method and prints the response as JSON or with `print`.
template <typename Request, typename Response, typename Print>
ExitStatus ShowResponse(CommandContext& context, const std::string& method, const Request& request,
                        Response response, Print print) {
  const auto result = context.client.Call(method, request, &response, kCallTimeout);
  if (result.outcome != CallOutcome::kAnswered) {
    return ReportUnreachable(context);
  }
  if (context.options.json) {
    context.out << schema::ToJson(response) << std::endl;
  } else {
    print(response);
  }
  return ExitStatus::kOk;
}

template <typename Print>
ExitStatus ShowConfig(CommandContext& context, Print print) {
  return ShowResponse(context, "Operator/GetConfig", api::GetConfigRequest(),
                      api::GetConfigResponse(), print);
}

// Prints the quantiles of all series, and the histogram of each.
void PrintSeries(CommandContext& context, const api::GetMetricsResponse& metrics) {
  SeriesTable(metrics).Print(context.out);
  for (const api::LatencySeries& series : metrics.series()) {
    context.out << "\nresponse times of " << series.team() << ", "
                << api::JobClass_Name(series.job_class()) << '\n';
    HistogramTable(series).Print(context.out);
  }
  context.out << '\n';
}

}  // namespace

ExitStatus RunZoneList(CommandContext& context) {
  return ShowConfig(context, [&](const auto& config) { ZoneTable(config).Print(context.out); });
}

ExitStatus RunConfigGet(CommandContext& context) {
  return ShowConfig(context, [&](const auto& config) { ConfigTable(config).Print(context.out); });
}

ExitStatus RunEntries(CommandContext& context) {
  return ShowConfig(context, [&](const auto& config) { RosterTable(config).Print(context.out); });
}

ExitStatus RunConfigStatus(CommandContext& context) {
  Table table({"ENTRY", "NEXT OFFSET", "IN FORCE OFFSET", "LOG READABLE", "ROSTER"});
  bool answered = false;
  for (const std::string& entry : context.client.entries()) {
    api::GetConfigResponse config;
    const CallOutcome outcome = context.client.CallOne(
        entry, "Operator/GetConfig", api::GetConfigRequest(), &config, kCallTimeout);
    if (outcome != CallOutcome::kAnswered) {
      table.AddRow({entry, "no answer"});
      continue;
    }
    answered = true;
    if (context.options.json) {
      context.out << R"({"entry":")" << entry << R"(","status":)" << schema::ToJson(config) << "}"
                  << std::endl;
    }
    table.AddRow({entry, std::to_string(config.next_offset()),
                  std::to_string(config.in_force_offset()), config.log_readable() ? "yes" : "no",
                  std::to_string(config.roster_size())});
  }
  if (!context.options.json) {
    table.Print(context.out);
  }
  return answered ? ExitStatus::kOk : ReportUnreachable(context);
}

ExitStatus RunWorkers(CommandContext& context) {
  return ShowResponse(context, "Operator/ListWorkers", api::ListWorkersRequest(),
                      api::ListWorkersResponse(),
                      [&](const auto& workers) { WorkerTable(workers).Print(context.out); });
}

ExitStatus RunJobs(CommandContext& context) {
  api::ListJobsRequest request;
  request.set_limit(context.options.limit);
  return ShowResponse(context, "Operator/ListJobs", request, api::ListJobsResponse(),
                      [&](const auto& jobs) { JobTable(jobs).Print(context.out); });
}

ExitStatus RunMetrics(CommandContext& context) {
  return ShowResponse(context, "Operator/GetMetrics", api::GetMetricsRequest(),
                      api::GetMetricsResponse(), [&](const auto& metrics) {
                        PrintSeries(context, metrics);
                        CounterTable(metrics).Print(context.out);
                      });
}

}  // namespace coltsfoottide::console
