#include "request_framer.h"

#include <algorithm>

#include "request_head.h"

namespace coltsfoottide::http {

namespace {

constexpr int kHeaderTooLarge = 431;
constexpr int kContentTooLarge = 413;
constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr qsizetype kHeaderEndBytes = 4;

}  // namespace

RequestFramer::RequestFramer(std::size_t max_request_bytes)
    : max_request_bytes_(static_cast<qsizetype>(max_request_bytes)) {}

qsizetype RequestFramer::wanted() const {
  switch (state_) {
    case State::kEmpty:
    case State::kHeader:
      return std::min(kMaxHeaderBytes, max_request_bytes_) - buf_.size();
    case State::kBody:
      return request_bytes_ - buf_.size();
    case State::kComplete:
    case State::kRefused:
      break;
  }
  return 0;
}

RequestFramer::State RequestFramer::Append(const QByteArray& bytes) {
  buf_.append(bytes);
  Evaluate();
  return state_;
}

QByteArray RequestFramer::Take() {
  QByteArray request = buf_.left(request_bytes_);
  buf_.remove(0, request_bytes_);
  request_bytes_ = 0;
  searched_ = 0;
  state_ = State::kEmpty;
  Evaluate();
  return request;
}

void RequestFramer::Evaluate() {
  if (state_ == State::kRefused) return;
  if (request_bytes_ == 0) ReadHead();
  if (state_ == State::kRefused || request_bytes_ == 0) return;
  state_ = buf_.size() >= request_bytes_ ? State::kComplete : State::kBody;
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
  if (head_.content_length > max_request_bytes_ - header_bytes) return Refuse(kContentTooLarge);
  request_bytes_ = header_bytes + head_.content_length;
}

void RequestFramer::Refuse(int status) {
  state_ = State::kRefused;
  refusal_status_ = status;
  buf_.clear();
}

}  // namespace coltsfoottide::http
