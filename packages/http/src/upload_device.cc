#include "upload_device.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace coltsfoottide::http {

UploadDevice::UploadDevice(std::string body) : body_(std::move(body)) {
  open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 UploadDevice::bytesAvailable() const { return remaining(); }

bool UploadDevice::seek(qint64 /*pos*/) {
  touched_ = true;
  return false;
}

bool UploadDevice::reset() {
  touched_ = true;
  return false;
}

qint64 UploadDevice::readData(char* data, qint64 max_size) {
  touched_ = true;
  if (remaining() == 0) return -1;
  const qint64 n = std::min(max_size, remaining());
  std::memcpy(data, body_.data() + read_, static_cast<std::size_t>(n));
  read_ += n;
  return n;
}

qint64 UploadDevice::writeData(const char* /*data*/, qint64 /*size*/) { return -1; }

}  // namespace coltsfoottide::http
