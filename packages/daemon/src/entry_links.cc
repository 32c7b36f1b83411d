#include "entry_links.h"

#include <QHostAddress>
#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/direct/agent_hello.h"
#include "direct_messages.h"
#include "direct_timing.h"
#include "entry_links_listener.h"

namespace coltsfoottide::daemon {

namespace {

// Pause between attempts to connect to another entry.
constexpr core::Duration kDialInterval = std::chrono::milliseconds(500);

}  // namespace

EntryLinks::EntryLinks(std::uint64_t incarnation, EntryLinksListener& listener, Logger& logger)
    : incarnation_(incarnation),
      listener_(listener),
      logger_(logger),
      frame_listener_([this](qintptr descriptor) { Accept(descriptor); }) {}

std::optional<RuntimeError> EntryLinks::Open(const Endpoint& listen, const Endpoint& advertised) {
  name_ = advertised.address;
  port_ = advertised.port;
  if (frame_listener_.listen(QHostAddress(QString::fromStdString(listen.address)), listen.port)) {
    return std::nullopt;
  }
  return RuntimeError{listen.address + ':' + std::to_string(listen.port) + ": " +
                      frame_listener_.errorString().toStdString()};
}

void EntryLinks::AddEntry(const std::string& name) {
  if (name.empty() || !entries_.insert(name).second) return;
  logger_.Info("entry known", {{"entry", name}});
  for (auto& [id, link] : links_) SendEntries(link);
}

void EntryLinks::BroadcastConfiguration(const direct_wire::Configuration& configuration) {
  configuration_ = configuration;
  for (auto& [id, link] : links_) {
    if (!link.is_agent && !link.name.empty()) SendConfiguration(link);
  }
}

void EntryLinks::SendConfiguration(Link& link) {
  if (configuration_) *link.connection->outbox().mutable_configuration() = *configuration_;
}

void EntryLinks::SendEntries(Link& link) {
  direct_wire::Frame& frame = link.connection->outbox();
  frame.clear_entries();
  for (const std::string& it : entries_) frame.add_entries(it);
}

direct_wire::Frame* EntryLinks::FrameTo(const std::string& agent) {
  const auto it = agents_.find(agent);
  return it == agents_.end() ? nullptr : &links_.at(it->second).connection->outbox();
}

EntryLinks::Link& EntryLinks::AddLink(std::uint64_t id) {
  Link& link = links_[id];
  link.last_heard = BootNow();
  return link;
}

FrameConnection::Events EntryLinks::LinkEvents(std::uint64_t id) {
  return {[this, id] { SendHello(links_.at(id)); },
          [this, id](const direct_wire::Frame& frame) { OnFrame(id, frame); },
          [this, id] { OnClosed(id, "closed"); }};
}

void EntryLinks::Accept(qintptr descriptor) {
  const std::uint64_t id = ++last_link_;
  Link& link = AddLink(id);
  link.connection = std::make_unique<FrameConnection>(descriptor, LinkEvents(id));
  SendHello(link);
}

void EntryLinks::DialPeers(core::TimePoint now) {
  for (const std::string& peer : entries_) {
    if (peer >= name_ || now < dial_due_[peer]) continue;
    const bool linked = std::any_of(links_.begin(), links_.end(),
                                    [&peer](const auto& it) { return it.second.name == peer; });
    if (linked) continue;
    dial_due_[peer] = now + kDialInterval;
    const std::uint64_t id = ++last_link_;
    Link& link = AddLink(id);
    link.name = peer;
    link.dialed = true;
    link.connection =
        std::make_unique<FrameConnection>(QString::fromStdString(peer), port_, LinkEvents(id));
  }
}

void EntryLinks::SendHello(Link& link) {
  direct_wire::Hello& hello = *link.connection->outbox().mutable_hello();
  hello.set_sender(direct_wire::Hello::ENTRY);
  hello.set_name(name_);
  hello.set_incarnation(incarnation_);
  SendEntries(link);
  if (link.dialed) SendConfiguration(link);
}

void EntryLinks::OnFrame(std::uint64_t id, const direct_wire::Frame& frame) {
  const core::TimePoint now = BootNow();
  Link& link = links_.at(id);
  link.last_heard = now;
  if (frame.stamp_us() != 0) link.connection->outbox().set_echo_us(frame.stamp_us());
  for (const std::string& it : frame.entries()) AddEntry(it);
  if (frame.has_configuration()) {
    listener_.OnPeerConfiguration(link.name, frame.configuration(), now);
  }
  if (frame.has_hello()) OnHello(id, frame.hello());
  const auto it = links_.find(id);
  if (it == links_.end() || !it->second.is_agent) return;
  listener_.OnAgentFrame(std::string(it->second.name), frame, now);
}

void EntryLinks::OnHello(std::uint64_t id, const direct_wire::Hello& hello) {
  Link& link = links_.at(id);
  link.name = hello.name();
  if (hello.sender() == direct_wire::Hello::ENTRY) {
    AddEntry(hello.name());
    if (!link.dialed) SendConfiguration(link);
    return;
  }
  if (const auto old = agents_.find(hello.name()); old != agents_.end() && old->second != id) {
    OnClosed(old->second, "replaced");
  }
  link.is_agent = true;
  agents_[hello.name()] = id;
  direct::AgentHello decoded;
  decoded.agent = hello.name();
  decoded.incarnation = hello.incarnation();
  decoded.runs_known = hello.runs_known();
  for (const direct_wire::RunReport& it : hello.runs()) decoded.runs.push_back(ReadReport(it));
  logger_.Info("agent connected", {{"agent", decoded.agent},
                                   {"incarnation", std::to_string(decoded.incarnation)},
                                   {"runs", std::to_string(decoded.runs.size())}});
  listener_.OnAgentConnected(decoded, BootNow());
}

void EntryLinks::OnClosed(std::uint64_t id, const std::string& reason) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link link = std::move(it->second);
  links_.erase(it);
  link.connection->Close();
  const auto agent = agents_.find(link.name);
  if (link.is_agent && agent != agents_.end() && agent->second == id) {
    agents_.erase(agent);
    logger_.Warn("agent lost", {{"agent", link.name},
                                {"reason", reason},
                                {"silent_ms", std::to_string(ToMs(BootNow() - link.last_heard))}});
    listener_.OnAgentLost(link.name, link.last_heard);
  }
  // The callback that reports the end may still be running in the connection,
  // so it is destroyed only by the next Advance.
  closed_.push_back(std::move(link.connection));
}

void EntryLinks::CloseSilent(const std::function<bool(const std::string&)>& has_runs,
                             core::TimePoint now) {
  std::vector<std::uint64_t> silent;
  for (const auto& [id, link] : links_) {
    const bool opening = link.dialed && !link.connection->open();
    const core::Duration limit = opening                                ? kOpenLimit
                                 : link.is_agent && has_runs(link.name) ? kBusySilence
                                                                        : kIdleSilence;
    if (now - link.last_heard > limit) silent.push_back(id);
  }
  for (const std::uint64_t id : silent) OnClosed(id, "silent");
}

void EntryLinks::SendStamps(core::TimePoint now) {
  for (auto& [id, link] : links_) {
    if (link.is_agent || link.name.empty() || now < link.stamp_due) continue;
    link.stamp_due = now + kIdleInterval;
    link.connection->outbox().set_stamp_us(
        static_cast<std::uint64_t>(now.time_since_epoch().count()));
  }
}

void EntryLinks::Advance(const std::function<bool(const std::string&)>& has_runs,
                         core::TimePoint now) {
  closed_.clear();
  CloseSilent(has_runs, now);
  SendStamps(now);
  DialPeers(now);
}

}  // namespace coltsfoottide::daemon
