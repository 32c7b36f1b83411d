#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottide::console {

// Values of the console's flags; see options.cc for their help.
struct Options {
  // Base URLs of entries, "http://IP:PORT".
  std::vector<std::string> entries;
  bool json = false;

  bool wait = false;
  std::string ticket;
  std::chrono::milliseconds timeout{};

  bool once = false;
  std::chrono::milliseconds interval{};
  std::uint32_t limit = 0;
  std::uint32_t max_deadline_ms = 0;

  // File, or URL of the platform's store, of the configuration that `config check`
  // compares with; empty for none.
  std::string against;

  // Options of `load`.
  double rate = 0;
  double load = 0;
  std::uint64_t seed = 0;
  std::chrono::milliseconds duration{};
  std::string mix;
  std::chrono::milliseconds run_time{};
  // Share of the jobs that are urgent, in place of the mix's own.
  std::optional<double> urgent_share;
  int connections = 0;
  std::vector<std::string> direct;
  std::string history;
  std::string report;
};

// Reads the flags. Entries come from --entry or, when it is empty, from the
// environment variable COLTSFOOTTIDE_ENTRY.
Options ReadOptions();

}  // namespace coltsfoottide::console
