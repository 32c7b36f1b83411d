#pragma once

#include <functional>

namespace coltsfoottide::daemon {

// Queues the function for the event loop of the Qt thread; safe from any thread.
// Dropped if there is no application object any more.
void PostToQt(std::function<void()> function);

}  // namespace coltsfoottide::daemon
