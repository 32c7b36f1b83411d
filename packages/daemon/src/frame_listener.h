#pragma once

#include <QTcpServer>
#include <functional>

namespace coltsfoottide::daemon {

// Accepts connections for frames.
class FrameListener : public QTcpServer {
 public:
  explicit FrameListener(std::function<void(qintptr)> on_accept);

 protected:
  void incomingConnection(qintptr descriptor) override { on_accept_(descriptor); }

 private:
  std::function<void(qintptr)> on_accept_;
};

}  // namespace coltsfoottide::daemon
