#include "application.h"

#include <QCoreApplication>

namespace coltsfoottide::console {

void EnsureApplication() {
  static int argc = 1;
  static char name[] = "test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication application(argc, argv);
}

}  // namespace coltsfoottide::console
