#include <iostream>
#include <string>

#include "coltsfoottide/daemon/daemon_main.h"
#include "coltsfoottide/proof/broken_parts.h"

// Runs the daemon with a deliberate fault:
// coltsfoottided-broken VARIANT [flags of coltsfoottided]
int main(int argc, char** argv) {
  const std::string variant = argc > 1 ? argv[1] : "";
  const auto hooks = coltsfoottide::proof::MakeBrokenParts(variant);
  if (!hooks) {
    std::cerr << "coltsfoottided-broken: unknown variant '" << variant << "'" << std::endl;
    return 2;
  }
  argv[1] = argv[0];
  return coltsfoottide::daemon::DaemonMain(argc - 1, argv + 1, *hooks);
}
