#pragma once

#include <QObject>
#include <QTcpSocket>
#include <functional>
#include <memory>

#include "coltsfoottide/schema/direct.pb.h"

namespace coltsfoottide::daemon {

// A TCP connection that carries length-prefixed frames between an entry and
// an agent, or between two entries. What is added to the outbox in one iteration
// of the event loop is sent as one frame.
class FrameConnection : public QObject {
 public:
  struct Events {
    std::function<void()> on_open;
    std::function<void(const direct_wire::Frame&)> on_frame;
    // Called once, also when the connection could not be opened. Not called
    // by Close(), nor before the constructor has returned.
    std::function<void()> on_closed;
  };

  // Takes over an accepted socket.
  FrameConnection(qintptr descriptor, Events events);
  // Connects to a FrameListener.
  FrameConnection(const QString& host, std::uint16_t port, Events events);
  ~FrameConnection() override;

  // The frame that is sent at the end of this iteration of the event loop.
  direct_wire::Frame& outbox();
  // Sends the outbox now.
  void Flush();
  // Closes at once; no callback runs afterwards.
  void Close();
  bool open() const { return socket_.state() == QAbstractSocket::ConnectedState; }

 private:
  void ConnectSignals();
  void OnReadable();
  void OnEnded();
  void ReportClosed();

  Events events_;
  QTcpSocket socket_;
  QByteArray received_;
  direct_wire::Frame outbox_;
  // The frame that is being read; keeps its memory for the next one.
  direct_wire::Frame inbox_;
  bool flush_scheduled_ = false;
  bool ended_ = false;
  bool closed_by_owner_ = false;
  // In the constructor, whose caller does not hold this object yet.
  bool constructing_ = true;
};

}  // namespace coltsfoottide::daemon
