#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/daemon/settings.h"

namespace coltsfoottide::daemon {

// Reads values from a TOML table; overrides take precedence. Keeps the first
// error and ignores the table after it.
class SettingsReader {
 public:
  SettingsReader(const toml::table& table, std::string name,
                 const std::vector<SettingOverride>& overrides);

  // Whether the file or an override gives the key.
  bool Has(const std::string& key);
  // The Read functions leave the value unchanged if the key is absent.
  void Read(const std::string& key, std::string& value);
  void Read(const std::string& key, std::vector<std::string>& value);
  void Read(const std::string& key, std::uint32_t& value, std::uint32_t min,
            std::uint32_t max = std::numeric_limits<std::uint32_t>::max());
  // Also accepts an integer in the file.
  void Read(const std::string& key, double& value, double min, double max);

  // Records an error for the first key that no Read has asked for.
  void RejectUnknownKeys();
  // Records an error about a key, with the line of its value.
  void Fail(const std::string& key, const std::string& what);

  const std::optional<SettingsError>& error() const { return error_; }

 private:
  const SettingOverride* FindOverride(const std::string& key) const;
  // Marks the key as known. Returns null if it is absent or overridden, or after
  // an error.
  const toml::node* Find(const std::string& key);

  const toml::table& table_;
  const std::string name_;
  const std::vector<SettingOverride>& overrides_;
  std::set<std::string> known_;
  std::optional<SettingsError> error_;
};

}  // namespace coltsfoottide::daemon
