#pragma once

namespace coltsfoottide::standin {

// Creates the QCoreApplication that timers and sockets need, if none exists.
void EnsureApplication();

}  // namespace coltsfoottide::standin
