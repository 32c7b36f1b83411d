#pragma once

#include <QTcpServer>
#include <functional>

namespace coltsfoottide::daemon {

// TCP server that passes the descriptor of each accepted connection to
// `on_accept`, for a FrameConnection.
class FrameListener : public QTcpServer {
 public:
  explicit FrameListener(std::function<void(qintptr)> on_accept);

 protected:
  void incomingConnection(qintptr descriptor) override { on_accept_(descriptor); }

 private:
  std::function<void(qintptr)> on_accept_;
};

}  // namespace coltsfoottide::daemon
