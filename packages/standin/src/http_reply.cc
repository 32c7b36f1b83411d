#include "coltsfoottide/standin/http_reply.h"

#include <QJsonDocument>
#include <QString>
#include <QUrlQuery>

namespace coltsfoottide::standin {

http::Response JsonResponse(const QJsonObject& body, int status) {
  http::Response response;
  response.status = status;
  response.body = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
  return response;
}

http::Response ErrorResponse(int status, const std::string& message) {
  return JsonResponse({{"error", QString::fromStdString(message)}}, status);
}

std::uint64_t QueryNumber(const http::Request& request, const std::string& name,
                          std::uint64_t fallback) {
  const QUrlQuery query(QString::fromStdString(request.query));
  bool ok = false;
  const std::uint64_t number = query.queryItemValue(QString::fromStdString(name)).toULongLong(&ok);
  return ok ? number : fallback;
}

}  // namespace coltsfoottide::standin
