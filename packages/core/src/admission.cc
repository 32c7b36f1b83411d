#include "coltsfoottide/core/admission.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/validation.h"
#include "demand_meter.h"
#include "quota_allocator.h"
#include "ticket_history.h"
#include "token_bucket.h"

namespace coltsfoottide::core {
namespace {

// Number of admitted tickets kept; a caller resubmits within seconds, and an
// entry admits a few thousand jobs a second at most.
constexpr std::size_t kMaxRememberedTickets = 131072;
// Demand below this, in task starts a second, is not reported, and its team need
// not be tracked.
constexpr double kMinReportedDemand = 0.01;
// Largest number of teams tracked. Team names come from callers, so their
// number needs a bound; 140 teams are expected.
constexpr std::size_t kMaxTeams = 4096;

using Refusal = std::optional<api::Error>;

Refusal Refuse(api::Reason reason, std::string message) {
  return schema::MakeError(api::NOT_RUN, reason, std::move(message));
}

std::string Describe(const api::Resources& needs) {
  return std::to_string(needs.cpu_millicores()) + " millicores, " +
         std::to_string(needs.memory_mb()) + " MB and " + std::to_string(needs.accelerators()) +
         " accelerators";
}

Refusal CheckService(const api::JobSpec& job, const ConfigState& config,
                     const Directory& directory) {
  bool known = false;
  directory.CanRun(job.service(), api::Resources(), &known);
  const auto service = config.Service(job.service());
  if (!known && !service) {
    return Refuse(api::UNKNOWN_SERVICE,
                  "service \"" + job.service() + "\" has no worker and no configuration item");
  }
  if (!known) {
    return Refuse(api::NO_WORKER,
                  "service \"" + job.service() + "\" is configured but has no worker now");
  }
  if (service && service->max_deadline_ms() > 0 && job.deadline_ms() > service->max_deadline_ms()) {
    return Refuse(api::DEADLINE_UNREACHABLE,
                  "deadline_ms " + std::to_string(job.deadline_ms()) + " exceeds the " +
                      std::to_string(service->max_deadline_ms()) + " ms that service \"" +
                      job.service() + "\" allows");
  }
  return std::nullopt;
}

Refusal CheckNeeds(const api::JobSpec& job, const Directory& directory) {
  std::vector<std::string> checked;
  for (int n = 0; n < job.tasks_size(); ++n) {
    const api::Resources& needs = job.tasks(n).needs();
    std::string key = Describe(needs);
    if (std::find(checked.begin(), checked.end(), key) != checked.end()) {
      continue;
    }
    bool known = false;
    if (!directory.CanRun(job.service(), needs, &known)) {
      return Refuse(api::IMPOSSIBLE_NEEDS, "task " + std::to_string(n) + " needs " + key +
                                               ", which no known worker of service \"" +
                                               job.service() + "\" offers");
    }
    checked.push_back(std::move(key));
  }
  return std::nullopt;
}

}  // namespace

struct Admission::State {
  struct Team {
    DemandMeter demand;
    // Present while the team has a quota.
    std::optional<TokenBucket> bucket;
    api::QuotaConfig quota;
  };

  // Returns the team's record, added if it is new, or null when there is no room
  // for another.
  Team* FindOrAddTeam(const std::string& name, TimePoint now) {
    const auto it = teams.find(name);
    if (it != teams.end()) {
      return &it->second;
    }
    if (teams.size() >= kMaxTeams) {
      std::erase_if(teams, [&](const auto& team) {
        return !team.second.bucket && team.second.demand.Rate(now) < kMinReportedDemand;
      });
    }
    return teams.size() >= kMaxTeams ? nullptr : &teams[name];
  }

  void SetRate(const std::string& name, const api::QuotaConfig& quota, Team* team,
               TimePoint now) const {
    std::vector<double> demands{team->demand.Rate(now)};
    for (const auto& peer : peer_demand) {
      demands.push_back(DemandOf(peer, name));
    }
    const double share = QuotaShare(demands, 0);
    const double burst = quota.burst() > 0 ? quota.burst() : quota.starts_per_second();
    const bool added = !team->bucket;
    if (added) {
      team->bucket.emplace(start_time);
    }
    // A new bucket is filled for the time since the start of this entry, so that
    // the first job of a team that was idle until now is not refused.
    team->bucket->SetRate(share * quota.starts_per_second(), share * burst,
                          added ? start_time : now);
    team->quota = quota;
  }

  void SetStartTime(TimePoint now) {
    if (start_time == TimePoint{}) {
      start_time = now;
    }
  }

  Refusal TakeQuota(const api::JobSpec& job, const ConfigState& config, TimePoint now) {
    const auto quota = config.Quota(job.team());
    Team* team = FindOrAddTeam(job.team(), now);
    if (team == nullptr) {
      return quota ? Refuse(api::OVERLOADED, "too many teams are active at this entry")
                   : std::nullopt;
    }
    const double tasks = job.tasks_size();
    team->demand.Add(tasks, now);
    if (!quota) {
      team->bucket.reset();
      return std::nullopt;
    }
    const bool changed = team->quota.starts_per_second() != quota->starts_per_second() ||
                         team->quota.burst() != quota->burst();
    if (!team->bucket || changed) {
      SetRate(job.team(), *quota, team, now);
    }
    if (team->bucket->Take(tasks, now)) {
      return std::nullopt;
    }
    std::string message = "team \"" + job.team() + "\" has used its quota of " +
                          std::to_string(quota->starts_per_second()) + " task starts a second";
    const Duration wait = team->bucket->WaitFor(tasks);
    if (wait != Duration::max()) {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
      message += "; this entry can admit the job in " + std::to_string(ms) + " ms";
    }
    return Refuse(api::QUOTA_EXCEEDED, std::move(message));
  }

  // Time of the first call, about when this entry started.
  TimePoint start_time;
  std::map<std::string, Team> teams;
  std::vector<std::vector<wire::TeamDemand>> peer_demand;
  TicketHistory tickets{kMaxRememberedTickets};
};

Admission::Admission() : state_(std::make_unique<State>()) {}

Admission::~Admission() = default;

std::optional<api::Error> Admission::Admit(const api::SubmitRequest& request,
                                           const ConfigState& config, const Directory& directory,
                                           TimePoint now) {
  state_->SetStartTime(now);
  const api::JobSpec& job = request.job();
  if (request.ticket().endpoint().empty()) {
    return Refuse(api::TICKET_REQUIRED, "the submission has no ticket; call ObtainTickets first");
  }
  // The job of an admitted ticket may be running, so a repeated submission is not
  // refused: NOT_RUN might be false.
  if (state_->tickets.Contains(request.ticket())) {
    return std::nullopt;
  }
  if (config.next_offset() == 0) {
    return Refuse(api::NOT_CONFIGURED,
                  "this entry has no configuration yet: the log and other entries are out of "
                  "reach");
  }
  if (auto error = schema::ValidateJob(job)) {
    return error;
  }
  if (auto error = CheckService(job, config, directory)) {
    return error;
  }
  if (auto error = CheckNeeds(job, directory)) {
    return error;
  }
  if (auto error = state_->TakeQuota(job, config, now)) {
    return error;
  }
  state_->tickets.Add(request.ticket());
  return std::nullopt;
}

void Admission::Rebalance(const ConfigState& config,
                          const std::vector<std::vector<wire::TeamDemand>>& peer_demand,
                          TimePoint now) {
  state_->SetStartTime(now);
  state_->peer_demand = peer_demand;
  for (auto& [name, team] : state_->teams) {
    if (const auto quota = config.Quota(name)) {
      state_->SetRate(name, *quota, &team, now);
    } else {
      team.bucket.reset();
    }
  }
}

std::vector<wire::TeamDemand> Admission::OwnDemand(TimePoint now) const {
  std::vector<wire::TeamDemand> demand;
  for (const auto& [name, team] : state_->teams) {
    const double rate = team.demand.Rate(now);
    if (rate >= kMinReportedDemand) {
      demand.emplace_back().set_team(name);
      demand.back().set_starts_per_second(rate);
    }
  }
  return demand;
}

}  // namespace coltsfoottide::core
