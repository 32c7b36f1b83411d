#include <benchmark/benchmark.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "coltsfoottide/link/link_hub.h"

namespace {

using coltsfoottide::link::LinkCallbacks;
using coltsfoottide::link::LinkHub;
using coltsfoottide::link::MakeNngLinkHub;

std::unique_ptr<LinkHub> MakeHub(std::function<void(std::string)> on_message) {
  LinkCallbacks callbacks;
  callbacks.on_message = std::move(on_message);
  callbacks.on_down = [](const std::string&) {};
  return std::get<0>(MakeNngLinkHub("127.0.0.1:0", std::move(callbacks)));
}

int CountThreads() {
  std::ifstream status("/proc/self/status");
  std::string key;
  while (status >> key) {
    int n = 0;
    if (key == "Threads:" && status >> n) return n;
  }
  return 0;
}

// Round trip of a message of the given size between two hubs of one process.
void MeasureRoundTrip(benchmark::State& state) {
  std::atomic<int> answers = 0;
  const auto caller = MakeHub([&](const std::string&) {
    ++answers;
    answers.notify_one();
  });
  std::unique_ptr<LinkHub> echo;
  echo = MakeHub([&](std::string it) { echo->Send(caller->endpoint(), std::move(it)); });
  const std::string message(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    const int before = answers;
    caller->Send(echo->endpoint(), message);
    answers.wait(before);
  }
  state.counters["threads"] = CountThreads();
  caller->Close();
  echo->Close();
}
BENCHMARK(MeasureRoundTrip)->Arg(200)->Arg(64 * 1024)->UseRealTime();

// Time for 1000 messages in one direction.
void MeasureStream(benchmark::State& state) {
  constexpr int kBatch = 1000;
  std::atomic<int> received = 0;
  const auto receiver = MakeHub([&](const std::string&) {
    if (++received % kBatch == 0) received.notify_one();
  });
  const auto sender = MakeHub([](const std::string&) {});
  const std::string message(200, 'x');
  for (auto _ : state) {
    const int target = received + kBatch;
    for (int i = 0; i < kBatch; ++i) sender->Send(receiver->endpoint(), message);
    for (int n = received; n != target; n = received) received.wait(n);
  }
  state.SetItemsProcessed(state.iterations() * kBatch);
  sender->Close();
  receiver->Close();
}
BENCHMARK(MeasureStream)->UseRealTime();

}  // namespace

BENCHMARK_MAIN();
