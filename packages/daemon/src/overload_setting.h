#pragma once

#include <string>

#include "coltsfoottide/direct/overload_policy.h"

namespace coltsfoottide::daemon {

// The policy that the setting `overload_policy` names.
inline direct::OverloadPolicy ToOverloadPolicy(const std::string& setting) {
  return setting == "priority" ? direct::OverloadPolicy::kPriority
                               : direct::OverloadPolicy::kShared;
}

}  // namespace coltsfoottide::daemon
