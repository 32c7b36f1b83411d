#include "request_framer.h"

#include <algorithm>
#include <utility>

#include "request_head.h"

namespace coltsfoottide::http {

namespace {

constexpr int kHeaderTooLarge = 431;
constexpr int kContentTooLarge = 413;
constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr qsizetype kHeaderEndBytes = 4;

}  // namespace

RequestFramer::RequestFramer(std::size_t max_request_bytes)
    : max_request_bytes_(static_cast<qsizetype>(max_request_bytes)),
      max_body_bytes_(max_request_bytes) {}

qsizetype RequestFramer::wanted() const {
  switch (state_) {
    case State::kEmpty:
    case State::kHeader:
      return std::min(kMaxHeaderBytes, max_request_bytes_) - buf_.size();
    case State::kBody:
      return head_.content_length - static_cast<qsizetype>(body_.size());
    case State::kComplete:
    case State::kRefused:
      break;
  }
  return 0;
}

std::size_t RequestFramer::held_bytes() const {
  const std::size_t body =
      state_ == State::kBody ? static_cast<std::size_t>(head_.content_length) : body_.size();
  return static_cast<std::size_t>(buf_.capacity() + header_.capacity()) + body;
}

RequestFramer::State RequestFramer::Append(QByteArrayView bytes) {
  if (state_ == State::kBody) {
    const qsizetype n = std::min(bytes.size(), wanted());
    // Exactly what is needed; bytes that have not arrived use no memory yet.
    body_.reserve(static_cast<std::size_t>(head_.content_length));
    body_.append(bytes.data(), static_cast<std::size_t>(n));
    bytes = bytes.sliced(n);
    if (wanted() == 0) state_ = State::kComplete;
  }
  if (!bytes.isEmpty()) buf_.append(bytes);
  Evaluate();
  return state_;
}

RequestFramer::Complete RequestFramer::Take() {
  Complete request{std::exchange(header_, {}), std::exchange(body_, {})};
  searched_ = 0;
  state_ = State::kEmpty;
  Evaluate();
  return request;
}

void RequestFramer::Evaluate() {
  if (state_ == State::kEmpty || state_ == State::kHeader) ReadHead();
}

void RequestFramer::ReadHead() {
  // RFC 9112 2.2: empty lines before the request line are ignored.
  while (buf_.startsWith("\r\n")) buf_.remove(0, 2);
  state_ = buf_.isEmpty() ? State::kEmpty : State::kHeader;
  // The end of the header may be split between two appends.
  const qsizetype from = std::max<qsizetype>(0, searched_ - (kHeaderEndBytes - 1));
  const qsizetype end = buf_.indexOf(kHeaderEnd, from);
  searched_ = buf_.size();
  if (end < 0) {
    if (wanted() <= 0) Refuse(kHeaderTooLarge);
    return;
  }
  const HeadResult parsed = ParseRequestHead(buf_.left(end));
  if (parsed.refusal_status != 0) return Refuse(parsed.refusal_status);
  head_ = parsed.head;
  const qsizetype header_bytes = end + kHeaderEndBytes;
  if (head_.content_length > max_request_bytes_ - header_bytes ||
      static_cast<std::size_t>(head_.content_length) > max_body_bytes_) {
    return Refuse(kContentTooLarge);
  }
  header_ = buf_.left(header_bytes);
  const qsizetype n = std::min(head_.content_length, buf_.size() - header_bytes);
  body_.assign(buf_.constData() + header_bytes, static_cast<std::size_t>(n));
  // A copy, because the buffer would keep the memory of all that it has held.
  buf_ = buf_.mid(header_bytes + n);
  state_ = n == head_.content_length ? State::kComplete : State::kBody;
}

void RequestFramer::Refuse(int status) {
  state_ = State::kRefused;
  refusal_status_ = status;
  buf_ = QByteArray();
}

}  // namespace coltsfoottide::http
