#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoottide::daemon {

enum class Role { kEntry, kAgent, kDirectEntry, kDirectAgent };

// Settings of one daemon process, from a TOML file and flags.
struct Settings {
  Role role = Role::kEntry;
  // "IP:port" for links to other processes of the system.
  std::string listen;
  // "IP:port" at which other processes reach `listen`, if it is another one,
  // e.g. behind a network address translation.
  std::string advertise;
  // "IP:port" for HTTP. Entry: callers, operators, /metrics, /healthz. Agent:
  // /metrics, /healthz. Direct entry: callers. Direct agent: reports of the
  // backend server.
  std::string http_listen;
  std::string data_centre;
  std::string rack;
  std::string log_level = "info";
  // Link endpoints of the entries. An agent sends renewals to the first 4; an
  // entry exchanges status with all but itself; direct roles connect to all.
  std::vector<std::string> entries;

  // Entry and direct roles: base URL of the platform's log or store,
  // "http://IP:port".
  std::string log_url;

  // Agent and direct agent: base URL of the backend server.
  std::string backend_url;
  // Agent: its service and resources. Direct agent: the service of its backend
  // server, or empty; reports of other services are ignored.
  std::string service;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint32_t cpu_millicores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  // "hybrid" or "random".
  std::string placement = "hybrid";
  // All roles: time limit of a graceful stop.
  std::chrono::milliseconds drain_limit = std::chrono::seconds(30);

  // Direct entry: "IP:port" for the load balancer's readiness probes.
  std::string ready_listen;
  // Direct roles: "IP:port" for /metrics, or empty.
  std::string metrics_listen;
  // Direct roles: longest lease of the backend server, and the time it takes to
  // stop a run.
  std::chrono::milliseconds lease = std::chrono::seconds(1);
  std::chrono::milliseconds stop_time = std::chrono::milliseconds(50);
  // Direct entry: time within which a change of the configuration has to be in force.
  std::chrono::milliseconds configuration_limit = std::chrono::seconds(2);
  // Direct entry: factor by which a task takes longer away from its data.
  double far_factor = 1.0;
  // Direct entry: limit of the process's processor use, in cores; absent if there is none.
  std::optional<double> cpu_share;
  // Direct roles: what is delayed or refused under overload, "shared" (all jobs alike) or
  // "priority" (less urgent ones first).
  std::string overload_policy = "shared";
  // Direct entry: "measured" places tasks by the speeds of backend servers that differ lastingly,
  // "ignored" does not.
  std::string backend_speeds = "ignored";
  // Direct roles: memory of the machine or process, or 0 for the limit of its cgroup or
  // resources.
  std::uint32_t memory_limit_mb = 0;
};

struct SettingsError {
  // One line: "FILE:LINE: KEY: what is wrong".
  std::string message;
};

// One setting given as a flag, e.g. {"listen", "127.0.0.1:7000"}.
struct SettingOverride {
  std::string key;
  std::string value;
};

// Reads a TOML file and applies the overrides. An unknown key, a wrong type,
// a value out of range and a missing required key are errors.
std::variant<Settings, SettingsError> LoadSettings(const std::string& path,
                                                   const std::vector<SettingOverride>& overrides);

// Same, from text; `name` is used as the file name in messages.
std::variant<Settings, SettingsError> ParseSettings(const std::string& text,
                                                    const std::string& name,
                                                    const std::vector<SettingOverride>& overrides);

}  // namespace coltsfoottide::daemon
