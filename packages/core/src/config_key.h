#pragma once

#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Returns the key under which an item's value is stored ("quota/TEAM"), or an
// empty string when the item has no value.
std::string ConfigKey(const api::ConfigItem& item);

}  // namespace coltsfoottide::core
