#include "coltsfoottide/daemon/logging.h"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <mutex>

#include "json_text.h"
#include "log_rate_limiter.h"

namespace coltsfoottide::daemon {

namespace {

// Several times what an entry logs at 100 jobs per second, and a bound on the
// disk space that a log collector needs.
constexpr LogRateLimiter::Limits kLinesPerSecond{400, 200};
// A pipe that is ready for writing takes PIPE_BUF (4096) bytes at once; the rest
// is for the time and level that spdlog adds.
constexpr std::size_t kMaxLineBytes = 4000;

// Whether a line can be written without waiting.
bool StandardOutputIsReady() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

class JsonLogger : public Logger {
 public:
  JsonLogger(const std::string& level, const std::string& process)
      : process_(QuoteJson(process)),
        logger_("json", std::make_shared<spdlog::sinks::stdout_sink_mt>()) {
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
    const std::lock_guard lock(mutex_);
    // Before the line is formatted: a busy entry logs more than its budget.
    if (!limiter_.TryTake(level >= spdlog::level::warn, LogRateLimiter::Clock::now())) return;
    line_.assign("\"process\":").append(process_).append(",\"event\":");
    AppendQuotedJson(event, line_);
    for (const auto& [name, value] : fields) {
      line_ += ',';
      AppendQuotedJson(name, line_);
      line_ += ':';
      AppendQuotedJson(value, line_);
    }
    if (line_.size() > kMaxLineBytes || !StandardOutputIsReady()) return limiter_.CountDropped();
    logger_.log(level, spdlog::string_view_t(line_.data(), line_.size()));
    if (const std::uint64_t n = limiter_.TakeDropped(); n > 0) {
      logger_.warn("\"process\":{},\"event\":\"lines left out\",\"lines\":{}", process_, n);
    }
  }

  const std::string process_;
  spdlog::logger logger_;
  std::mutex mutex_;
  // The line that is being written; keeps its memory for the next one.
  std::string line_;
  LogRateLimiter limiter_{kLinesPerSecond};
};

}  // namespace

std::unique_ptr<Logger> MakeJsonLogger(const std::string& level, const std::string& process) {
  return std::make_unique<JsonLogger>(level, process);
}

}  // namespace coltsfoottide::daemon
