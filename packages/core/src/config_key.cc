#include "config_key.h"

namespace coltsfoottide::core {

std::string ConfigKey(const api::ConfigItem& item) {
  switch (item.value_case()) {
    case api::ConfigItem::kService:
      return "service/" + item.service().name();
    case api::ConfigItem::kQuota:
      return "quota/" + item.quota().team();
    case api::ConfigItem::kDataCentre:
      return "data-centre/" + item.data_centre().name();
    case api::ConfigItem::VALUE_NOT_SET:
      return "";
  }
  return "";
}

}  // namespace coltsfoottide::core
