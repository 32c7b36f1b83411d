#include "entry_links.h"

#include <QHostAddress>
#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/direct/agent_hello.h"
#include "coltsfoottide/direct/ipv4_address.h"
#include "direct_messages.h"
#include "direct_timing.h"
#include "entry_links_listener.h"

namespace coltsfoottide::daemon {

namespace {

// Longest interval between attempts to connect to another entry.
constexpr core::Duration kMaxDialInterval = std::chrono::milliseconds(500);
// Shortest interval between two lists of entries on a connection: when many
// entries start at once, each list covers several of them. Agents learn from it to
// which entries they have to connect before these can serve.
constexpr core::Duration kEntryListInterval = std::chrono::milliseconds(50);
// Silence after which a connection between entries is replaced: three stamps.
constexpr core::Duration kPeerSilence = std::chrono::milliseconds(2300);
// Longest delay of an echo that no other message carries: while the agent has
// runs of this entry, and while it has none. Far below kOwnerLease.
constexpr core::Duration kBusyEchoDelay = std::chrono::milliseconds(100);
constexpr core::Duration kIdleEchoDelay = std::chrono::milliseconds(300);
constexpr std::size_t kMaxLoggedNameBytes = 64;

}  // namespace

EntryLinks::EntryLinks(std::uint64_t incarnation, std::string data_centre,
                       EntryLinksListener& listener, Logger& logger)
    : incarnation_(incarnation),
      listener_(listener),
      logger_(logger),
      frame_listener_([this](qintptr descriptor) { Accept(descriptor); }),
      data_centre_(std::move(data_centre)) {}

std::optional<RuntimeError> EntryLinks::Open(const Endpoint& listen, const Endpoint& advertised) {
  name_ = advertised.address;
  port_ = advertised.port;
  if (frame_listener_.listen(QHostAddress(QString::fromStdString(listen.address)), listen.port)) {
    return std::nullopt;
  }
  return RuntimeError{listen.address + ':' + std::to_string(listen.port) + ": " +
                      frame_listener_.errorString().toStdString()};
}

void EntryLinks::AddConfiguredEntry(const std::string& name) {
  if (name != name_ && entries_.AddConfigured(name)) LogKnown("settings", name);
}

void EntryLinks::AddEntryHint(const std::string& name) {
  if (name == name_) return;
  if (entries_.AddHint(name, BootNow())) return LogKnown("store", name);
  if (entries_.Contains(name)) return;
  logger_.Warn("entry ignored", {{"entry", name.substr(0, kMaxLoggedNameBytes)}});
}

void EntryLinks::LogKnown(std::string_view source, const std::string& name) {
  logger_.Info("entry known", {{"entry", name}, {"source", std::string(source)}});
}

void EntryLinks::BroadcastConfiguration(const direct_wire::Configuration& configuration) {
  configuration_ = configuration;
  for (auto& [id, link] : links_) {
    if (!link.is_agent && !link.name.empty()) SendConfiguration(link);
  }
}

void EntryLinks::BroadcastEvacuation(const direct_wire::Evacuation& evacuation) {
  const bool changed =
      !evacuation_ ||
      !std::equal(evacuation.data_centres().begin(), evacuation.data_centres().end(),
                  evacuation_->data_centres().begin(), evacuation_->data_centres().end());
  evacuation_ = evacuation;
  if (!changed) return;
  for (const auto& [agent, id] : agents_) SendEvacuation(links_.at(id));
}

void EntryLinks::SendEvacuation(Link& link) {
  if (evacuation_) *link.connection->outbox().mutable_evacuation() = *evacuation_;
}

void EntryLinks::BroadcastCrashingRoute(const direct_wire::CrashingRoute& message) {
  for (auto& [id, link] : links_) {
    if (link.is_agent || !link.introduced) continue;
    *link.connection->outbox().add_crashing_routes() = message;
  }
}

void EntryLinks::BroadcastCancel(const std::string& job) {
  for (auto& [id, link] : links_) {
    if (!link.is_agent && link.introduced) link.connection->outbox().add_cancels(job);
  }
}

void EntryLinks::SendConfiguration(Link& link) {
  if (configuration_) *link.connection->outbox().mutable_configuration() = *configuration_;
}

void EntryLinks::WriteEntries(Link& link) {
  direct_wire::EntryList& list = *link.connection->outbox().mutable_entry_list();
  list.clear_entries();
  for (const direct::EntryAddress& it : entries_.Connected()) {
    direct_wire::EntryAddress& entry = *list.add_entries();
    entry.set_name(it.name);
    entry.set_data_centre(it.data_centre);
  }
}

void EntryLinks::SendChangedEntries(core::TimePoint now) {
  if (!entries_changed_ || now < entries_due_) return;
  entries_changed_ = false;
  entries_due_ = now + kEntryListInterval;
  for (auto& [id, link] : links_) {
    if (!link.name.empty()) WriteEntries(link);
  }
}

void EntryLinks::WriteEcho(Link& link) {
  if (link.unechoed_stamp_us == 0) return;
  link.connection->outbox().set_echo_us(std::exchange(link.unechoed_stamp_us, 0));
  link.echoed_at = BootNow();
}

direct_wire::Frame* EntryLinks::FrameTo(const std::string& agent) {
  const auto it = agents_.find(agent);
  if (it == agents_.end()) return nullptr;
  Link& link = links_.at(it->second);
  WriteEcho(link);
  return &link.connection->outbox();
}

std::vector<std::string> EntryLinks::ConnectedEntries() const {
  std::vector<std::string> names;
  names.reserve(peers_.size());
  for (const auto& [name, id] : peers_) names.push_back(name);
  return names;
}

direct_wire::Frame* EntryLinks::FrameToEntry(const std::string& entry) {
  const auto it = peers_.find(entry);
  return it == peers_.end() ? nullptr : &links_.at(it->second).connection->outbox();
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
  for (const direct::EntryAddress& entry : entries_.Known()) {
    const std::string& peer = entry.name;
    if (peer >= name_) continue;
    direct::DialBackoff& dials = dials_.try_emplace(peer, kMaxDialInterval).first->second;
    if (!dials.IsDue(now)) continue;
    const bool linked = std::any_of(links_.begin(), links_.end(),
                                    [&peer](const auto& it) { return it.second.name == peer; });
    if (linked) continue;
    dials.OnAttempt(now);
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
  hello.set_data_centre(data_centre_);
  hello.set_records_claims(true);
  WriteEntries(link);
  if (link.dialed) SendConfiguration(link);
}

void EntryLinks::OnFrame(std::uint64_t id, const direct_wire::Frame& frame) {
  const core::TimePoint now = BootNow();
  Link& link = links_.at(id);
  link.last_heard = now;
  const bool from_agent =
      link.is_agent || (frame.has_hello() && frame.hello().sender() == direct_wire::Hello::AGENT);
  // Before the hello, so that the orders and claims that follow it carry the echo without
  // which the agent starts nothing.
  if (from_agent && frame.stamp_us() != 0) link.unechoed_stamp_us = frame.stamp_us();
  if (frame.has_hello()) OnHello(id, frame);
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  if (!it->second.is_agent) {
    if (it->second.introduced) listener_.OnPeerFrame(std::string(it->second.name), frame, now);
    if (frame.has_configuration() && it->second.introduced) {
      listener_.OnPeerConfiguration(it->second.name, frame.configuration(), now);
    }
    if (frame.has_entry_list()) OnEntryList(it->second.name, frame.entry_list(), now);
    for (const direct_wire::CrashingRoute& route : frame.crashing_routes()) {
      listener_.OnPeerCrashingRoute(route, now);
    }
    for (const std::string& job : frame.cancels()) listener_.OnPeerCancel(job, now);
    return;
  }
  listener_.OnAgentFrame(std::string(it->second.name), frame, now);
}

void EntryLinks::OnEntryList(const std::string& peer, const direct_wire::EntryList& list,
                             core::TimePoint now) {
  std::vector<direct::EntryAddress> listed;
  for (const direct_wire::EntryAddress& it : list.entries()) {
    if (it.name() != name_) listed.push_back({it.name(), it.data_centre()});
  }
  for (const std::string& it : entries_.OnListed(peer, listed, now)) LogKnown(peer, it);
}

void EntryLinks::OnHello(std::uint64_t id, const direct_wire::Frame& frame) {
  const direct_wire::Hello& hello = frame.hello();
  Link& link = links_.at(id);
  // A connection that changes its name would leave its former one in agents_.
  const bool is_entry = hello.sender() == direct_wire::Hello::ENTRY;
  const bool named = is_entry ? direct::IsIpv4Address(hello.name()) : !hello.name().empty();
  if (link.introduced || !named) {
    logger_.Warn("invalid hello", {{"peer", link.name}, {"name", hello.name()}});
    return OnClosed(id, "invalid hello");
  }
  link.introduced = true;
  link.name = hello.name();
  if (is_entry) {
    entries_.OnConnected({hello.name(), hello.data_centre()}, BootNow());
    dials_.erase(hello.name());
    entries_changed_ = true;
    if (!link.dialed) SendConfiguration(link);
    if (const auto old = peers_.find(link.name); old != peers_.end() && old->second != id) {
      OnClosed(old->second, "replaced");
    }
    peers_[link.name] = id;
    listener_.OnPeerConnected(std::string(link.name), hello.records_claims(),
                              link.connection->outbox(), BootNow());
    return;
  }
  link.is_agent = true;
  if (!agent_connections_.OnHello(hello.name(), hello.incarnation(), hello.connection(),
                                  BootNow())) {
    logger_.Warn("hello outdated", {{"agent", hello.name()},
                                    {"incarnation", std::to_string(hello.incarnation())},
                                    {"connection", std::to_string(hello.connection())}});
    return OnClosed(id, "outdated");
  }
  if (const auto old = agents_.find(hello.name()); old != agents_.end() && old->second != id) {
    OnClosed(old->second, "replaced");
  }
  agents_[hello.name()] = id;
  OnAgentHello(link, frame);
}

void EntryLinks::OnAgentHello(Link& link, const direct_wire::Frame& frame) {
  const direct_wire::Hello& hello = frame.hello();
  SendEvacuation(link);
  direct::AgentHello decoded;
  decoded.agent = hello.name();
  decoded.incarnation = hello.incarnation();
  decoded.runs_known = hello.runs_known();
  for (const direct_wire::RunReport& it : hello.runs()) decoded.runs.push_back(ReadReport(it));
  for (const direct_wire::WorkerCrash& it : hello.crashes()) {
    decoded.crashes.push_back(ReadCrash(it, BootNow()));
  }
  if (frame.has_description()) decoded.description = ReadDescription(frame.description());
  if (frame.has_worker()) decoded.state = ReadState(frame.worker());
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
  if (const auto peer = peers_.find(link.name); peer != peers_.end() && peer->second == id) {
    peers_.erase(peer);
    listener_.OnPeerLost(link.name, BootNow());
  }
  const bool linked = std::any_of(links_.begin(), links_.end(), [&link](const auto& other) {
    return !other.second.is_agent && other.second.name == link.name;
  });
  if (!link.is_agent && !link.name.empty() && !linked) {
    entries_.OnDisconnected(link.name, BootNow());
    entries_changed_ = true;
  }
  // The callback that reports the end may still be running in the connection,
  // so it is destroyed only by the next Advance.
  closed_.push_back(std::move(link.connection));
}

core::Duration EntryLinks::AttemptLimit(const std::string& peer) const {
  const auto it = dials_.find(peer);
  // Another connection to the peer has opened meanwhile.
  return it == dials_.end() ? core::Duration::zero() : it->second.AttemptLimit();
}

void EntryLinks::CloseSilent(const std::function<bool(const std::string&)>& has_runs,
                             core::TimePoint now) {
  std::vector<std::uint64_t> silent;
  for (const auto& [id, link] : links_) {
    const bool opening = link.dialed && !link.connection->open();
    // The shortest limit of open connections.
    if (!opening && now - link.last_heard <= kBusySilence) continue;
    const core::Duration limit = opening               ? AttemptLimit(link.name)
                                 : !link.is_agent      ? kPeerSilence
                                 : has_runs(link.name) ? kBusySilence
                                                       : kIdleSilence;
    if (now - link.last_heard > limit) silent.push_back(id);
  }
  for (const std::uint64_t id : silent) OnClosed(id, "silent");
}

void EntryLinks::SendStamps(core::TimePoint now) {
  for (auto& [id, link] : links_) {
    if (link.is_agent || link.name.empty() || now < link.stamp_due) continue;
    link.stamp_due = now + kPeerStampInterval;
    direct_wire::Frame& frame = link.connection->outbox();
    frame.set_stamp_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const auto peer = peers_.find(link.name);
    if (peer != peers_.end() && peer->second == id) listener_.OnPeerStamp(link.name, frame);
  }
}

void EntryLinks::SendEchoes(const std::function<bool(const std::string&)>& has_runs,
                            core::TimePoint now) {
  for (auto& [id, link] : links_) {
    if (link.unechoed_stamp_us == 0 || now - link.echoed_at < kBusyEchoDelay) continue;
    const core::Duration delay = has_runs(link.name) ? kBusyEchoDelay : kIdleEchoDelay;
    if (now - link.echoed_at >= delay) WriteEcho(link);
  }
}

void EntryLinks::Advance(const std::function<bool(const std::string&)>& has_runs,
                         core::TimePoint now) {
  closed_.clear();
  CloseSilent(has_runs, now);
  SendStamps(now);
  SendEchoes(has_runs, now);
  SendChangedEntries(now);
  agent_connections_.Forget(now);
  for (const std::string& it : entries_.Forget(now)) {
    dials_.erase(it);
    logger_.Info("entry forgotten", {{"entry", it}});
    listener_.OnEntryForgotten(it);
  }
  DialPeers(now);
}

}  // namespace coltsfoottide::daemon
