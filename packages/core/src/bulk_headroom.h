#pragma once

#include <cstdint>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Free slots of a worker that a task of the class may take. Bulk leaves one
// slot of each worker with two or more to urgent tasks.
inline int UsableSlots(int free_slots, std::uint32_t slots, api::JobClass job_class) {
  return free_slots - (job_class == api::BULK && slots >= 2 ? 1 : 0);
}

}  // namespace coltsfoottide::core
