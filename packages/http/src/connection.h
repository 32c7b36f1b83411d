#pragma once

#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "coltsfoottide/http/memory_holder.h"
#include "coltsfoottide/http/server.h"
#include "half_closed_peer.h"
#include "parser_socket.h"
#include "request_framer.h"

namespace coltsfoottide::http {

// One accepted connection: reads one request at a time within the limits,
// passes it to Qt's parser through the parser socket, and writes its response.
// Bytes after the request stay in the kernel and in a read buffer of fixed size
// until the response has been written. A peer that ends its input after the
// request still gets the response. All that it holds is counted in the memory budget of its
// limits, which may make it wait with a large body or close it. Deletes itself once it has
// closed.
class Connection : public QObject, private MemoryHolder {
 public:
  struct Events {
    // The peer closed the connection before the response to the last request.
    std::function<void(Connection&)> on_abandoned;
    // The peer has ended its input during the last request and may still read.
    std::function<void(Connection&)> on_input_ended;
    // The response to the last request has been handed to the kernel.
    std::function<void(Connection&)> on_written;
    std::function<void(Connection&)> on_closed;
    // The memory budget has to be advanced.
    std::function<void()> on_memory_needed;
  };

  Connection(qintptr descriptor, const ServerLimits& limits, Events events, QObject* parent);
  ~Connection() override;

  // For Qt's HTTP server, which reads requests from it.
  ParserSocket* parser_socket() { return parser_socket_; }
  // Called when the parser has read a request and passes it to the application
  // under this id.
  void BeginRequest(std::uint64_t id);
  std::uint64_t request_id() const { return request_id_; }
  const RequestHead& head() const { return head_; }

  // Writes the response to the request in progress. Returns whether the
  // connection was open and accepted it.
  bool Respond(const Response& response);

  // Counts this many bytes for the request in progress instead of what was received.
  void CountDecoded(std::size_t bytes);

  // Closes without a response to the request in progress.
  void Drop();

  void set_max_body_bytes(std::size_t n) { framer_.set_max_body_bytes(n); }

  // Returns the body of the request that the parser has read.
  std::string TakeBody() { return std::exchange(body_, {}); }

  // Closes now if idle, otherwise after the response.
  void BeginStop();

 private:
  enum class State {
    kReceiving,
    // A request has been read, and waits until the peer has read earlier responses.
    kUnread,
    // A request has been read from a peer that has ended its input, and is passed on if
    // the peer still reads.
    kProbing,
    kParsing,
    kInProgress,
    // In progress; the peer has ended its input and can still be answered.
    kHalfClosed,
    kResponding,
    kLingering,
    kClosed,
  };

  // Whether the body that is being received may be read.
  enum class BodyMemory { kNone, kWaiting, kReserved };

  // MemoryHolder
  void OnMemoryReserved() override;
  void OnMemoryReclaimed() override;

  void OnReadable();
  void OnWritten();
  void OnDisconnected();
  void OnPeerClosed();
  bool RespondHalfClosed(const Response& response);
  void EndHalfClosed();
  void ReportClosed();
  void OnTimeout();
  void Receive();
  bool ReserveBody();
  void RefuseForMemory();
  void CountMemory();
  void Dispatch();
  void Begin();
  std::size_t UnreadBytes() const;
  void Parse();
  bool InputHasEnded() const;
  void ArmReceiveTimer();
  void Refuse(int status);
  void Linger();
  void Close();

  ServerLimits limits_;
  Events events_;
  QTcpSocket socket_;
  QTimer timer_;
  QPointer<ParserSocket> parser_socket_;
  // Set while a request is being probed or in progress.
  std::unique_ptr<HalfClosedPeer> half_closed_;
  RequestFramer framer_;
  // Framer state for which the receive timer is armed; kRefused while it is not.
  RequestFramer::State timed_state_ = RequestFramer::State::kRefused;
  RequestHead head_;
  std::uint64_t request_id_ = 0;
  State state_ = State::kReceiving;
  bool stopping_ = false;
  bool continue_sent_ = false;
  bool close_after_response_ = false;
  BodyMemory body_memory_ = BodyMemory::kNone;
  int unread_checks_ = 0;
  // The memory budget has chosen this connection to be closed.
  bool reclaimed_ = false;
  // Whether a request has been read.
  bool used_ = false;
  // Counted for the request in progress.
  std::size_t request_bytes_ = 0;
  // The body of the request that the parser is reading.
  std::string body_;
};

}  // namespace coltsfoottide::http
