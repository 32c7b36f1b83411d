#include "push_link.h"

#include <nng/protocol/pipeline0/push.h>

#include <new>
#include <utility>

namespace coltsfoottide::link {

namespace {

// nng redials a lost connection after a random part of this time. The link is
// closed as soon as the connection is lost, so with a long delay nng hardly ever
// redials.
constexpr nng_duration kRedialDelayMs = 60'000;

nng_msg* ToMessage(const std::string& text) {
  nng_msg* msg = nullptr;
  if (nng_msg_alloc(&msg, 0) != 0) return nullptr;
  if (nng_msg_append(msg, text.data(), text.size()) == 0) return msg;
  nng_msg_free(msg);
  return nullptr;
}

nng_aio* MakeAio(void (*callback)(void*), void* arg) {
  nng_aio* aio = nullptr;
  if (nng_aio_alloc(&aio, callback, arg) != 0) throw std::bad_alloc();
  return aio;
}

}  // namespace

PushLink::PushLink(std::string endpoint, std::function<void()> on_failed)
    : endpoint_(std::move(endpoint)),
      url_("tcp://" + endpoint_),
      on_failed_(std::move(on_failed)),
      probe_aio_(MakeAio(&PushLink::OnProbed, this)),
      send_aio_(MakeAio(&PushLink::OnSent, this)) {}

PushLink::~PushLink() {
  Close();
  // Frees a message that the socket has never accepted.
  if (nng_msg* msg = nng_aio_get_msg(send_aio_)) nng_msg_free(msg);
  nng_aio_free(send_aio_);
  nng_aio_free(probe_aio_);
  if (probe_ != nullptr) nng_stream_dialer_free(probe_);
}

void PushLink::Dial(TimePoint now) {
  bool ok = false;
  {
    const std::lock_guard lock(socket_mutex_);
    if (socket_closed_) return;
    {
      const std::lock_guard state_lock(mutex_);
      dialed_at_ = now;
    }
    ok = Open() && StartProbe();
  }
  if (!ok) Fail();
}

bool PushLink::Open() {
  if (nng_push0_open(&socket_) != 0) return false;
  for (const nng_pipe_ev it : {NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST}) {
    if (nng_pipe_notify(socket_, it, &PushLink::OnPipe, this) != 0) return false;
  }
  return true;
}

// nng's dialers report a failure only to a thread that waits for them; a stream
// dialer reports it by a callback. So a plain TCP connection is opened first,
// which shows at once when the endpoint refuses connections.
bool PushLink::StartProbe() {
  if (nng_stream_dialer_alloc(&probe_, url_.c_str()) != 0) return false;
  nng_aio_set_timeout(probe_aio_, static_cast<nng_duration>(kDialLimit.count()));
  nng_stream_dialer_dial(probe_, probe_aio_);
  return true;
}

void PushLink::OnProbed(void* self) {
  auto& link = *static_cast<PushLink*>(self);
  if (nng_aio_result(link.probe_aio_) != 0) return link.Fail();
  nng_stream_free(static_cast<nng_stream*>(nng_aio_get_output(link.probe_aio_, 0)));
  if (!link.StartDialer()) link.Fail();
}

bool PushLink::StartDialer() {
  nng_dialer dialer;
  if (nng_dialer_create(&dialer, socket_, url_.c_str()) != 0) return false;
  nng_dialer_set_bool(dialer, NNG_OPT_TCP_NODELAY, true);
  nng_dialer_set_ms(dialer, NNG_OPT_RECONNMINT, kRedialDelayMs);
  nng_dialer_set_ms(dialer, NNG_OPT_RECONNMAXT, kRedialDelayMs);
  return nng_dialer_start(dialer, NNG_FLAG_NONBLOCK) == 0;
}

void PushLink::OnPipe(nng_pipe pipe, nng_pipe_ev event, void* self) {
  auto& link = *static_cast<PushLink*>(self);
  if (event == NNG_PIPE_EV_REM_POST) return link.Fail();
  bool open = false;
  {
    const std::lock_guard lock(link.mutex_);
    open = link.state_ != State::kClosed;
    if (open && event == NNG_PIPE_EV_ADD_POST) link.state_ = State::kUp;
  }
  // nng has opened a connection after the link had failed.
  if (!open && event == NNG_PIPE_EV_ADD_PRE) nng_pipe_close(pipe);
  if (open && event == NNG_PIPE_EV_ADD_POST) link.SendNext();
}

PushLink::PushResult PushLink::Push(std::string& message, TimePoint now) {
  bool queued = false;
  {
    const std::lock_guard lock(mutex_);
    if (state_ == State::kClosed) return PushResult::kClosed;
    const std::size_t limit = state_ == State::kUp ? kMaxQueue : kMaxDialQueue;
    queued = queue_.size() < limit && queue_bytes_ + message.size() <= kMaxQueueBytes;
    if (queued) {
      queue_bytes_ += message.size();
      queue_.push_back(std::move(message));
      used_at_ = now;
    }
  }
  if (queued) {
    SendNext();
  } else {
    Fail();
  }
  return queued ? PushResult::kQueued : PushResult::kOverflow;
}

// Hands at most one message at a time to nng, which keeps their order and lets
// Abandon drop the others.
void PushLink::SendNext() {
  std::string message;
  {
    const std::lock_guard lock(mutex_);
    if (state_ != State::kUp || sending_ || queue_.empty()) return;
    message = std::move(queue_.front());
    queue_.pop_front();
    queue_bytes_ -= message.size();
    sending_ = true;
  }
  nng_msg* msg = ToMessage(message);
  if (msg == nullptr) return Fail();
  nng_aio_set_msg(send_aio_, msg);
  nng_send_aio(socket_, send_aio_);
}

void PushLink::OnSent(void* self) {
  auto& link = *static_cast<PushLink*>(self);
  if (nng_aio_result(link.send_aio_) != 0) {
    nng_msg_free(nng_aio_get_msg(link.send_aio_));
    nng_aio_set_msg(link.send_aio_, nullptr);
    return link.Fail();
  }
  {
    const std::lock_guard lock(link.mutex_);
    link.sending_ = false;
  }
  link.SendNext();
}

bool PushLink::MarkClosed() {
  std::deque<std::string> dropped;
  {
    const std::lock_guard lock(mutex_);
    if (state_ == State::kClosed) return false;
    state_ = State::kClosed;
    dropped.swap(queue_);
    queue_bytes_ = 0;
  }
  // Cancels the sending of a message that no connection has accepted yet.
  nng_aio_cancel(send_aio_);
  return true;
}

void PushLink::Fail() {
  if (MarkClosed()) on_failed_();
}

void PushLink::Abandon() { MarkClosed(); }

bool PushLink::closed() {
  const std::lock_guard lock(mutex_);
  return state_ == State::kClosed;
}

void PushLink::Close() {
  Abandon();
  const std::lock_guard lock(socket_mutex_);
  if (std::exchange(socket_closed_, true)) return;
  // nng 1.5.2 may wait forever in nng_close while an operation is pending, so
  // the operations are stopped first.
  if (probe_ != nullptr) nng_stream_dialer_close(probe_);
  nng_aio_stop(probe_aio_);
  nng_aio_stop(send_aio_);
  nng_close(socket_);
}

void PushLink::CheckDial(TimePoint now) {
  bool timed_out = false;
  {
    const std::lock_guard lock(mutex_);
    timed_out = state_ == State::kDialing && now - dialed_at_ > kDialLimit;
  }
  if (timed_out) Fail();
}

bool PushLink::AbandonIfIdle(TimePoint now, std::chrono::milliseconds limit) {
  {
    const std::lock_guard lock(mutex_);
    if (state_ != State::kUp || sending_ || !queue_.empty() || now - used_at_ < limit) return false;
    state_ = State::kClosed;
  }
  return true;
}

}  // namespace coltsfoottide::link
