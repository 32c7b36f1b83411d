#include "coltsfoottide/console/options.h"

#include <absl/flags/flag.h>

#include <cstdlib>
#include <sstream>

ABSL_FLAG(std::string, entry, "",
          "URL[,URL]: entries, e.g. http://10.0.0.1:8080 (default: $COLTSFOOTTIDE_ENTRY)");
ABSL_FLAG(bool, json, false, "print JSON, one object a line");
ABSL_FLAG(bool, wait, false, "wait for the answer");
ABSL_FLAG(std::string, ticket, "", "submit with this ticket instead of a new one");
ABSL_FLAG(std::uint32_t, timeout_ms, 30'000,
          "milliseconds to wait for an answer or for a change to be in force");
ABSL_FLAG(bool, once, false, "print one table and exit");
ABSL_FLAG(std::uint32_t, interval_ms, 1000, "milliseconds between refreshes");
ABSL_FLAG(std::uint32_t, limit, 100, "largest number of jobs listed");
ABSL_FLAG(std::uint32_t, max_deadline_ms, 0, "longest deadline of a job, 0 for no limit");
ABSL_FLAG(std::string, against, "",
          "FILE, or http://IP:PORT of the platform's store: configuration to compare with");
ABSL_FLAG(double, rate, 0, "jobs a second");
ABSL_FLAG(double, load, 0, "rate as a share of the slots of the serving workers, e.g. 0.7");
ABSL_FLAG(std::uint64_t, seed, 0, "seed of all random numbers; 0 chooses one and prints it");
ABSL_FLAG(double, duration, 10, "seconds during which jobs are sent");
ABSL_FLAG(std::string, mix, "atlas", "jobs: atlas, inzira, or single (one task each)");
ABSL_FLAG(std::uint32_t, run_ms, 50, "run time of the task of the mix single");
ABSL_FLAG(double, urgent_share, -1, "share of the jobs that are urgent; negative: that of the mix");
ABSL_FLAG(int, connections, 512, "largest number of connections to each entry");
ABSL_FLAG(std::string, direct, "",
          "URL[,URL]: send each task to these backend servers instead of the dispatcher; needs "
          "--mix=single and --rate");
ABSL_FLAG(std::string, history, "", "file for submissions and answers as JSON lines");
ABSL_FLAG(std::string, report, "", "file for the JSON report (default: standard output)");

namespace coltsfoottide::console {
namespace {

std::vector<std::string> SplitUrls(const std::string& text) {
  std::vector<std::string> urls;
  std::istringstream stream(text);
  for (std::string url; std::getline(stream, url, ',');) {
    while (!url.empty() && url.back() == '/') {
      url.pop_back();
    }
    if (!url.empty()) {
      urls.push_back(url.find("://") == std::string::npos ? "http://" + url : url);
    }
  }
  return urls;
}

std::vector<std::string> ReadEntries() {
  const std::string flag = absl::GetFlag(FLAGS_entry);
  const char* const variable = std::getenv("COLTSFOOTTIDE_ENTRY");
  return SplitUrls(flag.empty() && variable != nullptr ? variable : flag);
}

void ReadLoadOptions(Options* options) {
  options->rate = absl::GetFlag(FLAGS_rate);
  options->load = absl::GetFlag(FLAGS_load);
  options->seed = absl::GetFlag(FLAGS_seed);
  options->duration = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(absl::GetFlag(FLAGS_duration)));
  options->mix = absl::GetFlag(FLAGS_mix);
  options->run_time = std::chrono::milliseconds(absl::GetFlag(FLAGS_run_ms));
  if (const double share = absl::GetFlag(FLAGS_urgent_share); share >= 0) {
    options->urgent_share = share;
  }
  options->connections = absl::GetFlag(FLAGS_connections);
  options->direct = SplitUrls(absl::GetFlag(FLAGS_direct));
  options->history = absl::GetFlag(FLAGS_history);
  options->report = absl::GetFlag(FLAGS_report);
}

}  // namespace

Options ReadOptions() {
  Options options;
  options.entries = ReadEntries();
  options.json = absl::GetFlag(FLAGS_json);
  options.wait = absl::GetFlag(FLAGS_wait);
  options.ticket = absl::GetFlag(FLAGS_ticket);
  options.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.once = absl::GetFlag(FLAGS_once);
  options.interval = std::chrono::milliseconds(absl::GetFlag(FLAGS_interval_ms));
  options.limit = absl::GetFlag(FLAGS_limit);
  options.max_deadline_ms = absl::GetFlag(FLAGS_max_deadline_ms);
  options.against = absl::GetFlag(FLAGS_against);
  ReadLoadOptions(&options);
  return options;
}

}  // namespace coltsfoottide::console
