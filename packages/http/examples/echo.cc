// A server that returns each request's body, and one call to it.

#include <QCoreApplication>
#include <iostream>

#include "coltsfoottide/http/client.h"
#include "coltsfoottide/http/server.h"

namespace http = coltsfoottide::http;

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);

  std::unique_ptr<http::Server> server;
  http::ServerCallbacks callbacks;
  callbacks.on_request = [&](const http::Request& request) {
    http::Response response;
    response.body = request.body;
    server->Respond(request.id, response);
  };
  auto made = http::MakeServer("127.0.0.1", 0, {}, callbacks);
  if (const auto* error = std::get_if<http::ServerError>(&made)) {
    std::cerr << error->message << "\n";
    return 1;
  }
  server = std::move(std::get<0>(made));

  const auto client = http::MakeClient(6);
  const std::string url = "http://127.0.0.1:" + std::to_string(server->port()) + "/echo";
  client->Post(url, {}, "hello", std::chrono::seconds(10), [](const http::ClientResponse& it) {
    std::cout << it.status << " " << it.body << "\n";
    QCoreApplication::exit(it.status == 200 ? 0 : 1);
  });
  return QCoreApplication::exec();
}
