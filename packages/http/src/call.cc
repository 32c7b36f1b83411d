#include "call.h"

#include <utility>

namespace coltsfoottide::http {

namespace {

// QNetworkReply errors from here on are HTTP statuses of a whole answer.
constexpr int kFirstStatusError = 201;

bool IsWholeAnswer(const QNetworkReply& reply) {
  const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const bool status_error =
      reply.error() >= kFirstStatusError && reply.error() != QNetworkReply::ContentReSendError;
  return status != 0 && (reply.error() == QNetworkReply::NoError || status_error);
}

bool IsTruncated(const QNetworkReply& reply, qint64 body_bytes) {
  const QByteArray length = reply.rawHeader("Content-Length");
  return !length.isEmpty() && length.toLongLong() != body_bytes;
}

}  // namespace

Call::Call(const QNetworkRequest& request, std::unique_ptr<UploadDevice> body,
           std::chrono::milliseconds time_limit, Callbacks callbacks)
    : request_(request), body_(std::move(body)), callbacks_(std::move(callbacks)) {
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, [this] { OnTimeout(); });
  timer_.start(time_limit);
}

Call::~Call() {
  if (!reply_) return;
  reply_->disconnect(this);
  reply_->abort();
  // The reply reads the body until it is gone.
  if (body_) body_.release()->setParent(reply_);
  reply_->deleteLater();
}

void Call::Start(QNetworkAccessManager& manager, int lane) {
  lane_ = lane;
  // Part of the key under which Qt finds its connections, otherwise unused
  // without TLS. Qt opens at most 6 connections for each key.
  request_.setPeerVerifyName(QStringLiteral("lane-%1").arg(lane));
  reply_ = body_ ? manager.post(request_, body_.get()) : manager.get(request_);
  connect(reply_, &QNetworkReply::socketStartedConnecting, this, [this] { ++connects_; });
  connect(reply_, &QNetworkReply::requestSent, this, [this] { ++sends_; });
  connect(reply_, &QNetworkReply::finished, this, [this] { OnFinished(); });
}

void Call::OnTimeout() {
  timed_out_ = true;
  if (reply_) return reply_->abort();
  ClientResponse response;
  response.delivery = Delivery::kNotSent;
  response.error = "time limit reached before a connection was free";
  End(std::move(response));
}

void Call::OnFinished() { End(ReadAnswer()); }

ClientResponse Call::ReadAnswer() {
  ClientResponse response;
  response.delivery = DeliveryOf(reply_->error());
  const QByteArray body = IsWholeAnswer(*reply_) ? reply_->readAll() : QByteArray();
  if (!IsWholeAnswer(*reply_) || IsTruncated(*reply_, body.size())) {
    response.error = timed_out_ ? "time limit reached" : reply_->errorString().toStdString();
    return response;
  }
  response.status = reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  response.body = body.toStdString();
  for (const auto& [name, value] : reply_->rawHeaderPairs()) {
    response.headers[name.toLower().toStdString()] = value.toStdString();
  }
  return response;
}

// A refused connection proves that nothing was written only if it was the
// first attempt: Qt also connects again after a kept-alive connection has
// closed under a request that was written to it.
Delivery Call::DeliveryOf(QNetworkReply::NetworkError error) const {
  const bool refused = error == QNetworkReply::ConnectionRefusedError ||
                       error == QNetworkReply::HostNotFoundError ||
                       error == QNetworkReply::UnknownNetworkError;
  const bool written = sends_ > 0 || (body_ && body_->touched());
  return refused && connects_ > 0 && !written ? Delivery::kNotSent : Delivery::kMaybeSent;
}

void Call::End(ClientResponse response) {
  if (std::exchange(ended_, true)) return;
  timer_.stop();
  auto done = std::move(callbacks_.done);
  callbacks_.on_end(*this);
  done(std::move(response));
}

}  // namespace coltsfoottide::http
