#pragma once

#include <optional>
#include <string>

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace coltsfoottide::schema {

// Returns the message as one line of JSON with the field names of the schema,
// including fields with default values; "{}" if it cannot be converted.
std::string ToJson(const google::protobuf::Message& message);

// Parses JSON into the message. Returns an error message, or nothing on success.
// Unknown fields are an error.
std::optional<std::string> FromJson(const std::string& json, google::protobuf::Message* message);

}  // namespace coltsfoottide::schema
