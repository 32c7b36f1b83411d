#include "coltsfoottide/console/load_target.h"

#include <QEventLoop>
#include <algorithm>
#include <vector>

#include "coltsfoottide/console/boot_time.h"

namespace coltsfoottide::console {
namespace {

constexpr int kRoundTripSamples = 41;
constexpr int kHttpOk = 200;
constexpr std::chrono::milliseconds kCallTimeout{2000};

// Makes one call; returns whether it was answered with status 200.
bool Get(http::Client& client, const std::string& url) {
  bool ok = false;
  bool done = false;
  QEventLoop loop;
  client.Get(url, kCallTimeout, [&](const http::ClientResponse& reply) {
    ok = reply.status == kHttpOk;
    done = true;
    loop.quit();
  });
  if (!done) {
    loop.exec();
  }
  return ok;
}

}  // namespace

std::optional<core::Duration> MeasureRoundTrip(http::Client& client, const std::string& url) {
  // The first call opens the connection and is not counted.
  if (!Get(client, url)) {
    return std::nullopt;
  }
  std::vector<core::Duration> times;
  for (int n = 0; n < kRoundTripSamples; ++n) {
    const core::TimePoint before = BootTime();
    if (!Get(client, url)) {
      return std::nullopt;
    }
    times.push_back(BootTime() - before);
  }
  std::nth_element(times.begin(), times.begin() + kRoundTripSamples / 2, times.end());
  return times[kRoundTripSamples / 2];
}

std::optional<std::uint32_t> CountSlots(EntryClient& client, const std::string& service) {
  api::ListWorkersResponse response;
  const auto result =
      client.Call("Operator/ListWorkers", api::ListWorkersRequest(), &response, kCallTimeout);
  if (result.outcome != CallOutcome::kAnswered) {
    return std::nullopt;
  }
  std::uint32_t slots = 0;
  for (const api::WorkerInfo& worker : response.workers()) {
    if (worker.service() == service && worker.state() == api::SERVING) {
      slots += worker.slots();
    }
  }
  return slots;
}

}  // namespace coltsfoottide::console
