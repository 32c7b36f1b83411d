#include "coltsfoottide/console/top_command.h"

#include <QEventLoop>
#include <QTimer>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coltsfoottide/console/view_tables.h"
#include "coltsfoottide/schema/json.h"

namespace coltsfoottide::console {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr const char* kClearScreen = "\033[H\033[2J";

struct Snapshot {
  api::ListWorkersResponse workers;
  api::GetMetricsResponse metrics;
};

// Totals over the workers of one service in one data centre.
struct Group {
  std::uint64_t workers = 0;
  std::uint64_t serving = 0;
  std::uint64_t slots = 0;
  std::uint64_t busy = 0;
  std::uint64_t queued = 0;
  std::uint64_t starts = 0;
};

std::optional<Snapshot> ReadSnapshot(EntryClient& client) {
  Snapshot snapshot;
  const bool answered =
      client.Call("Operator/ListWorkers", api::ListWorkersRequest(), &snapshot.workers,
                  kCallTimeout)
              .outcome == CallOutcome::kAnswered &&
      client.Call("Operator/GetMetrics", api::GetMetricsRequest(), &snapshot.metrics, kCallTimeout)
              .outcome == CallOutcome::kAnswered;
  return answered ? std::optional<Snapshot>(snapshot) : std::nullopt;
}

Table GroupTable(const api::ListWorkersResponse& workers) {
  std::map<std::pair<std::string, std::string>, Group> groups;
  for (const api::WorkerInfo& worker : workers.workers()) {
    Group& group = groups[{worker.data_centre(), worker.service()}];
    ++group.workers;
    group.serving += worker.state() == api::SERVING ? 1 : 0;
    group.slots += worker.slots();
    group.busy += worker.busy();
    group.queued += worker.queued();
    group.starts += worker.starts();
  }
  Table table(
      {"DATA CENTRE", "SERVICE", "WORKERS", "SERVING", "SLOTS", "BUSY", "QUEUED", "STARTS"});
  for (const auto& [key, group] : groups) {
    table.AddRow({key.first, key.second, std::to_string(group.workers),
                  std::to_string(group.serving), std::to_string(group.slots),
                  std::to_string(group.busy), std::to_string(group.queued),
                  std::to_string(group.starts)});
  }
  return table;
}

void Print(CommandContext& context, const Snapshot& snapshot) {
  if (context.options.json) {
    context.out << R"({"workers":)" << schema::ToJson(snapshot.workers) << R"(,"metrics":)"
                << schema::ToJson(snapshot.metrics) << "}" << std::endl;
    return;
  }
  context.out << (context.options.once ? "" : kClearScreen);
  GroupTable(snapshot.workers).Print(context.out);
  context.out << '\n';
  SeriesTable(snapshot.metrics).Print(context.out);
  context.out << std::flush;
}

void Sleep(std::chrono::milliseconds time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

}  // namespace

ExitStatus RunTop(CommandContext& context) {
  for (;;) {
    const auto snapshot = ReadSnapshot(context.client);
    if (snapshot) {
      Print(context, *snapshot);
    }
    if (context.options.once) {
      return snapshot ? ExitStatus::kOk : ExitStatus::kUnreachable;
    }
    Sleep(context.options.interval);
  }
}

}  // namespace coltsfoottide::console
