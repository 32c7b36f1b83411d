#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "coltsfoottide/core/outbox.h"

namespace coltsfoottide::link {
class LinkHub;
}  // namespace coltsfoottide::link

namespace coltsfoottide::daemon {

// Sends envelopes over a link hub and sets their sender fields. The first
// envelope to an endpoint after ResetLink asks the receiver to open a new
// connection too, because a silent link may be silent in both directions.
class HubOutbox : public core::Outbox {
 public:
  // `endpoint` is the one at which other processes reach this one.
  HubOutbox(link::LinkHub& hub, std::string endpoint, std::uint64_t incarnation);

  void Send(const std::string& endpoint, wire::Envelope envelope) override;
  void ResetLink(const std::string& endpoint) override;

  // Messages and bytes sent so far.
  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }
  // Messages sent so far, by the field number of Envelope.body.
  const std::map<int, std::uint64_t>& messages_by_kind() const { return messages_by_kind_; }

 private:
  link::LinkHub& hub_;
  std::string endpoint_;
  std::uint64_t incarnation_;
  // Endpoints whose link was reset and to which nothing has been sent since.
  std::unordered_set<std::string> reset_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::map<int, std::uint64_t> messages_by_kind_;
};

}  // namespace coltsfoottide::daemon
