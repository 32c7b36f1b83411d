// Places one task among three workers and prints the decision.
#include "coltsfoottide/core/placement.h"

#include <iostream>

using coltsfoottide::core::MakeHybridPlacement;
using coltsfoottide::core::TimePoint;
using coltsfoottide::core::WorkerView;

int main() {
  std::vector<WorkerView> workers(3);
  workers[0].endpoint = "10.0.0.1:4000";
  workers[0].data_centre = "tanger-a";
  workers[1].endpoint = "10.0.1.1:4000";
  workers[1].data_centre = "rabat-b";
  workers[2].endpoint = "10.0.1.2:4000";
  workers[2].data_centre = "rabat-b";
  for (WorkerView& worker : workers) {
    worker.slots = 8;
  }
  workers[1].free_slots = 2;
  workers[2].free_slots = 5;

  const auto placement = MakeHybridPlacement(1);
  const auto decision =
      placement->Place(workers, "tanger-a", coltsfoottide::api::URGENT, {}, TimePoint());
  std::cout << "start at " << decision.start << "\n";
  return decision.start == "10.0.1.2:4000" ? 0 : 1;
}
