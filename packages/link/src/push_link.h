#pragma once

#include <nng/nng.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace coltsfoottide::link {

// The sending side of a link: one nng PUSH socket that dials one endpoint once.
// A failed link stays closed; the hub replaces it by a new one.
class PushLink {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Limits of the queue to one endpoint: messages before and after the
  // connection is open, and bytes.
  static constexpr std::size_t kMaxDialQueue = 1024;
  static constexpr std::size_t kMaxQueue = 8192;
  static constexpr std::size_t kMaxQueueBytes = std::size_t{64} * 1024 * 1024;
  // A dial that has not succeeded after this time counts as failed.
  static constexpr std::chrono::milliseconds kDialLimit = std::chrono::seconds(2);

  enum class PushResult {
    kQueued,
    // The link had failed or was closed before; the message is unchanged.
    kClosed,
    // The queue is full; the link fails and drops all messages.
    kOverflow,
  };

  // `on_failed` is called at most once, from any thread, with no lock held.
  PushLink(std::string endpoint, std::function<void()> on_failed);
  ~PushLink();
  PushLink(const PushLink&) = delete;
  PushLink& operator=(const PushLink&) = delete;

  // Starts to dial; a failure is reported by `on_failed`.
  void Dial(TimePoint now);

  // Queues a message, which is moved from only if kQueued is returned.
  PushResult Push(std::string& message, TimePoint now);

  // Drops the queue and accepts no further messages; does not call `on_failed`.
  void Abandon();

  // Closes the socket and waits for nng's callbacks, so it must not be called
  // from nng's threads.
  // nng 1.5.2 leaks some memory when this happens while a connection is being
  // set up: 21 KB after 100 resets 1 ms after the dial, none after a message
  // has arrived.
  void Close();

  // Fails the link if its dial has taken longer than kDialLimit.
  void CheckDial(TimePoint now);

  // Abandons the link if it has sent nothing for `limit`; returns whether it
  // did.
  bool AbandonIfIdle(TimePoint now, std::chrono::milliseconds limit);

  // Whether the link has failed or was abandoned.
  bool closed();
  const std::string& endpoint() const { return endpoint_; }

 private:
  enum class State { kDialing, kUp, kClosed };

  static void OnProbed(void* self);
  static void OnSent(void* self);
  static void OnPipe(nng_pipe pipe, nng_pipe_ev event, void* self);

  bool Open();
  bool StartProbe();
  bool StartDialer();
  void SendNext();
  void Fail();
  // Drops the queue; returns false if the link was closed before.
  bool MarkClosed();

  const std::string endpoint_;
  const std::string url_;
  const std::function<void()> on_failed_;

  std::mutex mutex_;
  State state_ = State::kDialing;
  std::deque<std::string> queue_;
  std::size_t queue_bytes_ = 0;
  bool sending_ = false;
  TimePoint dialed_at_;
  TimePoint used_at_;

  // Held while the socket is opened or closed.
  std::mutex socket_mutex_;
  bool socket_closed_ = false;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  // Plain TCP connection that tests the endpoint before nng dials it.
  nng_stream_dialer* probe_ = nullptr;
  nng_aio* const probe_aio_;
  nng_aio* const send_aio_;
};

}  // namespace coltsfoottide::link
