#include "quota_allocator.h"

#include <algorithm>
#include <numeric>

namespace coltsfoottide::core {
namespace {

// Divisor of the minimum share. An entry that gets a team's first job must be
// able to admit something before the demands are exchanged.
constexpr double kMinShareDivisor = 20;

}  // namespace

double QuotaShare(const std::vector<double>& demands, std::size_t own) {
  const auto entries = static_cast<double>(demands.size());
  const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
  if (total <= 0) {
    return 1 / entries;
  }
  const double minimum = 1 / (kMinShareDivisor * entries);
  const auto unscaled = [&](double demand) { return std::max(demand / total, minimum); };
  const double unscaled_sum = std::accumulate(
      demands.begin(), demands.end(), 0.0,
      [&](double partial_sum, double demand) { return partial_sum + unscaled(demand); });
  return unscaled(demands[own]) / unscaled_sum;
}

double DemandOf(const std::vector<wire::TeamDemand>& demand, const std::string& team) {
  const auto it = std::find_if(demand.begin(), demand.end(),
                               [&](const wire::TeamDemand& item) { return item.team() == team; });
  return it == demand.end() ? 0 : std::max(0.0, it->starts_per_second());
}

}  // namespace coltsfoottide::core
