#pragma once

#include <string>
#include <variant>

namespace coltsfoottide::console {

struct StoredConfiguration {
  std::string text;
};

struct StoredConfigurationError {
  std::string message;
};

// Reads the newest configuration from the platform's store at `url`
// ("http://IP:PORT"); runs an event loop on the current Qt thread meanwhile.
std::variant<StoredConfiguration, StoredConfigurationError> ReadStoredConfiguration(
    const std::string& url);

}  // namespace coltsfoottide::console
