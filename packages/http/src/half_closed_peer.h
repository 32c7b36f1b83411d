#pragma once

#include <QByteArray>
#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>

namespace coltsfoottide::http {

// The sending direction of a half-closed connection, whose peer sends nothing
// more. Qt closes a socket at the end of its input, so this holds a duplicate of
// the descriptor. A peer that has only shut down its sending direction still reads
// the response; one that has closed the connection resets it when the first bytes
// arrive. Interim responses distinguish them: a load balancer in between takes the
// first and closes only after the reset by the peer has made a later write fail.
class HalfClosedPeer {
 public:
  // Duplicates the descriptor of an open socket if the duplicate is below
  // `max_descriptor`; `valid()` returns whether that succeeded.
  HalfClosedPeer(qintptr descriptor, int max_descriptor);
  ~HalfClosedPeer();
  HalfClosedPeer(const HalfClosedPeer&) = delete;
  HalfClosedPeer& operator=(const HalfClosedPeer&) = delete;

  bool valid() const { return descriptor_ >= 0; }

  // Sends interim responses at an interval, a limited number in all, until the
  // final one; `on_peer_closed` is called once if the peer has closed the
  // connection, never from within this call.
  void Probe(std::function<void()> on_peer_closed);

  // Sends the response and closes the descriptor. Returns whether the kernel
  // took all of it.
  bool SendFinalResponse(const QByteArray& response);

 private:
  void Check();
  bool InterimResponseIsDue() const;
  void SendInterimResponse();
  bool SendQueueIsEmpty() const;
  // Returns the number of bytes that the kernel took, or -1 and errno.
  qsizetype Send(const QByteArray& bytes) const;
  void Close();

  int descriptor_;
  int interim_responses_ = 0;
  std::chrono::steady_clock::time_point next_interim_response_;
  std::chrono::milliseconds interval_;
  // What the kernel has not taken of the last interim response.
  QByteArray unsent_;
  bool send_failed_ = false;
  std::function<void()> on_peer_closed_;
  QTimer timer_;
};

}  // namespace coltsfoottide::http
