#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Run times of tasks by service and task kind, learned from results. Declared
// run times may be far off and are used only until enough results exist.
class RunTimeModel {
 public:
  // Run time estimate for one kind of task.
  struct Estimate {
    Duration mean{};
    // 5% quantile; zero until learned.
    Duration low{};
    // 95% quantile; twice the mean until learned.
    Duration high{};
    bool learned = false;
  };

  // Adds the run time of a finished task.
  void Add(const std::string& service, const std::string& kind, Duration run_time);

  // Returns the estimate; `declared` is used until one is learned, and zero
  // means that the task declares no run time.
  Estimate Get(const std::string& service, const std::string& kind, Duration declared) const;

  std::size_t size() const { return kinds_.size(); }

 private:
  static constexpr std::size_t kMaxSamples = 64;
  struct Kind {
    std::array<Duration, kMaxSamples> samples{};
    std::size_t count = 0;
    std::uint64_t last_update = 0;
    Estimate estimate;
  };
  static void UpdateQuantiles(Kind& kind);
  void EvictLeastRecentlyUpdated();

  std::uint64_t updates_ = 0;
  std::map<std::pair<std::string, std::string>, Kind> kinds_;
};

}  // namespace coltsfoottide::core
