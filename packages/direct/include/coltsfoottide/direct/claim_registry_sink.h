#pragma once

#include <string>

namespace coltsfoottide::direct {

struct ClaimVerdict;
struct RivalClaim;

// Sends the messages of an entry's ClaimRegistry to other entries, or to the JobClaims of the
// same entry.
class ClaimRegistrySink {
 public:
  virtual ~ClaimRegistrySink() = default;

  virtual void SendVerdict(const std::string& entry, const ClaimVerdict& verdict) = 0;
  virtual void SendRival(const std::string& entry, const RivalClaim& message) = 0;
};

}  // namespace coltsfoottide::direct
