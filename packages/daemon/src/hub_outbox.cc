#include "coltsfoottide/daemon/hub_outbox.h"

#include <utility>

#include "coltsfoottide/link/link_hub.h"

namespace coltsfoottide::daemon {

HubOutbox::HubOutbox(link::LinkHub& hub, std::string endpoint, std::uint64_t incarnation)
    : hub_(hub), endpoint_(std::move(endpoint)), incarnation_(incarnation) {}

void HubOutbox::Send(const std::string& endpoint, wire::Envelope envelope) {
  envelope.set_from(endpoint_);
  envelope.set_incarnation(incarnation_);
  envelope.set_new_connection(reset_.erase(endpoint) > 0);
  std::string buf = envelope.SerializeAsString();
  ++messages_;
  ++messages_by_kind_[envelope.body_case()];
  bytes_ += buf.size();
  hub_.Send(endpoint, std::move(buf));
}

void HubOutbox::ResetLink(const std::string& endpoint) {
  hub_.Reset(endpoint);
  reset_.insert(endpoint);
}

}  // namespace coltsfoottide::daemon
