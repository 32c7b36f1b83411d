#include "coltsfoottide/console/workload_mix.h"

#include <cmath>

namespace coltsfoottide::console {
namespace {

// Zipf distribution of the teams: the n-th team has a weight of n^-1.1.
constexpr double kZipfExponent = 1.1;

std::vector<TeamShare> ZipfTeams(const std::vector<std::string>& names) {
  std::vector<TeamShare> teams;
  for (std::size_t n = 0; n < names.size(); ++n) {
    teams.push_back({names[n], std::pow(static_cast<double>(n + 1), -kZipfExponent)});
  }
  return teams;
}

WorkloadMix MakeAtlas() {
  WorkloadMix mix;
  mix.name = "atlas";
  mix.service = "match-review";
  mix.kinds = {{"clip-lookup", 0.35, 70, 0.25},
               {"offside-check", 0.30, 120, 0.30},
               {"pose-track", 0.25, 180, 0.35},
               {"render", 0.10, 450, 0.35}};
  mix.teams = ZipfTeams({"coaches", "analysts", "broadcast", "referees", "scouting", "academy"});
  mix.shapes = {.single = 0.35, .chain = 0.20, .fan = 0.30, .layered = 0.148, .wide = 0.002};
  mix.wide_min = 60;
  mix.wide_max = 218;
  mix.urgent_share = 0.8;
  mix.tail_share = 0.005;
  return mix;
}

WorkloadMix MakeInzira() {
  WorkloadMix mix;
  mix.name = "inzira";
  mix.service = "phrase-translation";
  mix.kinds = {{"segment", 0.20, 60, 0.25},
               {"translate", 0.60, 220, 0.40},
               {"glossary", 0.10, 90, 0.30},
               {"review", 0.10, 500, 0.35}};
  mix.teams =
      ZipfTeams({"newsroom", "courts", "clinics", "radio", "schools", "archive", "tourism"});
  mix.shapes = {.single = 0.30, .chain = 0.15, .fan = 0.30, .layered = 0.20, .wide = 0.05};
  mix.wide_min = 20;
  mix.wide_max = 218;
  mix.urgent_share = 0.3;
  mix.tail_share = 0.01;
  return mix;
}

WorkloadMix MakeSingle(std::chrono::milliseconds run_time) {
  WorkloadMix mix;
  mix.name = "single";
  mix.service = "match-review";
  mix.kinds = {{"single", 1, static_cast<double>(run_time.count()), 0}};
  mix.teams = {{"single", 1}};
  mix.shapes = {.single = 1};
  mix.urgent_share = 1;
  mix.fixed_run_time = run_time;
  return mix;
}

}  // namespace

std::optional<WorkloadMix> MakeMix(const std::string& name, std::chrono::milliseconds run_time) {
  if (name == "atlas") {
    return MakeAtlas();
  }
  if (name == "inzira") {
    return MakeInzira();
  }
  if (name == "single") {
    return MakeSingle(run_time);
  }
  return std::nullopt;
}

}  // namespace coltsfoottide::console
