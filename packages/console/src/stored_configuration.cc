#include "coltsfoottide/console/stored_configuration.h"

#include <QEventLoop>
#include <optional>
#include <utility>

#include "coltsfoottide/platform/operator_records.h"
#include "coltsfoottide/platform/store_client.h"

namespace coltsfoottide::console {

std::variant<StoredConfiguration, StoredConfigurationError> ReadStoredConfiguration(
    const std::string& url) {
  using Batch = platform::StoreClient::Batch;
  platform::StoreClient store(url);
  std::optional<Batch> batch;
  bool done = false;
  QEventLoop loop;
  store.ReadNewest(platform::kOperatorTopic, [&](std::optional<Batch> read, bool /*expired*/) {
    batch = std::move(read);
    done = true;
    loop.quit();
  });
  if (!done) loop.exec();
  if (!batch) return StoredConfigurationError{"the store gave no answer"};
  for (const platform::KeyedRecord& it : batch->records) {
    if (it.key == platform::kConfigurationKey && !it.value.empty()) {
      return StoredConfiguration{it.value};
    }
  }
  return StoredConfigurationError{"the store has no configuration"};
}

}  // namespace coltsfoottide::console
