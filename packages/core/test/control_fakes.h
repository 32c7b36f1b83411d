#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/core/entry_control.h"
#include "coltsfoottide/core/outbox.h"

namespace coltsfoottide::core::testing {

inline std::string ChangeData(const std::string& id, const std::string& team, std::uint32_t quota,
                              std::optional<std::uint64_t> expected = std::nullopt) {
  wire::LogRecord record;
  auto* change = record.mutable_change();
  change->set_change_id(id);
  change->set_key("quota/" + team);
  change->set_check_version(expected.has_value());
  change->set_expected_version(expected.value_or(0));
  change->mutable_value()->mutable_quota()->set_team(team);
  change->mutable_value()->mutable_quota()->set_starts_per_second(quota);
  return record.SerializeAsString();
}

inline std::string RegisterData(const std::string& endpoint, std::uint64_t incarnation) {
  wire::LogRecord record;
  record.mutable_register_entry()->set_endpoint(endpoint);
  record.mutable_register_entry()->set_incarnation(incarnation);
  return record.SerializeAsString();
}

inline std::string SnapshotData(const ConfigState& state) {
  wire::LogRecord record;
  *record.mutable_snapshot()->mutable_state() = state.ToData();
  return record.SerializeAsString();
}

// A log in memory; records before `first` are no longer retained.
struct FakeLog {
  std::uint64_t first = 0;
  std::vector<std::string> records;

  LogBatch Read(std::uint64_t from, std::uint32_t max) const {
    LogBatch batch;
    batch.first = first;
    batch.next = records.size();
    for (std::uint64_t n = std::max(from, first); n < records.size(); ++n) {
      if (batch.records.size() == max) {
        break;
      }
      batch.records.push_back({n, records[n]});
    }
    return batch;
  }
};

// One entry with its connection to the log.
struct FakeEntry : LogPort, Outbox, ChangeSink {
  FakeEntry(FakeLog& shared_log, std::string endpoint, std::uint64_t incarnation,
            std::vector<std::string> peers)
      : log(shared_log) {
    EntryControlOptions options;
    options.endpoint = std::move(endpoint);
    options.incarnation = incarnation;
    options.data_centre = "rw-central-a";
    options.peers = std::move(peers);
    own_options = options;
    control = std::make_unique<EntryControl>(options, *this, *this, *this, incarnation);
  }

  void Append(std::uint64_t request, const std::string& record) override {
    appends.emplace_back(request, record);
  }
  void Read(std::uint64_t request, std::uint64_t from, std::uint32_t max) override {
    reads.emplace_back(request, std::pair(from, max));
  }
  void Send(const std::string& endpoint, wire::Envelope envelope) override {
    envelope.set_from(own_options.endpoint);
    envelope.set_incarnation(own_options.incarnation);
    sent.emplace_back(endpoint, std::move(envelope));
  }
  void ResetLink(const std::string&) override {}
  void OnChange(std::uint64_t call, const api::ChangeConfigResponse& response) override {
    responses[call].push_back(response);
  }

  // Completes the requests to the log that are in progress.
  void ServeLog(TimePoint now) {
    for (auto& [request, record] : std::exchange(appends, {})) {
      if (write_reaches_log) {
        log.records.push_back(record);
      }
      const bool confirmed = write_reaches_log && reply_arrives;
      control->OnAppendDone(request,
                            confirmed ? std::optional(log.records.size() - 1) : std::nullopt, now);
    }
    for (auto& [request, range] : std::exchange(reads, {})) {
      control->OnReadDone(
          request, readable ? std::optional(log.Read(range.first, range.second)) : std::nullopt,
          now);
    }
  }

  void DisconnectLog() { readable = write_reaches_log = reply_arrives = false; }
  void ReconnectLog() { readable = write_reaches_log = reply_arrives = true; }

  // Sends a renewal as an agent would and returns the answer.
  wire::Renewed Renew(const std::string& agent, std::uint64_t config_next,
                      std::uint64_t directory_version, TimePoint now) {
    wire::Envelope envelope;
    envelope.set_from(agent);
    wire::Renew* renew = envelope.mutable_renew();
    renew->set_sent_at_us(now.time_since_epoch().count());
    renew->set_config_next_offset(config_next);
    renew->set_directory_version(directory_version);
    api::WorkerInfo* info = renew->mutable_info();
    info->set_endpoint(agent);
    info->set_incarnation(1);
    info->set_service("phrase-translation");
    info->set_data_centre("rw-central-a");
    info->set_slots(8);
    info->set_state(api::SERVING);
    control->OnMessage(envelope, now);
    wire::Renewed renewed;
    for (auto& [endpoint, message] : sent) {
      if (endpoint == agent && message.has_renewed()) {
        renewed = message.renewed();
      }
    }
    return renewed;
  }

  FakeLog& log;
  EntryControlOptions own_options;
  std::unique_ptr<EntryControl> control;
  // Set by the test when it calls BeginLeave.
  bool leaving = false;
  bool readable = true;
  bool write_reaches_log = true;
  bool reply_arrives = true;
  std::deque<std::pair<std::uint64_t, std::string>> appends;
  std::deque<std::pair<std::uint64_t, std::pair<std::uint64_t, std::uint32_t>>> reads;
  std::deque<std::pair<std::string, wire::Envelope>> sent;
  std::map<std::uint64_t, std::vector<api::ChangeConfigResponse>> responses;
};

// Entries with one log and links between them, in simulated time.
struct FakeFleet {
  FakeEntry& Add(const std::string& endpoint, std::uint64_t incarnation) {
    std::vector<std::string> peers;
    for (const auto& [name, entry] : entries) {
      peers.push_back(name);
    }
    entries[endpoint] = std::make_unique<FakeEntry>(log, endpoint, incarnation, peers);
    return *entries[endpoint];
  }

  void Run(Duration time) {
    const TimePoint end = now + time;
    for (; now < end; now += std::chrono::milliseconds(10)) {
      Step();
    }
  }

  void Step() {
    for (auto& [endpoint, entry] : entries) {
      entry->control->Tick(now);
      entry->ServeLog(now);
    }
    for (auto& [endpoint, entry] : entries) {
      for (auto& [to, envelope] : std::exchange(entry->sent, {})) {
        const auto it = entries.find(to);
        if (it != entries.end() && !disconnected.contains({endpoint, to}) &&
            !disconnected.contains({to, endpoint})) {
          it->second->control->OnMessage(envelope, now);
        }
      }
    }
  }

  TimePoint now{std::chrono::seconds(1000)};
  FakeLog log;
  std::map<std::string, std::unique_ptr<FakeEntry>> entries;
  // Pairs of endpoints without a connection.
  std::set<std::pair<std::string, std::string>> disconnected;
};

inline api::ChangeConfigRequest QuotaChange(const std::string& id, std::uint32_t quota) {
  api::ChangeConfigRequest request;
  request.set_change_id(id);
  request.mutable_quota()->set_team("coaches");
  request.mutable_quota()->set_starts_per_second(quota);
  return request;
}

}  // namespace coltsfoottide::core::testing
