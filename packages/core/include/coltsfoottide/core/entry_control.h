#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/log_port.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class ConfigState;
class Directory;
class Outbox;

// Receives the responses to configuration changes. Must not call back into the
// EntryControl.
class ChangeSink {
 public:
  virtual ~ChangeSink() = default;
  virtual void OnChange(std::uint64_t call, const api::ChangeConfigResponse& response) = 0;
};

// Settings of EntryControl.
struct EntryControlOptions {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  // Endpoints of other entries, from the settings; the roster adds to them.
  std::vector<std::string> peers;
  Duration read_interval = std::chrono::milliseconds(200);
  Duration read_timeout = std::chrono::seconds(1);
  Duration status_interval = std::chrono::milliseconds(500);
  Duration evidence_validity = std::chrono::seconds(1);
  // Silence after which an entry may be removed from the roster.
  Duration peer_removal_timeout = std::chrono::seconds(10);
  Duration acceptance_timeout = std::chrono::seconds(2);
  // How long to wait for an unconfirmed append to appear on the log.
  Duration append_search_timeout = std::chrono::seconds(10);
  Duration snapshot_interval = std::chrono::minutes(10);
  // How long an agent may start tasks without new evidence.
  Duration permission_validity = std::chrono::seconds(3);
};

// The control plane of an entry: follows the log, keeps this entry on the
// roster, determines the evidence that the configuration is complete, appends
// operators' changes, and answers agents' renewals. Evidence as of a time T
// means that every change accepted before T is applied. Not thread-safe.
class EntryControl {
 public:
  EntryControl(EntryControlOptions options, LogPort& log, Outbox& outbox, ChangeSink& sink,
               std::uint64_t seed);
  ~EntryControl();
  EntryControl(const EntryControl&) = delete;
  EntryControl& operator=(const EntryControl&) = delete;

  // Handles Renew, EntryStatus, ConfigFetch and ConfigData; ignores others.
  void OnMessage(const wire::Envelope& envelope, TimePoint now);

  // Handle completed LogPort requests. `offset` and `batch` are empty when the
  // reply was lost or an error; a failed append may have taken effect.
  void OnAppendDone(std::uint64_t request, std::optional<std::uint64_t> offset, TimePoint now);
  void OnReadDone(std::uint64_t request, const std::optional<LogBatch>& batch, TimePoint now);

  // Validates a change and appends it; the response goes to the sink.
  void Change(std::uint64_t call, const api::ChangeConfigRequest& request, TimePoint now);

  // Reports that the connection to an endpoint has closed.
  void OnLinkDown(const std::string& endpoint, TimePoint now);

  // Sets the demand of each team at this entry, in task starts a second, to
  // report to the other entries.
  void SetOwnDemand(const std::vector<wire::TeamDemand>& demand);

  // Takes this entry off the roster, for an orderly stop.
  void BeginLeave(TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextWake() const;

  const ConfigState& config() const;
  const Directory& directory() const;
  // Age of the evidence that the configuration is complete, or nothing.
  std::optional<Duration> EvidenceAge(TimePoint now) const;
  // Latest demand of each other entry that was heard within 30 s; see QuotaShare.
  std::vector<std::vector<wire::TeamDemand>> PeerDemand(TimePoint now) const;
  bool LogReadable(TimePoint now) const;
  // Whether the log's last answer was inconsistent: it ended before an offset
  // known to be on the log, or had a gap. The log then counts as not readable.
  bool LogInconsistent() const;
  // Next offset up to which this entry and every agent heard from within
  // permission_validity have applied the configuration. Agents without any
  // configuration do not count: they may not start tasks.
  std::uint64_t InForceNextOffset(TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace coltsfoottide::core
