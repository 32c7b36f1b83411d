#pragma once

#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::schema {

// Makes the error of a refusal or failure.
api::Error MakeError(api::Verdict verdict, api::Reason reason, std::string message);

// Makes the answer of a failed job: state FAILED, the error and no results.
api::JobAnswer MakeFailedAnswer(const api::Ticket& ticket, api::Error error);

}  // namespace coltsfoottide::schema
