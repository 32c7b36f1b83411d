#pragma once

#include <QIODevice>
#include <string>

namespace coltsfoottide::http {

// A request body that can be read once. QNetworkAccessManager sends a request
// again when a kept-alive connection closes under it; to do so it rewinds the
// body, which fails here, so the request ends with an error instead.
class UploadDevice : public QIODevice {
 public:
  explicit UploadDevice(std::string body);

  // Whether any byte was asked for, or a rewind was tried.
  bool touched() const { return touched_; }

  bool isSequential() const override { return true; }
  qint64 bytesAvailable() const override;
  bool atEnd() const override { return remaining() == 0; }
  bool seek(qint64 pos) override;
  bool reset() override;

 protected:
  qint64 readData(char* data, qint64 max_size) override;
  qint64 writeData(const char* data, qint64 size) override;

 private:
  qint64 remaining() const { return static_cast<qint64>(body_.size()) - read_; }

  std::string body_;
  qint64 read_ = 0;
  bool touched_ = false;
};

}  // namespace coltsfoottide::http
