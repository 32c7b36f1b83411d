#include "coltsfoottide/daemon/config_digest.h"

#include <QCryptographicHash>

#include "coltsfoottide/core/config_state.h"

namespace coltsfoottide::daemon {

std::uint64_t ConfigDigest(const core::ConfigState& config) {
  constexpr int kDigestBytes = 6;
  wire::ConfigStateData state = config.ToData();
  state.clear_outcomes();
  const QByteArray hash = QCryptographicHash::hash(
      QByteArray::fromStdString(state.SerializeAsString()), QCryptographicHash::Sha256);
  std::uint64_t digest = 0;
  for (int n = 0; n < kDigestBytes; ++n) {
    digest = (digest << 8) | static_cast<std::uint8_t>(hash[n]);
  }
  return digest;
}

}  // namespace coltsfoottide::daemon
