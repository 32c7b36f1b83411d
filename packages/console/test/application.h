#pragma once

namespace coltsfoottide::console {

// Creates the QCoreApplication that timers and sockets need, if none exists.
void EnsureApplication();

}  // namespace coltsfoottide::console
