#pragma once

#include <QByteArray>
#include <QObject>
#include <QTimer>
#include <functional>

namespace coltsfoottide::http {

// The sending direction of a connection whose peer has ended the other one.
// Qt closes a socket at the end of its input, so this holds a duplicate of the
// descriptor. A peer that has only ended its input still reads the answer; one
// that has closed the connection resets it at the first bytes that arrive, so
// an interim response tells them apart.
class HalfOpenPeer {
 public:
  // Duplicates the descriptor of an open socket; `valid()` tells whether that
  // succeeded.
  explicit HalfOpenPeer(qintptr descriptor);
  ~HalfOpenPeer();
  HalfOpenPeer(const HalfOpenPeer&) = delete;
  HalfOpenPeer& operator=(const HalfOpenPeer&) = delete;

  bool valid() const { return descriptor_ >= 0; }

  // Sends the interim response; `on_gone` is called once when the peer turns
  // out to have closed, never from within this call.
  void Probe(std::function<void()> on_gone);

  // Sends the answer and ends the connection. Returns whether the kernel took
  // all of it.
  bool WriteLast(const QByteArray& answer);

 private:
  void Check();
  bool Send(const QByteArray& bytes) const;
  void Close();

  int descriptor_;
  bool send_failed_ = false;
  std::function<void()> on_gone_;
  QTimer timer_;
};

}  // namespace coltsfoottide::http
