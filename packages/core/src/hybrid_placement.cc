#include <algorithm>
#include <cmath>
#include <random>
#include <tuple>

#include "coltsfoottide/core/placement.h"
#include "usable_slots.h"

namespace coltsfoottide::core {
namespace {

// BUSY answers to Starts of a task after which reservations are made for it.
constexpr std::size_t kMaxDirectTries = 2;
constexpr std::size_t kBulkReservations = 2;
constexpr std::size_t kUrgentReservations = 3;
// Time constant, in microseconds, with which a load report decays. It is about
// the run time of a task, after which the load of a worker has changed too much
// for the report to be useful.
constexpr double kLoadDecayUs = 300'000;
// Variance of a worker's free slots for a new and for an old load report.
constexpr double kFreshVariance = 0.1;
constexpr double kStaleVariance = 4;
// Confidence, in standard deviations, from which a worker of the own data
// centre is preferred to one that is more likely to have a free slot: about
// 93%.
constexpr double kLocalConfidence = 1.5;

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

// Confidence that a slot is still free, in standard deviations. The expected
// free slots decay from the reported value towards the mean of all workers.
double Confidence(const WorkerView& view, double mean) {
  const double weight = std::exp(-static_cast<double>(view.report_age.count()) / kLoadDecayUs);
  const double expected = mean + (view.free_slots - mean) * weight;
  return (expected - 0.5) / std::sqrt(kFreshVariance + kStaleVariance * (1 - weight * weight));
}

class HybridPlacement : public Placement {
 public:
  explicit HybridPlacement(std::uint64_t seed) : random_(seed) {}

  PlacementDecision Place(const std::vector<WorkerView>& eligible,
                          const std::string& own_data_centre, api::JobClass job_class,
                          const std::vector<std::string>& tried, TimePoint /*now*/) override {
    PlacementDecision decision;
    if (tried.size() < kMaxDirectTries) {
      decision.start = ChooseFreeWorker(eligible, own_data_centre, job_class, tried);
    }
    if (decision.start.empty()) {
      decision.reserve = ChooseReservations(eligible, own_data_centre, job_class);
    }
    return decision;
  }

 private:
  std::string ChooseFreeWorker(const std::vector<WorkerView>& eligible,
                               const std::string& own_data_centre, api::JobClass job_class,
                               const std::vector<std::string>& tried) {
    const double mean = MeanFreeSlots(eligible);
    const WorkerView* best = nullptr;
    // Sufficient confidence in the own data centre, then confidence, then random.
    std::tuple<bool, double, std::uint32_t> best_rank;
    for (const WorkerView& view : eligible) {
      if (UsableSlots(view.free_slots, view.slots, job_class) <= 0 || view.queued > 0 ||
          Contains(tried, view.endpoint)) {
        continue;
      }
      const double confidence = Confidence(view, mean);
      const std::tuple<bool, double, std::uint32_t> rank(
          confidence >= kLocalConfidence && view.data_centre == own_data_centre, confidence,
          static_cast<std::uint32_t>(random_()));
      if (best == nullptr || rank > best_rank) {
        best = &view;
        best_rank = rank;
      }
    }
    return best == nullptr ? std::string() : best->endpoint;
  }

  // A worker without a queue frees a slot soon, so further reservations would
  // cost more messages than the little time they save is worth.
  static std::size_t ReservationCount(const WorkerView& shortest, api::JobClass job_class) {
    if (shortest.queued == 0) {
      return 1;
    }
    return job_class == api::URGENT ? kUrgentReservations : kBulkReservations;
  }

  std::vector<std::string> ChooseReservations(const std::vector<WorkerView>& eligible,
                                              const std::string& own_data_centre,
                                              api::JobClass job_class) {
    // Queue length per slot, then own data centre first, then random.
    std::vector<std::tuple<double, bool, std::uint32_t, const WorkerView*>> ranked;
    ranked.reserve(eligible.size());
    for (const WorkerView& view : eligible) {
      const double load = (view.queued - static_cast<double>(view.free_slots)) /
                          std::max<std::uint32_t>(1, view.slots);
      ranked.emplace_back(load, view.data_centre != own_data_centre,
                          static_cast<std::uint32_t>(random_()), &view);
    }
    std::vector<std::string> chosen;
    const std::size_t limit = std::min(ranked.size(), kUrgentReservations);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(limit),
                      ranked.end());
    for (std::size_t index = 0; index < limit; ++index) {
      if (index < ReservationCount(*std::get<3>(ranked.front()), job_class)) {
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
