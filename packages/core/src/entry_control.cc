#include "coltsfoottide/core/entry_control.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "change_tracker.h"
#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/core/outbox.h"
#include "evidence_tracker.h"
#include "log_follower.h"
#include "peer_table.h"
#include "record_appender.h"
#include "renewal_responder.h"
#include "roster_keeper.h"
#include "snapshot_publisher.h"

namespace coltsfoottide::core {
namespace {

constexpr std::uint32_t kMaxReadRecords = 256;
constexpr std::size_t kSampleSize = 32;
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(100);
// Without a proven round trip for this long the connection to another entry is
// replaced; it may have gone silent in one direction.
constexpr Duration kMaxRoundTripSilence = std::chrono::seconds(3);
// Least time between two fetches of the state from the same process.
constexpr Duration kFetchInterval = std::chrono::milliseconds(250);
// How long a silent entry's demand still counts, so that entries cut off from
// each other do not both hand out the whole quota.
constexpr Duration kDemandValidity = std::chrono::seconds(30);

}  // namespace

struct EntryControl::State : RecordAppender {
  State(EntryControlOptions opts, LogPort& log_port, Outbox& out, ChangeSink& sink,
        std::uint64_t random_seed)
      : options(std::move(opts)),
        log(log_port),
        outbox(out),
        seed(random_seed),
        follower(config),
        evidence_tracker(options.endpoint, options.incarnation, options.evidence_validity),
        roster(options, config, peers, *this),
        changes(options, config, peers, directory, *this, sink),
        snapshots(options, config, follower, *this),
        renewal_responder(config, directory) {}

  std::uint64_t Append(const wire::LogRecord& record) override {
    const std::uint64_t request = ++last_request;
    std::string data = record.SerializeAsString();
    appending[request] = data;
    log.Append(request, data);
    return request;
  }

  std::optional<Duration> EvidenceAge(TimePoint now) const {
    return evidence_tracker.Age(config, peers, follower.known_next(), now);
  }

  // Whether a recent read has shown that everything on the log is applied.
  bool LogApplied(TimePoint now) const {
    return evidence_tracker.ReadAge(now).has_value() && !follower.waiting_for_snapshot();
  }
  // Whether a change may be appended. The first record of a log is a
  // registration, so that version 0 of a key always means that it is not set.
  bool ReadyToAppend(TimePoint now) const { return LogApplied(now) && config.next_offset() > 0; }

  void StartRead(TimePoint now) {
    read_again = false;
    read_request = ++last_request;
    read_started = now;
    read_known_next = follower.known_next();
    log.Read(*read_request, follower.NextRead(), kMaxReadRecords);
  }

  // Reads at once, or as soon as the read in progress has ended.
  void ReadSoon(TimePoint now) {
    if (read_request) {
      read_again = true;
    } else {
      StartRead(now);
    }
  }

  void EndRead(const std::optional<LogBatch>& batch, TimePoint now) {
    read_request.reset();
    next_read = std::max(next_read, read_started + options.read_interval);
    if (!batch) {
      next_read = std::max(next_read, now + options.read_interval);
      return;
    }
    const std::uint64_t before = config.next_offset();
    const FollowResult result = follower.OnBatch(*batch, read_known_next);
    if (result == FollowResult::kInconsistent) {
      evidence_tracker.OnInconsistent();
    } else {
      evidence_tracker.OnRead(read_started, result == FollowResult::kReachedEnd);
    }
    offset_unreported = offset_unreported || config.next_offset() != before;
    if (offset_unreported && result != FollowResult::kMore) {
      OnApplied(now);
    }
    // After an answer without records, the next read waits for its interval.
    const bool more = result == FollowResult::kMore && !batch->records.empty();
    if (more || read_again) {
      StartRead(now);
    }
  }

  // Sends the new offset to the other entries at once: the acceptance of a change
  // waits for it.
  void OnApplied(TimePoint now) {
    offset_unreported = false;
    std::set<std::string> out_data_centres;
    for (const auto& [key, item] : config.items()) {
      if (item.data_centre().out()) {
        out_data_centres.insert(item.data_centre().name());
      }
    }
    directory.SetOutDataCentres(out_data_centres);
    SendStatuses(now);
    TickAppenders(now);
  }

  // Runs the due work of the components that append records.
  void TickAppenders(TimePoint now) {
    const bool log_applied = LogApplied(now);
    roster.Tick(log_applied ? evidence_tracker.complete_read() : std::nullopt, now);
    changes.Tick(ReadyToAppend(now), now);
    snapshots.Tick(log_applied, now);
  }

  std::set<std::string> PeerEndpoints() const {
    std::set<std::string> endpoints(options.peers.begin(), options.peers.end());
    for (const auto& item : config.roster()) {
      endpoints.insert(item.endpoint());
    }
    for (const auto& [endpoint, peer] : peers.peers()) {
      endpoints.insert(endpoint);
    }
    endpoints.erase(options.endpoint);
    return endpoints;
  }

  void SendStatuses(TimePoint now) {
    // Half the interval while evidence depends on the statuses: a round trip
    // takes up to two intervals and must be shorter than the validity.
    const bool readable = evidence_tracker.LogReadable(now);
    next_status = now + (readable ? options.status_interval : options.status_interval / 2);
    readable_at_last_status = readable;
    wire::EntryStatus status = MakeStatus(readable, now);
    for (const auto& endpoint : PeerEndpoints()) {
      const PeerTable::Peer* peer = peers.Find(endpoint);
      status.set_echo_sent_at_us(peer == nullptr ? 0 : peer->status.sent_at_us());
      wire::Envelope envelope;
      *envelope.mutable_entry_status() = status;
      if (peers.ShouldResetLink(endpoint, kMaxRoundTripSilence, now)) {
        outbox.ResetLink(endpoint);
      }
      outbox.Send(endpoint, std::move(envelope));
    }
    peers.OnSent(now);
  }

  wire::EntryStatus MakeStatus(bool readable, TimePoint now) const {
    wire::EntryStatus status;
    status.set_next_offset(config.next_offset());
    // A status with log_readable set is not counted as a vote, and a leaving
    // entry must not vote.
    status.set_log_readable(readable || roster.leaving());
    const auto age = evidence_tracker.ReadAge(now);
    status.set_log_read_age_us(age ? static_cast<std::uint64_t>(age->count())
                                   : std::numeric_limits<std::uint64_t>::max());
    status.set_data_centre(options.data_centre);
    status.mutable_demand()->Assign(demand.begin(), demand.end());
    const auto sample = directory.Sample(kSampleSize, seed);
    status.mutable_workers()->Assign(sample.begin(), sample.end());
    const auto silent = roster.SilentEndpoints(now);
    status.mutable_silent_entries()->Assign(silent.begin(), silent.end());
    status.set_sent_at_us(now.time_since_epoch().count());
    return status;
  }

  // Reads the log, or fetches the state from the endpoint, if the process there
  // has applied more than this one.
  void CatchUp(const std::string& endpoint, std::uint64_t peer_next, TimePoint now) {
    if (peer_next <= config.next_offset()) {
      return;
    }
    if (evidence_tracker.LogReadable(now) && !follower.waiting_for_snapshot()) {
      ReadSoon(now);
      return;
    }
    const auto [it, first] = fetched_at.try_emplace(endpoint, now);
    if (!first && now - it->second < kFetchInterval) {
      return;
    }
    it->second = now;
    wire::Envelope envelope;
    envelope.mutable_config_fetch()->set_from_offset(config.next_offset());
    outbox.Send(endpoint, std::move(envelope));
  }

  void OnRenew(const std::string& from, const wire::Renew& renew, TimePoint now) {
    wire::Renew checked = renew;
    checked.mutable_info()->set_endpoint(from);
    directory.OnRenew(checked, now);
    CatchUp(from, renew.config_next_offset(), now);
    wire::Envelope envelope;
    *envelope.mutable_renewed() = renewal_responder.Answer(from, renew, EvidenceAge(now));
    outbox.Send(from, std::move(envelope));
  }

  void OnStatus(const wire::Envelope& envelope, TimePoint now) {
    const wire::EntryStatus& status = envelope.entry_status();
    if (envelope.from() == options.endpoint ||
        !peers.OnStatus(envelope.from(), envelope.incarnation(), status, now)) {
      return;
    }
    directory.OnSample({status.workers().begin(), status.workers().end()}, now);
    CatchUp(envelope.from(), status.next_offset(), now);
    changes.Tick(ReadyToAppend(now), now);
  }

  void OnFetch(const std::string& from, const wire::ConfigFetch& fetch) {
    if (config.next_offset() <= fetch.from_offset()) {
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_config_data()->mutable_state() = config.ToData();
    outbox.Send(from, std::move(envelope));
  }

  void OnData(const wire::ConfigData& data, TimePoint now) {
    if (config.ReplaceIfNewer(data.state())) {
      follower.OnStateReplaced();
      OnApplied(now);
    }
  }

  void Housekeep(TimePoint now) {
    next_housekeeping = now + kHousekeepingInterval;
    directory.Tick(now);
    renewal_responder.Expire();
    peers.Expire(config.roster(), now);
    std::erase_if(fetched_at, [&](const auto& it) { return now - it.second > kFetchInterval; });
    TickAppenders(now);
  }

  EntryControlOptions options;
  LogPort& log;
  Outbox& outbox;
  std::uint64_t seed;
  ConfigState config;
  Directory directory;
  PeerTable peers;
  LogFollower follower;
  EvidenceTracker evidence_tracker;
  RosterKeeper roster;
  ChangeTracker changes;
  SnapshotPublisher snapshots;
  RenewalResponder renewal_responder;
  std::vector<wire::TeamDemand> demand;

  std::uint64_t last_request = 0;
  // Appends in progress, with their records.
  std::map<std::uint64_t, std::string> appending;
  std::optional<std::uint64_t> read_request;
  TimePoint read_started;
  // The follower's known_next() when the read was sent.
  std::uint64_t read_known_next = 0;
  // Another read starts as soon as the one in progress has ended.
  bool read_again = false;
  // Records were applied that were not reported to the other entries yet.
  bool offset_unreported = false;
  TimePoint next_read;
  TimePoint next_status;
  TimePoint next_housekeeping;
  // Whether the log was readable when the last statuses were sent.
  bool readable_at_last_status = false;
  // Time of the last fetch from each endpoint.
  std::map<std::string, TimePoint> fetched_at;
};

EntryControl::EntryControl(EntryControlOptions options, LogPort& log, Outbox& outbox,
                           ChangeSink& sink, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(options), log, outbox, sink, seed)) {}

EntryControl::~EntryControl() = default;

void EntryControl::OnMessage(const wire::Envelope& envelope, TimePoint now) {
  switch (envelope.body_case()) {
    case wire::Envelope::kRenew:
      state_->OnRenew(envelope.from(), envelope.renew(), now);
      break;
    case wire::Envelope::kEntryStatus:
      state_->OnStatus(envelope, now);
      break;
    case wire::Envelope::kConfigFetch:
      state_->OnFetch(envelope.from(), envelope.config_fetch());
      break;
    case wire::Envelope::kConfigData:
      state_->OnData(envelope.config_data(), now);
      break;
    default:
      break;
  }
}

void EntryControl::OnAppendDone(std::uint64_t request, std::optional<std::uint64_t> offset,
                                TimePoint now) {
  const auto it = state_->appending.find(request);
  if (it == state_->appending.end()) {
    return;
  }
  const std::string record = std::move(it->second);
  state_->appending.erase(it);
  if (!state_->roster.OnAppendDone(request, now) &&
      !state_->changes.OnAppendDone(request, offset, now)) {
    state_->snapshots.OnAppendDone(request, now);
  }
  if (offset) {
    const std::uint64_t before = state_->config.next_offset();
    state_->follower.OnAppended(*offset, record);
    if (state_->config.next_offset() != before) {
      state_->OnApplied(now);
    }
  }
  state_->ReadSoon(now);
}

void EntryControl::OnReadDone(std::uint64_t request, const std::optional<LogBatch>& batch,
                              TimePoint now) {
  if (state_->read_request == request) {
    state_->EndRead(batch, now);
  }
}

void EntryControl::Change(std::uint64_t call, const api::ChangeConfigRequest& request,
                          TimePoint now) {
  state_->changes.Change(call, request, state_->ReadyToAppend(now), now);
}

void EntryControl::OnLinkDown(const std::string& endpoint, TimePoint /*now*/) {
  state_->directory.OnLinkDown(endpoint);
}

void EntryControl::SetOwnDemand(const std::vector<wire::TeamDemand>& demand) {
  state_->demand = demand;
}

void EntryControl::BeginLeave(TimePoint now) {
  state_->roster.BeginLeave();
  state_->evidence_tracker.StopVoting();
  state_->SendStatuses(now);
  state_->TickAppenders(now);
}

void EntryControl::Tick(TimePoint now) {
  State& state = *state_;
  if (state.read_request && now - state.read_started >= state.options.read_timeout) {
    state.EndRead(std::nullopt, now);
    state.next_read = now;
  }
  if (!state.read_request && now >= state.next_read) {
    state.StartRead(now);
  }
  if (now >= state.next_status ||
      state.readable_at_last_status != state.evidence_tracker.LogReadable(now)) {
    state.SendStatuses(now);
  }
  if (now >= state.next_housekeeping) {
    state.Housekeep(now);
  }
}

TimePoint EntryControl::NextWake() const {
  const State& state = *state_;
  const TimePoint read =
      state.read_request ? state.read_started + state.options.read_timeout : state.next_read;
  return std::min({read, state.next_status, state.next_housekeeping});
}

const ConfigState& EntryControl::config() const { return state_->config; }

const Directory& EntryControl::directory() const { return state_->directory; }

std::optional<Duration> EntryControl::EvidenceAge(TimePoint now) const {
  return state_->EvidenceAge(now);
}

std::vector<std::vector<wire::TeamDemand>> EntryControl::PeerDemand(TimePoint now) const {
  std::vector<std::vector<wire::TeamDemand>> demand;
  for (const auto& [endpoint, peer] : state_->peers.peers()) {
    if (now - peer.last_heard <= kDemandValidity) {
      demand.emplace_back(peer.status.demand().begin(), peer.status.demand().end());
    }
  }
  return demand;
}

bool EntryControl::LogReadable(TimePoint now) const {
  return state_->evidence_tracker.LogReadable(now);
}

bool EntryControl::LogInconsistent() const { return state_->evidence_tracker.log_inconsistent(); }

std::uint64_t EntryControl::InForceNextOffset(TimePoint now) const {
  std::uint64_t offset = state_->config.next_offset();
  for (const auto& [endpoint, member] : state_->directory.members()) {
    // An agent that has applied nothing has no permission to start anything.
    if (now - member.last_heard < state_->options.permission_validity &&
        member.info.config_offset() > 0) {
      offset = std::min(offset, member.info.config_offset());
    }
  }
  return offset;
}

}  // namespace coltsfoottide::core
