#pragma once

namespace coltsfoottide::daemon {

struct RuntimeHooks;

// The main function of a daemon: reads flags and settings and runs the role
// until the stop signal. Returns the exit status: 0, or 2 if the start failed.
int DaemonMain(int argc, char** argv, const RuntimeHooks& hooks);

}  // namespace coltsfoottide::daemon
