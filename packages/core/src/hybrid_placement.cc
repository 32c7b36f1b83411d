#include <algorithm>
#include <random>
#include <tuple>

#include "bulk_headroom.h"
#include "coltsfoottide/core/placement.h"

namespace coltsfoottide::core {
namespace {

// Refused Starts of a task after which it is reserved for.
constexpr std::size_t kMaxDirectTries = 2;
constexpr std::size_t kBulkReservations = 2;
constexpr std::size_t kUrgentReservations = 3;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

class HybridPlacement : public Placement {
 public:
  explicit HybridPlacement(std::uint64_t seed) : random_(seed) {}

  PlacementDecision Place(const std::vector<WorkerView>& eligible,
                          const std::string& own_data_centre, api::JobClass job_class,
                          const std::vector<std::string>& tried, TimePoint /*now*/) override {
    PlacementDecision decision;
    if (tried.size() < kMaxDirectTries) {
      decision.start = ChooseFree(eligible, own_data_centre, job_class, tried);
    }
    if (decision.start.empty()) {
      decision.reserve = ChooseQueues(eligible, own_data_centre, job_class);
    }
    return decision;
  }

 private:
  std::string ChooseFree(const std::vector<WorkerView>& eligible,
                         const std::string& own_data_centre, api::JobClass job_class,
                         const std::vector<std::string>& tried) {
    const WorkerView* best = nullptr;
    std::tuple<bool, int, std::uint32_t> best_rank;
    for (const WorkerView& view : eligible) {
      const int usable = UsableSlots(view.free_slots, view.slots, job_class);
      if (usable <= 0 || view.queued > 0 || Contains(tried, view.endpoint)) {
        continue;
      }
      const std::tuple<bool, int, std::uint32_t> rank(view.data_centre == own_data_centre, usable,
                                                      static_cast<std::uint32_t>(random_()));
      if (best == nullptr || rank > best_rank) {
        best = &view;
        best_rank = rank;
      }
    }
    return best == nullptr ? std::string() : best->endpoint;
  }

  std::vector<std::string> ChooseQueues(const std::vector<WorkerView>& eligible,
                                        const std::string& own_data_centre,
                                        api::JobClass job_class) {
    // Queue for each slot, then distance, then chance.
    std::vector<std::tuple<double, bool, std::uint32_t, const WorkerView*>> ranked;
    ranked.reserve(eligible.size());
    for (const WorkerView& view : eligible) {
      const double load = (view.queued - static_cast<double>(view.free_slots)) /
                          std::max<std::uint32_t>(1, view.slots);
      ranked.emplace_back(load, view.data_centre != own_data_centre,
                          static_cast<std::uint32_t>(random_()), &view);
    }
    const std::size_t n =
        std::min(ranked.size(), job_class == api::URGENT ? kUrgentReservations : kBulkReservations);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end());
    std::vector<std::string> chosen;
    for (std::size_t index = 0; index < n; ++index) {
      chosen.push_back(std::get<3>(ranked[index])->endpoint);
    }
    return chosen;
  }

  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<Placement> MakeHybridPlacement(std::uint64_t seed) {
  return std::make_unique<HybridPlacement>(seed);
}

}  // namespace coltsfoottide::core
