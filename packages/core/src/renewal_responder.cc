#include "renewal_responder.h"

#include <algorithm>
#include <vector>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/core/stable_hash.h"

namespace coltsfoottide::core {
namespace {

// Outcomes sent to an agent. Agents keep them only to pass them to an entry
// that starts during an outage and finds no other entry. All 4,096 would add
// 200 KB to each change, compared with an agent's 10 KB/s.
constexpr int kMaxAgentOutcomes = 256;

// Hash of the fields of the list that a coordinator uses, except load.
std::uint64_t Fingerprint(const std::vector<api::WorkerInfo>& candidates) {
  std::uint64_t hash = 1;
  for (const auto& info : candidates) {
    hash = StableHash(info.endpoint(), hash);
    hash = StableHash(info.data_centre(), hash ^ info.incarnation());
    hash = StableHash(info.rack(), hash ^ info.state());
    hash = StableHash(info.service(), hash ^ info.resources().cpu_millicores());
    hash = StableHash("", hash ^ info.resources().memory_mb());
    hash = StableHash("", hash ^ info.resources().accelerators());
  }
  // An agent without a list reports 0.
  return std::max<std::uint64_t>(hash, 1);
}

}  // namespace

RenewalResponder::RenewalResponder(const ConfigState& config, const Directory& directory)
    : config_(config), directory_(directory) {}

wire::Renewed RenewalResponder::Answer(const std::string& endpoint, const wire::Renew& renew,
                                       std::optional<Duration> evidence_age) {
  wire::Renewed renewed;
  renewed.set_sent_at_us(renew.sent_at_us());
  renewed.set_has_evidence(evidence_age.has_value());
  renewed.set_evidence_age_us(
      static_cast<std::uint64_t>(evidence_age.value_or(Duration{}).count()));
  renewed.set_head_next_offset(config_.next_offset());
  renewed.set_ejected(directory_.Ejected(endpoint));
  AddConfig(renew, &renewed);
  AddCandidates(endpoint, renew, &renewed);
  return renewed;
}

void RenewalResponder::Expire() {
  std::erase_if(fingerprints_,
                [&](const auto& it) { return !directory_.members().contains(it.first); });
}

void RenewalResponder::AddConfig(const wire::Renew& renew, wire::Renewed* renewed) {
  if (renew.config_next_offset() >= config_.next_offset()) {
    return;
  }
  if (agent_state_.next_offset() != config_.next_offset()) {
    agent_state_ = config_.ToData();
    auto* outcomes = agent_state_.mutable_outcomes();
    if (outcomes->size() > kMaxAgentOutcomes) {
      outcomes->DeleteSubrange(0, outcomes->size() - kMaxAgentOutcomes);
    }
  }
  *renewed->mutable_config()->mutable_state() = agent_state_;
}

void RenewalResponder::AddCandidates(const std::string& endpoint, const wire::Renew& renew,
                                     wire::Renewed* renewed) {
  const std::string& data_centre = renew.info().data_centre();
  CachedFingerprint& cached = fingerprints_[endpoint];
  std::vector<api::WorkerInfo> candidates;
  if (cached.directory_version != directory_.version()) {
    candidates = directory_.CandidatesFor(endpoint, data_centre);
    cached = {directory_.version(), Fingerprint(candidates)};
  }
  renewed->set_directory_version(cached.fingerprint);
  if (renew.directory_version() == cached.fingerprint) {
    return;
  }
  if (candidates.empty()) {
    candidates = directory_.CandidatesFor(endpoint, data_centre);
  }
  renewed->set_has_candidates(true);
  renewed->mutable_candidates()->Assign(candidates.begin(), candidates.end());
}

}  // namespace coltsfoottide::core
