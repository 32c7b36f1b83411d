#include <algorithm>
#include <cmath>
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
// Time in which the load of a worker changes by as much as a task's run time
// makes it change; older word says little.
constexpr double kLoadMemoryUs = 300'000;
// Variance of the free slots of a worker, just told and long ago.
constexpr double kFreshVariance = 0.1;
constexpr double kStaleVariance = 4;
// Confidence, in standard deviations, at which a worker of the own data centre
// is preferred to one that is more likely to have a free slot: about 93%.
constexpr double kSure = 1.5;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

double MeanFreeSlots(const std::vector<WorkerView>& views) {
  double sum = 0;
  for (const WorkerView& view : views) {
    sum += view.free_slots;
  }
  return views.empty() ? 0 : sum / static_cast<double>(views.size());
}

// How sure it is that a slot is still free, in standard deviations. What was
// told of the worker fades towards the mean of all workers.
double Confidence(const WorkerView& view, double mean) {
  const double kept = std::exp(-static_cast<double>(view.age.count()) / kLoadMemoryUs);
  const double expected = mean + (view.free_slots - mean) * kept;
  return (expected - 0.5) / std::sqrt(kFreshVariance + kStaleVariance * (1 - kept * kept));
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
    const double mean = MeanFreeSlots(eligible);
    const WorkerView* best = nullptr;
    // Sure and near, then how sure, then chance.
    std::tuple<bool, double, std::uint32_t> best_rank;
    for (const WorkerView& view : eligible) {
      if (UsableSlots(view.free_slots, view.slots, job_class) <= 0 || view.queued > 0 ||
          Contains(tried, view.endpoint)) {
        continue;
      }
      const double confidence = Confidence(view, mean);
      const std::tuple<bool, double, std::uint32_t> rank(
          confidence >= kSure && view.data_centre == own_data_centre, confidence,
          static_cast<std::uint32_t>(random_()));
      if (best == nullptr || rank > best_rank) {
        best = &view;
        best_rank = rank;
      }
    }
    return best == nullptr ? std::string() : best->endpoint;
  }

  // A worker without a queue frees a slot soon; the messages of more
  // reservations are then not worth the little time they would save.
  static std::size_t Reservations(const WorkerView& shortest, api::JobClass job_class) {
    if (shortest.queued == 0) {
      return 1;
    }
    return job_class == api::URGENT ? kUrgentReservations : kBulkReservations;
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
    std::vector<std::string> chosen;
    const std::size_t most = std::min(ranked.size(), kUrgentReservations);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(most),
                      ranked.end());
    for (std::size_t index = 0; index < most; ++index) {
      if (index < Reservations(*std::get<3>(ranked.front()), job_class)) {
        chosen.push_back(std::get<3>(ranked[index])->endpoint);
      }
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
