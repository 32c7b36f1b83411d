#pragma once

#include <QEventLoop>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/http/client.h"

namespace coltsfoottide::standin {

// Calls a service in this thread and waits for the answers in an event loop.
class HttpCaller {
 public:
  explicit HttpCaller(std::uint16_t port) : base_("http://127.0.0.1:" + std::to_string(port)) {}

  http::ClientResponse Post(const std::string& path, const std::string& body) {
    return PostAll(path, {body}).front();
  }

  // Sends all bodies concurrently; returns the answers in the order of the bodies.
  std::vector<http::ClientResponse> PostAll(const std::string& path,
                                            const std::vector<std::string>& bodies) {
    std::vector<http::ClientResponse> responses(bodies.size());
    std::size_t pending = bodies.size();
    QEventLoop loop;
    for (std::size_t n = 0; n < bodies.size(); ++n) {
      client_->Post(base_ + path, {{"X-Start-Id", "start-1"}}, bodies[n], kTimeLimit,
                    [&, n](http::ClientResponse response) {
                      responses[n] = std::move(response);
                      if (--pending == 0) {
                        loop.quit();
                      }
                    });
    }
    loop.exec();
    return responses;
  }

  http::ClientResponse Get(const std::string& path) {
    http::ClientResponse result;
    QEventLoop loop;
    client_->Get(base_ + path, kTimeLimit, [&](http::ClientResponse response) {
      result = std::move(response);
      loop.quit();
    });
    loop.exec();
    return result;
  }

 private:
  static constexpr std::chrono::milliseconds kTimeLimit{3000};

  std::string base_;
  std::unique_ptr<http::Client> client_ = http::MakeClient(16);
};

}  // namespace coltsfoottide::standin
