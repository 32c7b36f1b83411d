#include "engine_hub.h"

#include <utility>

#include "coltsfoottide/daemon/engine.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/link/link_hub.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::daemon {

std::variant<std::unique_ptr<link::LinkHub>, link::LinkError> MakeEngineHub(
    const std::string& listen, Engine& engine, EngineHubCallbacks callbacks) {
  link::LinkCallbacks posted;
  posted.on_message = [&engine, on_message = std::move(callbacks.on_message)](std::string buf) {
    engine.Post([on_message, buf = std::move(buf)](core::TimePoint now) { on_message(buf, now); });
  };
  posted.on_down = [&engine, on_down = std::move(callbacks.on_down)](const std::string& endpoint) {
    engine.Post([on_down, endpoint](core::TimePoint now) { on_down(endpoint, now); });
  };
  return link::MakeNngLinkHub(listen, std::move(posted));
}

std::optional<wire::Envelope> ReadEnvelope(const std::string& buf, link::LinkHub& hub,
                                           Logger& logger) {
  wire::Envelope envelope;
  if (!envelope.ParseFromString(buf)) {
    logger.Warn("unreadable message dropped", {{"bytes", std::to_string(buf.size())}});
    return std::nullopt;
  }
  if (envelope.new_connection()) {
    hub.Reset(envelope.from());
  }
  return envelope;
}

}  // namespace coltsfoottide::daemon
