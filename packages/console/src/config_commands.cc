#include "coltsfoottide/console/config_commands.h"

#include <charconv>
#include <optional>
#include <random>
#include <string>

#include "coltsfoottide/console/job_output.h"
#include "coltsfoottide/console/progress.h"
#include "coltsfoottide/console/ticket_text.h"
#include "coltsfoottide/schema/json.h"

namespace coltsfoottide::console {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{5000};
// The time limit of the call is --timeout-ms plus this margin: acceptance may take
// 2 s, and resolving an append whose outcome is unknown 10 s.
constexpr milliseconds kChangeTimeoutMargin{15'000};

std::string NewChangeId() {
  std::random_device device;
  const std::uint64_t high = device();
  return FormatIncarnation(high << 32U | device());
}

std::optional<std::uint32_t> ParseCount(const std::string& text) {
  std::uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::uint64_t VersionOf(const api::GetConfigResponse& config, const std::string& key) {
  for (const api::ConfigItem& item : config.items()) {
    if (item.key() == key) {
      return item.version();
    }
  }
  return 0;
}

ExitStatus UsageFailure(CommandContext& context, const std::string& message) {
  context.err << message << '\n';
  return ExitStatus::kUsage;
}

ExitStatus ReportChange(CommandContext& context, const api::ChangeConfigResponse& response) {
  if (context.options.json) {
    context.out << schema::ToJson(response) << std::endl;
  } else if (response.accepted()) {
    context.out << "accepted as version " << response.version()
                << (response.in_force() ? ", in force" : ", not yet in force everywhere") << '\n';
  } else if (response.appended()) {
    context.out << "not accepted, may take effect: " << ErrorText(response.error()) << '\n';
  } else {
    context.out << "not made: " << ErrorText(response.error()) << '\n';
  }
  if (response.accepted()) {
    return ExitStatus::kOk;
  }
  const ExitStatus status = StatusOf(response.error());
  return response.appended() && status == ExitStatus::kNotRun &&
                 response.error().reason() != api::CONFLICT
             ? ExitStatus::kMayHaveRun
             : status;
}

ExitStatus SendChange(CommandContext& context, api::ChangeConfigRequest request) {
  request.set_change_id(NewChangeId());
  request.set_wait_in_force_ms(static_cast<std::uint32_t>(context.options.timeout.count()));
  const auto progress = ShowProgress("the change to be in force");
  api::ChangeConfigResponse response;
  const auto result = context.client.Call("Operator/ChangeConfig", request, &response,
                                          context.options.timeout + kChangeTimeoutMargin);
  if (result.outcome == CallOutcome::kAnswered) {
    return ReportChange(context, response);
  }
  if (result.outcome == CallOutcome::kLost) {
    context.err << "no answer; the change may take effect\n";
    return ExitStatus::kMayHaveRun;
  }
  context.err << "no entry could be reached; nothing was sent\n";
  return ExitStatus::kUnreachable;
}

// Sends a change as a compare-and-set on the current version of `key`.
ExitStatus CompareAndSet(CommandContext& context, const std::string& key,
                         api::ChangeConfigRequest request) {
  api::GetConfigResponse config;
  const auto read =
      context.client.Call("Operator/GetConfig", api::GetConfigRequest(), &config, kCallTimeout);
  if (read.outcome != CallOutcome::kAnswered) {
    context.err << "no entry gave the configuration; no change was sent\n";
    return ExitStatus::kUnreachable;
  }
  request.set_expected_version(VersionOf(config, key));
  request.set_check_version(true);
  return SendChange(context, std::move(request));
}

ExitStatus ChangeZone(CommandContext& context, bool out) {
  api::ChangeConfigRequest request;
  request.mutable_data_centre()->set_name(context.arguments[0]);
  request.mutable_data_centre()->set_out(out);
  return CompareAndSet(context, "data-centre/" + context.arguments[0], std::move(request));
}

}  // namespace

ExitStatus RunZoneOut(CommandContext& context) { return ChangeZone(context, true); }

ExitStatus RunZoneIn(CommandContext& context) { return ChangeZone(context, false); }

ExitStatus RunQuotaSet(CommandContext& context) {
  const std::string& team = context.arguments[0];
  const auto rate = ParseCount(context.arguments[1]);
  const auto burst = context.arguments.size() > 2 ? ParseCount(context.arguments[2]) : 0;
  if (!rate || !burst) {
    return UsageFailure(context, "quota set: STARTS_PER_SECOND and BURST must be whole numbers");
  }
  api::ChangeConfigRequest request;
  request.mutable_quota()->set_team(team);
  request.mutable_quota()->set_starts_per_second(*rate);
  request.mutable_quota()->set_burst(*burst);
  return CompareAndSet(context, "quota/" + team, std::move(request));
}

ExitStatus RunServiceSet(CommandContext& context) {
  api::ChangeConfigRequest request;
  request.mutable_service()->set_name(context.arguments[0]);
  request.mutable_service()->set_max_deadline_ms(context.options.max_deadline_ms);
  return CompareAndSet(context, "service/" + context.arguments[0], std::move(request));
}

ExitStatus RunEntriesRemove(CommandContext& context) {
  const auto incarnation = ParseIncarnation(context.arguments[1]);
  if (!incarnation) {
    return UsageFailure(context, "entries remove: expected an incarnation in hexadecimal digits");
  }
  api::ChangeConfigRequest request;
  request.mutable_remove_entry()->set_endpoint(context.arguments[0]);
  request.mutable_remove_entry()->set_incarnation(*incarnation);
  return SendChange(context, std::move(request));
}

}  // namespace coltsfoottide::console
