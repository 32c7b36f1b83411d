#pragma once

#include <ostream>
#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// Returns the output of a task as is if it is UTF-8 without control characters,
// otherwise as "base64:...".
std::string OutputText(const std::string& output);

// Returns "VERDICT, REASON: message".
std::string ErrorText(const api::Error& error);

// Prints an answer: its state, error and times, and one line for each result.
void PrintAnswer(const api::JobAnswer& answer, std::ostream& out);

}  // namespace coltsfoottide::console
