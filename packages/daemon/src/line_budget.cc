#include "line_budget.h"

#include <utility>

namespace coltsfoottide::daemon {

bool LineBudget::Take(bool important, Clock::time_point now) {
  if (second_ == Clock::time_point() || now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    left_ = limits_;
  }
  std::uint32_t& left = important ? left_.important : left_.ordinary;
  if (left == 0) {
    ++left_out_;
    return false;
  }
  --left;
  return true;
}

std::uint64_t LineBudget::TakeLeftOut() { return std::exchange(left_out_, 0); }

}  // namespace coltsfoottide::daemon
