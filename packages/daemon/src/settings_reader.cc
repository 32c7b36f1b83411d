#include "settings_reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace coltsfoottide::daemon {

namespace {

std::optional<std::int64_t> ToInteger(const std::string& text) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return value;
}

// Elements of "a,b,c"; none for an empty text.
std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string it; std::getline(stream, it, ',');) parts.push_back(it);
  return parts;
}

}  // namespace

SettingsReader::SettingsReader(const toml::table& table, std::string name,
                               const std::vector<SettingOverride>& overrides)
    : table_(table), name_(std::move(name)), overrides_(overrides) {}

const SettingOverride* SettingsReader::FindOverride(const std::string& key) const {
  // The last override of a key wins, as with repeated flags.
  const auto it = std::find_if(overrides_.rbegin(), overrides_.rend(),
                               [&key](const SettingOverride& o) { return o.key == key; });
  return it == overrides_.rend() ? nullptr : &*it;
}

const toml::node* SettingsReader::Find(const std::string& key) {
  known_.insert(key);
  if (error_ || FindOverride(key) != nullptr) return nullptr;
  return table_.get(key);
}

bool SettingsReader::Has(const std::string& key) {
  return FindOverride(key) != nullptr || table_.contains(key);
}

void SettingsReader::Read(const std::string& key, std::string& value) {
  const toml::node* node = Find(key);
  if (const SettingOverride* it = FindOverride(key)) value = it->value;
  if (node == nullptr) return;
  if (!node->is_string()) return Fail(key, "must be a string");
  value = node->as_string()->get();
}

void SettingsReader::Read(const std::string& key, std::vector<std::string>& value) {
  const toml::node* node = Find(key);
  if (const SettingOverride* it = FindOverride(key)) value = Split(it->value);
  if (node == nullptr) return;
  if (!node->is_array()) return Fail(key, "must be an array of strings");
  value.clear();
  for (const toml::node& it : *node->as_array()) {
    if (!it.is_string()) return Fail(key, "must be an array of strings");
    value.push_back(it.as_string()->get());
  }
}

void SettingsReader::Read(const std::string& key, std::uint32_t& value, std::uint32_t min,
                          std::uint32_t max) {
  const toml::node* node = Find(key);
  std::optional<std::int64_t> n;
  if (const SettingOverride* it = FindOverride(key)) {
    n = ToInteger(it->value);
    if (!n) return Fail(key, "must be an integer");
  } else if (node != nullptr) {
    if (!node->is_integer()) return Fail(key, "must be an integer");
    n = node->as_integer()->get();
  }
  if (!n) return;
  if (*n < min || *n > max) {
    return Fail(key, "must be between " + std::to_string(min) + " and " + std::to_string(max));
  }
  value = static_cast<std::uint32_t>(*n);
}

void SettingsReader::Read(const std::string& key, double& value, double min, double max) {
  const toml::node* node = Find(key);
  if (FindOverride(key) != nullptr) return Fail(key, "cannot be given as a flag");
  if (node == nullptr) return;
  const auto number = node->value<double>();
  if (!number) return Fail(key, "must be a number");
  if (!(*number >= min && *number <= max)) {
    return Fail(key, "must be between " + std::to_string(min) + " and " + std::to_string(max));
  }
  value = *number;
}

void SettingsReader::RejectUnknownKeys() {
  for (const SettingOverride& it : overrides_) {
    if (!known_.contains(it.key)) return Fail(it.key, "unknown key");
  }
  // The table is ordered by key, but the error is about the first key in the file.
  const toml::node* first = nullptr;
  std::string first_key;
  for (const auto& [key, node] : table_) {
    if (known_.contains(std::string(key.str()))) continue;
    if (first != nullptr && first->source().begin < node.source().begin) continue;
    first = &node;
    first_key = key.str();
  }
  if (first != nullptr) Fail(first_key, "unknown key");
}

void SettingsReader::Fail(const std::string& key, const std::string& what) {
  if (error_) return;
  if (FindOverride(key) != nullptr) {
    error_ = SettingsError{"flag: --" + key + ": " + what};
    return;
  }
  const toml::node* node = table_.get(key);
  const auto line = node == nullptr ? 1 : node->source().begin.line;
  error_ = SettingsError{name_ + ":" + std::to_string(line) + ": " + key + ": " + what};
}

}  // namespace coltsfoottide::daemon
