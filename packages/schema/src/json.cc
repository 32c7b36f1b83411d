#include "coltsfoottide/schema/json.h"

#include <google/protobuf/util/json_util.h>

namespace coltsfoottide::schema {

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string json;
  const auto status = google::protobuf::util::MessageToJsonString(message, &json, options);
  return status.ok() ? json : std::string("{}");
}

std::optional<std::string> FromJson(const std::string& json, google::protobuf::Message* message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = false;
  const auto status = google::protobuf::util::JsonStringToMessage(json, message, options);
  if (status.ok()) {
    return std::nullopt;
  }
  return status.ToString();
}

}  // namespace coltsfoottide::schema
