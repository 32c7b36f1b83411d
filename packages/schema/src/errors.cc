#include "coltsfoottide/schema/errors.h"

#include <utility>

namespace coltsfoottide::schema {

api::Error MakeError(api::Verdict verdict, api::Reason reason, std::string message) {
  api::Error error;
  error.set_verdict(verdict);
  error.set_reason(reason);
  error.set_message(std::move(message));
  return error;
}

api::JobAnswer MakeFailedAnswer(const api::Ticket& ticket, api::Error error) {
  api::JobAnswer answer;
  *answer.mutable_ticket() = ticket;
  answer.set_state(api::FAILED);
  *answer.mutable_error() = std::move(error);
  return answer;
}

}  // namespace coltsfoottide::schema
