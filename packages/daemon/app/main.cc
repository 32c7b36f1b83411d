#include "coltsfoottide/daemon/daemon_main.h"
#include "coltsfoottide/daemon/runtime_hooks.h"

int main(int argc, char** argv) { return coltsfoottide::daemon::DaemonMain(argc, argv, {}); }
