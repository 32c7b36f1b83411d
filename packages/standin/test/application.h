#pragma once

namespace coltsfoottide::standin {

// Makes the Qt application that timers and sockets need, once.
void EnsureApplication();

}  // namespace coltsfoottide::standin
