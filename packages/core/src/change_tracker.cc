#include "change_tracker.h"

#include <algorithm>
#include <utility>

#include "change_record.h"
#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/validation.h"
#include "majority.h"
#include "peer_table.h"
#include "record_appender.h"

namespace coltsfoottide::core {
namespace {

constexpr std::size_t kMaxPendingChanges = 4096;
// How long a change without waiting calls is kept.
constexpr Duration kIdleRetention = std::chrono::minutes(10);

api::ChangeConfigResponse Refusal(api::Verdict verdict, api::Reason reason, std::string message) {
  api::ChangeConfigResponse response;
  *response.mutable_error() = schema::MakeError(verdict, reason, std::move(message));
  return response;
}

api::ChangeConfigResponse ConflictResponse(const wire::ChangeOutcome& outcome) {
  auto response = Refusal(api::NOT_RUN, api::CONFLICT,
                          "the expected version differs from the current version " +
                              std::to_string(outcome.current_version()));
  response.set_appended(true);
  response.set_current_version(outcome.current_version());
  return response;
}

api::ChangeConfigResponse NotConfirmed(std::uint64_t version) {
  auto response =
      Refusal(api::MAY_HAVE_RUN, api::NOT_CONFIRMED,
              "the change is on the log, but no majority of the entries has confirmed it; it may "
              "take effect");
  response.set_appended(true);
  response.set_version(version);
  return response;
}

}  // namespace

ChangeTracker::ChangeTracker(const EntryControlOptions& options, const ConfigState& config,
                             const PeerTable& peers, const Directory& directory,
                             RecordAppender& appender, ChangeSink& sink)
    : options_(options),
      config_(config),
      peers_(peers),
      directory_(directory),
      appender_(appender),
      sink_(sink) {}

void ChangeTracker::Change(std::uint64_t call, const api::ChangeConfigRequest& request, bool ready,
                           TimePoint now) {
  if (const auto error = schema::ValidateChange(request)) {
    sink_.OnChange(call, Refusal(error->verdict(), error->reason(), error->message()));
    return;
  }
  std::string change_id = request.change_id();
  if (change_id.empty()) {
    change_id = options_.endpoint + "/" + std::to_string(options_.incarnation) + "/" +
                std::to_string(++generated_ids_);
  }
  EraseIdle(now);
  const auto it = pending_.find(change_id);
  if (it == pending_.end() && pending_.size() >= kMaxPendingChanges) {
    sink_.OnChange(call, Refusal(api::NOT_RUN, api::OVERLOADED,
                                 "too many configuration changes are in progress"));
    return;
  }
  Pending& pending = it == pending_.end() ? pending_[change_id] : it->second;
  if (it == pending_.end()) {
    pending.record = MakeChangeRecord(change_id, request);
  }
  pending.last_used = now;
  pending.waiters.push_back({call, now, std::chrono::milliseconds(request.wait_in_force_ms())});
  Advance(change_id, pending, ready, now);
}

bool ChangeTracker::OnAppendDone(std::uint64_t request, std::optional<std::uint64_t> offset,
                                 TimePoint now) {
  for (auto& [change_id, pending] : pending_) {
    if (pending.request == request && pending.appending) {
      pending.appending = false;
      if (offset) {
        pending.appended_at = now;
      }
      pending.last_used = now;
      return true;
    }
  }
  return false;
}

void ChangeTracker::Tick(bool ready, TimePoint now) {
  for (auto& [change_id, pending] : pending_) {
    if (!pending.waiters.empty() || (pending.applied_at && !pending.accepted_at)) {
      Advance(change_id, pending, ready, now);
    }
  }
}

void ChangeTracker::Advance(const std::string& change_id, Pending& pending, bool ready,
                            TimePoint now) {
  if (const auto outcome = config_.Outcome(change_id)) {
    AdvanceApplied(*outcome, pending, now);
  } else {
    AdvanceUnapplied(pending, ready, now);
  }
}

void ChangeTracker::AdvanceApplied(const wire::ChangeOutcome& outcome, Pending& pending,
                                   TimePoint now) {
  pending.applied_at = pending.applied_at.value_or(now);
  if (outcome.won() && !pending.accepted_at && IsAccepted(outcome.offset())) {
    pending.accepted_at = now;
  }
  std::erase_if(pending.waiters, [&](const Waiter& waiter) {
    const auto response =
        outcome.won() ? WonResponse(outcome, pending, waiter, now) : ConflictResponse(outcome);
    if (response) {
      sink_.OnChange(waiter.call, *response);
    }
    return response.has_value();
  });
}

void ChangeTracker::AdvanceUnapplied(Pending& pending, bool ready, TimePoint now) {
  if (!pending.request && ready) {
    pending.request = appender_.Append(pending.record);
    pending.appending = true;
  }
  if (!pending.request) {
    RefuseUnsent(pending, now);
    return;
  }
  std::erase_if(pending.waiters, [&](const Waiter& waiter) {
    const Duration waited = now - waiter.since;
    if (pending.appended_at &&
        now - std::max(waiter.since, *pending.appended_at) >= options_.acceptance_timeout) {
      sink_.OnChange(waiter.call, NotConfirmed(0));
      return true;
    }
    if (waited >= options_.append_search_timeout) {
      sink_.OnChange(waiter.call,
                     Refusal(api::MAY_HAVE_RUN, api::LOG_UNAVAILABLE,
                             "the log has not confirmed the append and the change is not on the "
                             "log so far; it may take effect"));
      return true;
    }
    return false;
  });
}

// All calls of the change are refused together: an append for a later one
// would make the NOT_RUN of an earlier one untrue.
void ChangeTracker::RefuseUnsent(Pending& pending, TimePoint now) {
  const bool timed_out = std::any_of(
      pending.waiters.begin(), pending.waiters.end(),
      [&](const Waiter& waiter) { return now - waiter.since >= options_.acceptance_timeout; });
  if (!timed_out) {
    return;
  }
  for (const Waiter& waiter : pending.waiters) {
    sink_.OnChange(waiter.call, Refusal(api::NOT_RUN, api::LOG_UNAVAILABLE,
                                        "the log cannot be read; nothing was appended"));
  }
  pending.waiters.clear();
}

std::optional<api::ChangeConfigResponse> ChangeTracker::WonResponse(
    const wire::ChangeOutcome& outcome, const Pending& pending, const Waiter& waiter,
    TimePoint now) const {
  if (!pending.accepted_at) {
    const TimePoint since = std::max(waiter.since, *pending.applied_at);
    return now - since >= options_.acceptance_timeout
               ? std::optional(NotConfirmed(outcome.offset()))
               : std::nullopt;
  }
  const bool in_force = IsInForce(outcome.offset(), *pending.accepted_at, now);
  if (!in_force && now - waiter.since < waiter.wait_in_force) {
    return std::nullopt;
  }
  api::ChangeConfigResponse response;
  response.set_appended(true);
  response.set_accepted(true);
  response.set_in_force(in_force);
  response.set_version(outcome.offset());
  response.set_current_version(outcome.current_version());
  return response;
}

bool ChangeTracker::IsAccepted(std::uint64_t offset) const {
  const auto reported_next = [&](const api::RosterItem& item) -> std::uint64_t {
    if (item.endpoint() == options_.endpoint) {
      return item.incarnation() == options_.incarnation ? config_.next_offset() : 0;
    }
    const PeerTable::Peer* peer = peers_.Find(item.endpoint(), item.incarnation());
    return peer == nullptr ? 0 : peer->reported_next;
  };
  const auto agrees = [&](const api::RosterItem& item) { return reported_next(item) > offset; };
  return HasMajority(config_.roster(), agrees, reported_next);
}

bool ChangeTracker::IsInForce(std::uint64_t offset, TimePoint accepted_at, TimePoint now) const {
  // After this time evidence from before the acceptance has expired, and an agent
  // may use later evidence only once it has applied the change.
  if (now - accepted_at >= options_.permission_validity) {
    return true;
  }
  // An agent that has applied nothing has no permission to start anything.
  const auto& members = directory_.members();
  return std::all_of(members.begin(), members.end(), [&](const auto& it) {
    const Directory::Member& member = it.second;
    return now - member.last_heard < options_.permission_validity &&
           (member.info.config_offset() > offset || member.info.config_offset() == 0);
  });
}

void ChangeTracker::EraseIdle(TimePoint now) {
  std::erase_if(pending_, [&](const auto& it) {
    return it.second.waiters.empty() && now - it.second.last_used > kIdleRetention;
  });
}

}  // namespace coltsfoottide::core
