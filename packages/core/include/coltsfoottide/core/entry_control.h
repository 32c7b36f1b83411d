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

// Receives the responses to configuration changes. Must not call the
// EntryControl from within.
class ChangeSink {
 public:
  virtual ~ChangeSink() = default;
  virtual void OnChange(std::uint64_t call, const api::ChangeConfigResponse& response) = 0;
};

// Settings of an entry's control part.
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
  Duration peer_removal = std::chrono::seconds(10);
  Duration acceptance_timeout = std::chrono::seconds(2);
  Duration append_search = std::chrono::seconds(10);
  Duration snapshot_interval = std::chrono::minutes(10);
  // How long an agent may start without new evidence.
  Duration permission_validity = std::chrono::seconds(3);
};

// The control part of an entry: follows the log, keeps itself on the roster,
// witnesses whether the configuration is fresh, appends operators' changes,
// and answers agents' renewals. Not thread-safe.
class EntryControl {
 public:
  EntryControl(EntryControlOptions options, LogPort& log, Outbox& outbox, ChangeSink& sink,
               std::uint64_t seed);
  ~EntryControl();
  EntryControl(const EntryControl&) = delete;
  EntryControl& operator=(const EntryControl&) = delete;

  // Handles Renew, EntryStatus, ConfigFetch and ConfigData; ignores others.
  void OnMessage(const wire::Envelope& envelope, TimePoint now);

  // Ends of LogPort requests. A failed append may have taken effect; `offset`
  // is empty when the reply was lost or an error.
  void OnAppendDone(std::uint64_t request, std::optional<std::uint64_t> offset, TimePoint now);
  void OnReadDone(std::uint64_t request, const std::optional<LogBatch>& batch, TimePoint now);

  // Appends a validated change; the response goes to the sink.
  void Change(std::uint64_t call, const api::ChangeConfigRequest& request, TimePoint now);

  // Reports that the connection to an endpoint has closed.
  void OnLinkDown(const std::string& endpoint, TimePoint now);

  // Own demand of a team in task starts a second, for the other entries.
  void SetDemand(const std::vector<wire::TeamDemand>& demand);

  // Takes this entry off the roster, for an orderly stop.
  void BeginLeave(TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextWake() const;

  const ConfigState& config() const;
  const Directory& directory() const;
  // Age of the evidence that the configuration is complete, or nothing.
  std::optional<Duration> EvidenceAge(TimePoint now) const;
  // Latest demand of each other entry that counts; see QuotaAllocator.
  std::vector<std::vector<wire::TeamDemand>> PeerDemand(TimePoint now) const;
  bool LogReadable(TimePoint now) const;
  // Whether the log's last answer contradicted what was folded: it ended
  // before that, or left a gap. It is treated as not readable.
  bool LogInconsistent() const;
  // Offset confirmed by every live agent.
  std::uint64_t InForceOffset(TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace coltsfoottide::core
