#include <random>

#include "coltsfoottide/core/placement.h"

namespace coltsfoottide::core {
namespace {

class RandomPlacement : public Placement {
 public:
  explicit RandomPlacement(std::uint64_t seed) : random_(seed) {}

  PlacementDecision Place(const std::vector<WorkerView>& eligible,
                          const std::string& /*own_data_centre*/, api::JobClass /*job_class*/,
                          const std::vector<std::string>& /*tried*/, TimePoint /*now*/) override {
    PlacementDecision decision;
    if (!eligible.empty()) {
      std::uniform_int_distribution<std::size_t> index(0, eligible.size() - 1);
      decision.reserve.push_back(eligible[index(random_)].endpoint);
    }
    return decision;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<Placement> MakeRandomPlacement(std::uint64_t seed) {
  return std::make_unique<RandomPlacement>(seed);
}

}  // namespace coltsfoottide::core
