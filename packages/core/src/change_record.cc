#include "change_record.h"

#include "config_key.h"

namespace coltsfoottide::core {

wire::LogRecord MakeChangeRecord(const std::string& change_id,
                                 const api::ChangeConfigRequest& request) {
  wire::LogRecord record;
  if (request.has_remove_entry()) {
    wire::RemoveEntryRecord* removal = record.mutable_remove_entry();
    removal->set_endpoint(request.remove_entry().endpoint());
    removal->set_incarnation(request.remove_entry().incarnation());
    removal->set_change_id(change_id);
    return record;
  }
  wire::ChangeRecord* change = record.mutable_change();
  change->set_change_id(change_id);
  change->set_check_version(request.check_version());
  change->set_expected_version(request.expected_version());
  api::ConfigItem* value = change->mutable_value();
  if (request.has_service()) {
    *value->mutable_service() = request.service();
  } else if (request.has_quota()) {
    *value->mutable_quota() = request.quota();
  } else if (request.has_data_centre()) {
    *value->mutable_data_centre() = request.data_centre();
  }
  value->set_key(ConfigKey(*value));
  change->set_key(value->key());
  return record;
}

}  // namespace coltsfoottide::core
