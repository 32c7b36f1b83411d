#pragma once

namespace coltsfoottide::console {

// Makes the Qt application that timers and sockets need, once.
void EnsureApplication();

}  // namespace coltsfoottide::console
