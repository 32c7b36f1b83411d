#pragma once

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QObject>
#include <QPointer>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "coltsfoottide/http/client.h"
#include "upload_device.h"

namespace coltsfoottide::http {

// One request of the client, from its queue to its answer. The time limit
// runs from the construction.
class Call : public QObject {
 public:
  // `on_end` is called once, before `done`, so that the client can start the
  // next call.
  struct Callbacks {
    std::function<void(Call&)> on_end;
    std::function<void(ClientResponse)> done;
  };

  // A call without a body is a GET.
  Call(const QNetworkRequest& request, std::unique_ptr<UploadDevice> body,
       std::chrono::milliseconds time_limit, Callbacks callbacks);
  ~Call() override;

  // Hands the request to Qt; requests with the same lane share up to 6
  // connections.
  void Start(QNetworkAccessManager& manager, int lane);

  // -1 while queued.
  int lane() const { return lane_; }

 private:
  void OnFinished();
  void OnTimeout();
  void End(ClientResponse response);
  ClientResponse ReadAnswer();
  Delivery DeliveryOf(QNetworkReply::NetworkError error) const;

  QNetworkRequest request_;
  std::unique_ptr<UploadDevice> body_;
  Callbacks callbacks_;
  QTimer timer_;
  // Null after the manager, its parent, has been destroyed.
  QPointer<QNetworkReply> reply_;
  int lane_ = -1;
  // Attempts to connect, and requests written, as Qt reports them.
  int connects_ = 0;
  int sends_ = 0;
  bool timed_out_ = false;
  bool ended_ = false;
};

}  // namespace coltsfoottide::http
