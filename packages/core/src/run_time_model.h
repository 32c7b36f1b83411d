#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Run times of tasks, learned from results by service and task kind. Declared
// run times may be far off and count only until enough results exist.
class RunTimeModel {
 public:
  // What is known of one kind of task.
  struct Estimate {
    Duration mean{};
    // Run time that few tasks undercut; zero until learned.
    Duration low{};
    // Run time that few tasks exceed.
    Duration high{};
    bool learned = false;
  };

  // Takes in the run time of a finished task.
  void Add(const std::string& service, const std::string& kind, Duration run_time);

  Estimate Get(const std::string& service, const std::string& kind, Duration declared) const;

  std::size_t size() const { return kinds_.size(); }

 private:
  static constexpr std::size_t kSamples = 64;
  struct Kind {
    std::array<Duration, kSamples> samples{};
    std::size_t count = 0;
    std::uint64_t touched = 0;
    Estimate estimate;
  };
  static void Refresh(Kind& kind);
  void EvictOldest();

  std::uint64_t touches_ = 0;
  std::map<std::pair<std::string, std::string>, Kind> kinds_;
};

}  // namespace coltsfoottide::core
