#pragma once

#include <string>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Makes the log record of a validated change.
wire::LogRecord MakeChangeRecord(const std::string& change_id,
                                 const api::ChangeConfigRequest& request);

}  // namespace coltsfoottide::core
