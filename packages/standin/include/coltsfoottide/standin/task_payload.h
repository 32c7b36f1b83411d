#pragma once

#include <chrono>
#include <string>

namespace coltsfoottide::standin {

// What a stand-in backend server does for one task and answers.
struct TaskPayload {
  std::chrono::milliseconds run_time{50};
  std::string echo;
  // Body of the answer.
  std::string result;
};

// Parses a payload such as {"run_ms":120,"echo":"text"}, whose result is
// {"echo":"text"}. A payload that is not a JSON object runs for 50 ms and is
// returned as the result.
TaskPayload ParseTaskPayload(const std::string& payload);

}  // namespace coltsfoottide::standin
