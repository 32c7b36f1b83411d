#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class ConfigState;
class Directory;

// Makes the answers to agents' renewals. The directory version in them is a
// fingerprint of the agent's own candidate list, so a list is sent only when
// that agent's list has changed, whichever entry sent the last one.
class RenewalResponder {
 public:
  // Both must outlive the responder.
  RenewalResponder(const ConfigState& config, const Directory& directory);

  // Returns the answer to a renewal of the agent at `endpoint`; `evidence_age` is
  // empty while this entry has no evidence.
  wire::Renewed Answer(const std::string& endpoint, const wire::Renew& renew,
                       std::optional<Duration> evidence_age);

  // Drops what is cached for agents that have left the directory.
  void Expire();

 private:
  // Fingerprint of an agent's candidate list at a version of the directory.
  struct CachedFingerprint {
    std::uint64_t directory_version = 0;
    std::uint64_t fingerprint = 0;
  };

  void AddConfig(const wire::Renew& renew, wire::Renewed* renewed);
  void AddCandidates(const std::string& endpoint, const wire::Renew& renew, wire::Renewed* renewed);

  const ConfigState& config_;
  const Directory& directory_;
  // The configuration as sent to agents, with the last outcomes only; replaced
  // when the configuration's offset differs.
  wire::ConfigStateData agent_state_;
  std::map<std::string, CachedFingerprint> fingerprints_;
};

}  // namespace coltsfoottide::core
