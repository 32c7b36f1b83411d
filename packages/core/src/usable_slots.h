#pragma once

#include <cstdint>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Returns the free slots of a worker that a task of the class may use. On
// workers with two or more slots, bulk tasks leave one slot to urgent tasks.
inline int UsableSlots(int free_slots, std::uint32_t slots, api::JobClass job_class) {
  return free_slots - (job_class == api::BULK && slots >= 2 ? 1 : 0);
}

}  // namespace coltsfoottide::core
