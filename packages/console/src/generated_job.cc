#include "coltsfoottide/console/generated_job.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "coltsfoottide/console/critical_path.h"
#include "coltsfoottide/console/seeded_random.h"

namespace coltsfoottide::console {
namespace {

using std::chrono::milliseconds;

constexpr int kMinRunMs = 50;
constexpr int kMaxRunMs = 1000;
constexpr int kMaxTailRunMs = 4000;
constexpr milliseconds kUrgentSlack{1000};
constexpr milliseconds kBulkSlack{60'000};
constexpr int kUrgentPathFactor = 2;
constexpr int kBulkPathFactor = 10;
constexpr double kIdempotentShare = 0.5;
// A declared run time is the actual one times a log-normal factor, and times a
// further 10 for a share of the tasks.
constexpr double kDeclaredSigma = 0.5;
constexpr double kOutlierShare = 0.05;
constexpr std::uint64_t kWorkSampleJobs = 4000;

template <typename Range, typename Weight>
std::size_t DrawIndex(RandomEngine& random, const Range& range, Weight weight) {
  std::vector<double> weights;
  weights.reserve(range.size());
  for (const auto& it : range) {
    weights.push_back(weight(it));
  }
  return boost::random::discrete_distribution<std::size_t>(weights)(random);
}

int DrawInteger(RandomEngine& random, int min, int max) {
  return boost::random::uniform_int_distribution<int>(min, max)(random);
}

bool DrawBool(RandomEngine& random, double share) {
  return boost::random::bernoulli_distribution<>(share)(random);
}

std::string EchoText(std::uint64_t seed, std::uint64_t number, std::uint32_t task) {
  return fmt::format("{}-{}-{}", seed, number, task);
}

// Generates one job.
class JobGenerator {
 public:
  JobGenerator(const WorkloadMix& mix, std::uint64_t seed, std::uint64_t number)
      : mix_(mix), seed_(seed), random_(MakeRandom(seed, number)) {
    generated_.number = number;
  }

  GeneratedJob Generate() {
    api::JobSpec& job = generated_.job;
    job.set_team(
        mix_.teams[DrawIndex(random_, mix_.teams, [](const auto& it) { return it.weight; })].name);
    job.set_service(mix_.service);
    job.set_idempotent(DrawBool(random_, kIdempotentShare));
    const bool wide = AddShape();
    job.set_job_class(!wide && DrawBool(random_, mix_.urgent_share) ? api::URGENT : api::BULK);
    generated_.critical_path = CriticalPath(job, generated_.run_times);
    job.set_deadline_ms(DeadlineMs());
    return std::move(generated_);
  }

 private:
  // Adds the tasks of a random shape; returns whether it is the wide one.
  bool AddShape() {
    const ShapeWeights& shapes = mix_.shapes;
    const std::vector<double> weights = {shapes.single, shapes.chain, shapes.fan, shapes.layered,
                                         shapes.wide};
    const std::size_t shape = DrawIndex(random_, weights, [](double it) { return it; });
    switch (shape) {
      case 0:
        AddTask({});
        break;
      case 1:
        AddChain(DrawInteger(random_, 2, 5));
        break;
      case 2:
        AddFan(DrawInteger(random_, 3, 10));
        break;
      case 3:
        AddLayers();
        break;
      default:
        AddFan(DrawInteger(random_, mix_.wide_min, mix_.wide_max));
        return true;
    }
    return false;
  }

  void AddChain(int length) {
    std::vector<std::uint32_t> previous;
    for (int n = 0; n < length; ++n) {
      previous = {AddTask(previous)};
    }
  }

  void AddFan(int width) {
    const std::uint32_t first = AddTask({});
    std::vector<std::uint32_t> parallel;
    parallel.reserve(static_cast<std::size_t>(width));
    for (int n = 0; n < width; ++n) {
      parallel.push_back(AddTask({first}));
    }
    AddTask(parallel);
  }

  void AddLayers() {
    std::vector<std::uint32_t> previous;
    for (int layer = 0; layer < 3; ++layer) {
      const int width = DrawInteger(random_, 3, 6);
      std::vector<std::uint32_t> current;
      current.reserve(static_cast<std::size_t>(width));
      for (int n = 0; n < width; ++n) {
        current.push_back(AddTask(DrawDependencies(previous)));
      }
      previous = current;
    }
  }

  std::vector<std::uint32_t> DrawDependencies(const std::vector<std::uint32_t>& layer) {
    if (layer.empty()) {
      return {};
    }
    const int last = static_cast<int>(layer.size()) - 1;
    const std::uint32_t first = layer[static_cast<std::size_t>(DrawInteger(random_, 0, last))];
    const std::uint32_t second = layer[static_cast<std::size_t>(DrawInteger(random_, 0, last))];
    return first == second ? std::vector{first} : std::vector{first, second};
  }

  std::uint32_t AddTask(const std::vector<std::uint32_t>& depends_on) {
    const auto index = static_cast<std::uint32_t>(generated_.job.tasks_size());
    const TaskKind& kind =
        mix_.kinds[DrawIndex(random_, mix_.kinds, [](const auto& it) { return it.weight; })];
    const milliseconds run_time = DrawRunTime(kind);
    api::TaskSpec* const task = generated_.job.add_tasks();
    task->set_kind(kind.name);
    task->set_declared_ms(DrawDeclaredMs(run_time));
    task->set_payload(fmt::format(R"({{"run_ms":{},"echo":"{}"}})", run_time.count(),
                                  EchoText(seed_, generated_.number, index)));
    task->mutable_depends_on()->Add(depends_on.begin(), depends_on.end());
    generated_.run_times.push_back(run_time);
    generated_.work += run_time;
    return index;
  }

  milliseconds DrawRunTime(const TaskKind& kind) {
    if (mix_.fixed_run_time) {
      return *mix_.fixed_run_time;
    }
    if (DrawBool(random_, mix_.tail_share)) {
      return milliseconds(DrawInteger(random_, kMaxRunMs, kMaxTailRunMs));
    }
    boost::random::lognormal_distribution<> distribution(std::log(kind.median_ms), kind.sigma);
    const auto ms = static_cast<int>(std::lround(distribution(random_)));
    return milliseconds(std::clamp(ms, kMinRunMs, kMaxRunMs));
  }

  std::uint32_t DrawDeclaredMs(milliseconds run_time) {
    boost::random::lognormal_distribution<> error(0, kDeclaredSigma);
    const double factor = error(random_) * (DrawBool(random_, kOutlierShare) ? 10 : 1);
    return static_cast<std::uint32_t>(static_cast<double>(run_time.count()) * factor) + 1;
  }

  std::uint32_t DeadlineMs() const {
    const bool urgent = generated_.job.job_class() == api::URGENT;
    const milliseconds deadline = urgent
                                      ? generated_.critical_path * kUrgentPathFactor + kUrgentSlack
                                      : generated_.critical_path * kBulkPathFactor + kBulkSlack;
    return static_cast<std::uint32_t>(deadline.count());
  }

  const WorkloadMix& mix_;
  std::uint64_t seed_;
  RandomEngine random_;
  GeneratedJob generated_;
};

}  // namespace

GeneratedJob GenerateJob(const WorkloadMix& mix, std::uint64_t seed, std::uint64_t number) {
  return JobGenerator(mix, seed, number).Generate();
}

std::string ExpectedResult(std::uint64_t seed, std::uint64_t number, std::uint32_t task) {
  return R"({"echo":")" + EchoText(seed, number, task) + "\"}";
}

std::chrono::duration<double> MeanWork(const WorkloadMix& mix, std::uint64_t seed) {
  std::chrono::duration<double> sum{};
  for (std::uint64_t n = 0; n < kWorkSampleJobs; ++n) {
    sum += GenerateJob(mix, seed, n).work;
  }
  return sum / static_cast<double>(kWorkSampleJobs);
}

}  // namespace coltsfoottide::console
