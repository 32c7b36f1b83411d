#pragma once

namespace coltsfoottide::http {

// One connection whose memory a MemoryBudget counts. The functions are called from
// MemoryBudget::Advance, the second one also from ReclaimExcess, and may use the budget.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;

  // The bytes that the holder waited for are reserved now.
  virtual void OnMemoryReserved() = 0;

  // The holder has to release all that it holds and close, at once or soon.
  virtual void OnMemoryReclaimed() = 0;
};

}  // namespace coltsfoottide::http
