#pragma once

#include <QByteArray>
#include <cstddef>
#include <string>

#include "request_head.h"

namespace coltsfoottide::http {

// Splits a byte stream into HTTP/1.1 requests and refuses those that the server
// does not accept. Holds one request, and after it at most as many bytes as a
// header may have.
class RequestFramer {
 public:
  enum class State {
    kEmpty,     // no byte of a request
    kHeader,    // part of a header
    kBody,      // a whole header, part of a body
    kComplete,  // at least one whole request
    kRefused,   // not acceptable, see refusal_status()
  };

  // Limit of one header; longer ones are refused with 431.
  static constexpr qsizetype kMaxHeaderBytes = 32 * 1024;

  // One complete request.
  struct Complete {
    // The request line and header fields, with the empty line after them.
    QByteArray header;
    std::string body;
  };

  // `max_request_bytes` limits the header and body of one request together.
  explicit RequestFramer(std::size_t max_request_bytes);

  // Limits the bodies whose header is read from now on.
  void set_max_body_bytes(std::size_t n) { max_body_bytes_ = n; }

  // Largest number of bytes that may be appended within the limits.
  qsizetype wanted() const;

  // Appends bytes and returns the new state.
  State Append(QByteArrayView bytes);

  // Removes and returns the complete request; bytes after it are kept. Requires
  // kComplete.
  Complete Take();

  // Bytes of memory that are held, and in kBody those that the rest of the body needs.
  std::size_t held_bytes() const;

  State state() const { return state_; }
  // Valid in kBody and kComplete.
  const RequestHead& head() const { return head_; }
  // HTTP status of the refusal.
  int refusal_status() const { return refusal_status_; }

 private:
  void Evaluate();
  void ReadHead();
  void Refuse(int status);

  qsizetype max_request_bytes_;
  std::size_t max_body_bytes_;
  // What has been received, without header_ and body_.
  QByteArray buf_;
  QByteArray header_;
  std::string body_;
  // Offset up to which no header end was found.
  qsizetype searched_ = 0;
  State state_ = State::kEmpty;
  RequestHead head_;
  int refusal_status_ = 0;
};

}  // namespace coltsfoottide::http
