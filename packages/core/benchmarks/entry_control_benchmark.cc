#include <benchmark/benchmark.h>

#include <string>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/entry_control.h"
#include "coltsfoottide/core/outbox.h"

namespace coltsfoottide::core {
namespace {

std::string QuotaRecord(std::uint64_t n) {
  wire::LogRecord record;
  auto* change = record.mutable_change();
  change->set_change_id("change-" + std::to_string(n));
  const std::string team = "team-" + std::to_string(n % 140);
  change->set_key("quota/" + team);
  change->mutable_value()->mutable_quota()->set_team(team);
  change->mutable_value()->mutable_quota()->set_starts_per_second(100);
  return record.SerializeAsString();
}

// Fake log with 140 quota records. Of the messages sent, it keeps only the last
// directory version.
class BenchmarkPorts : public LogPort, public Outbox, public ChangeSink {
 public:
  void Append(std::uint64_t /*request*/, const std::string& /*record*/) override {}
  void Read(std::uint64_t request, std::uint64_t /*from*/, std::uint32_t /*max*/) override {
    read_ = request;
  }
  void Send(const std::string& /*endpoint*/, wire::Envelope envelope) override {
    directory_version_ = envelope.renewed().directory_version();
  }
  void ResetLink(const std::string& /*endpoint*/) override {}
  void OnChange(std::uint64_t /*call*/, const api::ChangeConfigResponse& /*response*/) override {}

  // Answers the last read with the whole log.
  void AnswerRead(EntryControl* control, TimePoint now) const {
    LogBatch batch;
    for (std::uint64_t n = 0; n < 140; ++n) {
      batch.records.push_back({n, QuotaRecord(n)});
    }
    batch.next = batch.records.size();
    control->OnReadDone(read_, batch, now);
  }

  // Version in the last answer to a renewal.
  std::uint64_t directory_version() const { return directory_version_; }

 private:
  std::uint64_t read_ = 0;
  std::uint64_t directory_version_ = 0;
};

wire::Envelope MakeRenew(int agent, std::uint64_t config_next) {
  wire::Envelope envelope;
  envelope.set_from("10.1." + std::to_string(agent / 250) + "." + std::to_string(agent % 250) +
                    ":7400");
  wire::Renew* renew = envelope.mutable_renew();
  renew->set_config_next_offset(config_next);
  renew->mutable_info()->set_incarnation(1);
  renew->mutable_info()->set_data_centre("rw-central-" + std::to_string(agent % 3));
  renew->mutable_info()->set_service("phrase-translation");
  renew->mutable_info()->set_slots(8);
  renew->mutable_info()->set_state(api::SERVING);
  return envelope;
}

void ApplyRecord(benchmark::State& state) {
  constexpr std::uint64_t kRecords = 10000;
  std::vector<std::string> records;
  for (std::uint64_t n = 0; n < kRecords; ++n) {
    records.push_back(QuotaRecord(n));
  }
  for (auto _ : state) {
    ConfigState config;
    for (std::uint64_t n = 0; n < kRecords; ++n) {
      config.Apply(n, records[n]);
    }
    benchmark::DoNotOptimize(config.next_offset());
  }
  state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(kRecords));
}
BENCHMARK(ApplyRecord);

// Answers renewals of a fleet in turn; the first argument is the number of agents.
// If the second is 1, they have no configuration and no candidate list, so that
// each answer carries both.
void AnswerRenew(benchmark::State& state) {
  const int agents = static_cast<int>(state.range(0));
  const bool without_config = state.range(1) != 0;
  BenchmarkPorts ports;
  EntryControlOptions options;
  options.endpoint = "10.0.0.1:7400";
  options.incarnation = 1;
  const TimePoint now{std::chrono::seconds(1000)};
  EntryControl control(options, ports, ports, ports, 1);
  control.Tick(now);
  ports.AnswerRead(&control, now);
  std::vector<wire::Envelope> renewals;
  for (int n = 0; n < agents; ++n) {
    renewals.push_back(MakeRenew(n, without_config ? 0 : 140));
    control.OnMessage(renewals.back(), now);
  }
  for (auto& renewal : renewals) {
    control.OnMessage(renewal, now);
    renewal.mutable_renew()->set_directory_version(without_config ? 0 : ports.directory_version());
  }
  std::size_t next = 0;
  for (auto _ : state) {
    control.OnMessage(renewals[next], now);
    next = (next + 1) % renewals.size();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(AnswerRenew)->Args({33, 0})->Args({2000, 0})->Args({2000, 1});

}  // namespace
}  // namespace coltsfoottide::core

BENCHMARK_MAIN();
