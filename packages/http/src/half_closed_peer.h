#pragma once

#include <QByteArray>
#include <QObject>
#include <QTimer>
#include <functional>

namespace coltsfoottide::http {

// The sending direction of a half-closed connection, whose peer sends nothing
// more. Qt closes a socket at the end of its input, so this holds a duplicate of
// the descriptor. A peer that has only shut down its sending direction still reads
// the response; one that has closed the connection resets it when the first bytes
// arrive. An interim response distinguishes them.
class HalfClosedPeer {
 public:
  // Duplicates the descriptor of an open socket; `valid()` returns whether that
  // succeeded.
  explicit HalfClosedPeer(qintptr descriptor);
  ~HalfClosedPeer();
  HalfClosedPeer(const HalfClosedPeer&) = delete;
  HalfClosedPeer& operator=(const HalfClosedPeer&) = delete;

  bool valid() const { return descriptor_ >= 0; }

  // Sends the interim response; `on_peer_closed` is called once if the peer has
  // closed the connection, never from within this call.
  void Probe(std::function<void()> on_peer_closed);

  // Sends the response and closes the descriptor. Returns whether the kernel
  // took all of it.
  bool SendFinalResponse(const QByteArray& response);

 private:
  void Check();
  bool Send(const QByteArray& bytes) const;
  void Close();

  int descriptor_;
  bool send_failed_ = false;
  std::function<void()> on_peer_closed_;
  QTimer timer_;
};

}  // namespace coltsfoottide::http
