#include "coltsfoottide/daemon/qt_post.h"

#include <QCoreApplication>
#include <utility>

namespace coltsfoottide::daemon {

void PostToQt(std::function<void()> function) {
  if (QCoreApplication* app = QCoreApplication::instance()) {
    QMetaObject::invokeMethod(app, std::move(function), Qt::QueuedConnection);
  }
}

}  // namespace coltsfoottide::daemon
