#pragma once

#include <functional>

namespace coltsfoottide::daemon {

// Runs the function on the Qt thread soon; safe from any thread. Dropped once
// the application object is gone.
void PostToQt(std::function<void()> function);

}  // namespace coltsfoottide::daemon
