#include "coltsfoottide/daemon/logging.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "json_text.h"

namespace coltsfoottide::daemon {

namespace {

class JsonLogger : public Logger {
 public:
  JsonLogger(const std::string& level, const std::string& process)
      : process_(QuoteJson(process)),
        logger_("json", std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    logger_.set_level(spdlog::level::from_str(level));
    // Everything but time and level is in the message.
    logger_.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
                        spdlog::pattern_time_type::utc);
    logger_.flush_on(spdlog::level::info);
  }

  void Debug(std::string_view event, std::initializer_list<Field> fields) override {
    Log(spdlog::level::debug, event, fields);
  }
  void Info(std::string_view event, std::initializer_list<Field> fields) override {
    Log(spdlog::level::info, event, fields);
  }
  void Warn(std::string_view event, std::initializer_list<Field> fields) override {
    Log(spdlog::level::warn, event, fields);
  }
  void Error(std::string_view event, std::initializer_list<Field> fields) override {
    Log(spdlog::level::err, event, fields);
  }

 private:
  void Log(spdlog::level::level_enum level, std::string_view event,
           std::initializer_list<Field> fields) {
    if (!logger_.should_log(level)) return;
    std::string text = "\"process\":" + process_ + ",\"event\":" + QuoteJson(event);
    for (const auto& [name, value] : fields) {
      text += ',' + QuoteJson(name) + ':' + QuoteJson(value);
    }
    logger_.log(level, spdlog::string_view_t(text.data(), text.size()));
  }

  const std::string process_;
  spdlog::logger logger_;
};

}  // namespace

std::unique_ptr<Logger> MakeJsonLogger(const std::string& level, const std::string& process) {
  return std::make_unique<JsonLogger>(level, process);
}

}  // namespace coltsfoottide::daemon
