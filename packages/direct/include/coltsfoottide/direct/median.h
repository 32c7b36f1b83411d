#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace coltsfoottide::direct {

// Median of at least one value; the mean of the middle two if their number is even.
inline double Median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  if (values.size() % 2 != 0) return *middle;
  return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

}  // namespace coltsfoottide::direct
