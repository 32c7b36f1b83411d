#include "coltsfoottide/daemon/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "address.h"
#include "settings_reader.h"

namespace coltsfoottide::daemon {

namespace {

constexpr std::uint32_t kMaxSlots = 1024;
constexpr std::uint32_t kMaxConnections = 4096;
constexpr std::uint32_t kMaxDrainMs = 600'000;
constexpr std::uint32_t kMaxLeaseMs = 60'000;
constexpr std::uint32_t kMaxConfigurationLimitMs = 60'000;
constexpr double kMaxFarFactor = 100.0;
// Cores. With less than the minimum an entry could not answer a request a second.
constexpr double kMinCpuShare = 0.001;
constexpr double kMaxCpuShare = 1024.0;
constexpr std::size_t kMaxNameBytes = 64;

// Reads a value that must be one of the given words; the key may be absent.
void ReadChoice(SettingsReader& reader, const std::string& key,
                const std::vector<std::string>& words, std::string& value) {
  reader.Read(key, value);
  if (!reader.Has(key) || std::find(words.begin(), words.end(), value) != words.end()) return;
  std::string list;
  for (const std::string& it : words) list += (list.empty() ? "\"" : "\" or \"") + it;
  reader.Fail(key, "must be " + list + "\"");
}

void ReadName(SettingsReader& reader, const std::string& key, std::string& value) {
  reader.Read(key, value);
  if (!reader.Has(key)) return;
  const bool plain = std::all_of(value.begin(), value.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
  if (value.empty() || value.size() > kMaxNameBytes || !plain) {
    reader.Fail(key, "must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
}

void ReadEndpoint(SettingsReader& reader, const std::string& key, std::string& value) {
  reader.Read(key, value);
  if (reader.Has(key) && !IsEndpoint(value, true)) reader.Fail(key, "must be \"IP number:port\"");
}

void ReadUrl(SettingsReader& reader, const std::string& key, std::string& value) {
  reader.Read(key, value);
  if (reader.Has(key) && !IsBaseUrl(value)) {
    reader.Fail(key, "must be \"http://IP number:port\"");
  }
}

void ReadEntries(SettingsReader& reader, std::vector<std::string>& value) {
  reader.Read("entries", value);
  const bool valid = std::all_of(value.begin(), value.end(),
                                 [](const std::string& it) { return IsEndpoint(it, false); });
  if (!valid) reader.Fail("entries", "must be an array of \"IP number:port\"");
}

Role ToRole(const std::string& word) {
  if (word == "agent") return Role::kAgent;
  if (word == "direct-entry") return Role::kDirectEntry;
  if (word == "direct-agent") return Role::kDirectAgent;
  return Role::kEntry;
}

void ReadMilliseconds(SettingsReader& reader, const std::string& key, std::uint32_t max,
                      std::chrono::milliseconds& value) {
  auto ms = static_cast<std::uint32_t>(value.count());
  reader.Read(key, ms, 0, max);
  value = std::chrono::milliseconds(ms);
}

void ReadCommon(SettingsReader& reader, Settings& settings) {
  std::string role;
  ReadChoice(reader, "role", {"entry", "agent", "direct-entry", "direct-agent"}, role);
  settings.role = ToRole(role);
  ReadEndpoint(reader, "listen", settings.listen);
  ReadEndpoint(reader, "advertise", settings.advertise);
  ReadEndpoint(reader, "http_listen", settings.http_listen);
  ReadName(reader, "data_centre", settings.data_centre);
  ReadName(reader, "rack", settings.rack);
  ReadChoice(reader, "log_level", {"debug", "info", "warn", "error"}, settings.log_level);
  ReadEntries(reader, settings.entries);
}

void ReadRoleSpecific(SettingsReader& reader, Settings& settings) {
  ReadUrl(reader, "log_url", settings.log_url);
  ReadUrl(reader, "backend_url", settings.backend_url);
  ReadName(reader, "service", settings.service);
  reader.Read("slots", settings.slots, 1, kMaxSlots);
  reader.Read("connections", settings.connections, 1, kMaxConnections);
  reader.Read("cpu_millicores", settings.cpu_millicores, 0);
  reader.Read("memory_mb", settings.memory_mb, 0);
  reader.Read("accelerators", settings.accelerators, 0);
  ReadChoice(reader, "placement", {"hybrid", "random"}, settings.placement);
  ReadMilliseconds(reader, "drain_limit_ms", kMaxDrainMs, settings.drain_limit);
  ReadEndpoint(reader, "ready_listen", settings.ready_listen);
  ReadEndpoint(reader, "metrics_listen", settings.metrics_listen);
  ReadMilliseconds(reader, "lease_ms", kMaxLeaseMs, settings.lease);
  ReadMilliseconds(reader, "stop_ms", kMaxLeaseMs, settings.stop_time);
  ReadMilliseconds(reader, "configuration_limit_ms", kMaxConfigurationLimitMs,
                   settings.configuration_limit);
  ReadChoice(reader, "overload_policy", {"shared", "priority"}, settings.overload_policy);
  ReadChoice(reader, "backend_speeds", {"ignored", "measured"}, settings.backend_speeds);
  reader.Read("far_factor", settings.far_factor, 1.0, kMaxFarFactor);
  double share = 0;
  reader.Read("cpu_share", share, kMinCpuShare, kMaxCpuShare);
  if (reader.Has("cpu_share")) settings.cpu_share = share;
  reader.Read("memory_limit_mb", settings.memory_limit_mb, 0);
}

void RequireKeys(SettingsReader& reader, Role role) {
  std::vector<std::string> keys = {"role", "listen", "http_listen", "data_centre", "entries"};
  if (role == Role::kEntry) keys.insert(keys.end(), {"log_url"});
  if (role == Role::kAgent) keys.insert(keys.end(), {"rack", "backend_url", "service"});
  if (role == Role::kDirectEntry) keys.insert(keys.end(), {"log_url", "ready_listen", "lease_ms"});
  if (role == Role::kDirectAgent) keys.insert(keys.end(), {"log_url", "backend_url", "lease_ms"});
  for (const std::string& it : keys) {
    if (!reader.Has(it)) return reader.Fail(it, "missing");
  }
}

}  // namespace

std::variant<Settings, SettingsError> ParseSettings(const std::string& text,
                                                    const std::string& name,
                                                    const std::vector<SettingOverride>& overrides) {
  toml::table table;
  try {
    table = toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    return SettingsError{name + ":" + std::to_string(error.source().begin.line) +
                         ": syntax: " + std::string(error.description())};
  }
  SettingsReader reader(table, name, overrides);
  Settings settings;
  ReadCommon(reader, settings);
  ReadRoleSpecific(reader, settings);
  reader.RejectUnknownKeys();
  RequireKeys(reader, settings.role);
  if (reader.error()) return *reader.error();
  return settings;
}

std::variant<Settings, SettingsError> LoadSettings(const std::string& path,
                                                   const std::vector<SettingOverride>& overrides) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file || file.bad()) {
    return SettingsError{path + ":1: file: " + std::strerror(errno)};
  }
  return ParseSettings(text.str(), path, overrides);
}

}  // namespace coltsfoottide::daemon
