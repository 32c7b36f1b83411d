#pragma once

#include <QCoreApplication>
#include <QEventLoop>
#include <chrono>
#include <functional>

namespace coltsfoottide::http {

// Makes the Qt application that timers and sockets need.
void EnsureApplication();

// Runs the event loop until `done` returns true. Returns false after a time limit
// that only a test that hangs reaches.
bool RunUntil(const std::function<bool()>& done);

// Runs the event loop for the given time. Only for checks that something does
// not happen.
void RunFor(std::chrono::milliseconds time);

}  // namespace coltsfoottide::http
