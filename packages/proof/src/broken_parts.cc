#include "coltsfoottide/proof/broken_parts.h"

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/daemon/backend_client.h"
#include "coltsfoottide/daemon/job_id.h"

namespace coltsfoottide::proof {
namespace {

using daemon::RuntimeHooks;
using AnswerEdit = std::function<void(api::JobAnswer& answer)>;

// Every kBrokenEvery-th task or answer is affected.
constexpr int kBrokenEvery = 10;

// An outbox that applies `edit` to the job answers that a coordinator sends.
class EditingOutbox : public core::Outbox {
 public:
  EditingOutbox(core::Outbox& inner, AnswerEdit edit) : inner_(inner), edit_(std::move(edit)) {}

  void Send(const std::string& endpoint, wire::Envelope envelope) override {
    if (envelope.has_job_reply() && envelope.job_reply().has_answer()) {
      edit_(*envelope.mutable_job_reply()->mutable_answer());
    }
    inner_.Send(endpoint, std::move(envelope));
  }
  void ResetLink(const std::string& endpoint) override { inner_.ResetLink(endpoint); }

 private:
  core::Outbox& inner_;
  AnswerEdit edit_;
};

RuntimeHooks EditAnswers(AnswerEdit edit) {
  RuntimeHooks hooks;
  hooks.wrap_outbox = [edit = std::move(edit)](core::Outbox& inner) {
    return std::make_unique<EditingOutbox>(inner, edit);
  };
  return hooks;
}

// Keeps the Start of each task, so that it can be sent to the backend server a
// second time: at once for every 10th task if `duplicate_starts`, or by Resend.
class DuplicatingBackend : public core::BackendPort {
 public:
  DuplicatingBackend(core::BackendPort& inner, bool duplicate_starts)
      : inner_(inner), duplicate_starts_(duplicate_starts) {}

  void Run(const wire::Start& start, core::Duration time_limit) override {
    inner_.Run(start, time_limit);
    if (duplicate_starts_ && ++start_count_ % kBrokenEvery == 0) {
      inner_.Run(start, time_limit);
    }
    starts_[daemon::StartId(start.task())] = {start, time_limit};
  }

  // Sends the task again, once; returns false if it is unknown or was sent again
  // before.
  bool Resend(const wire::TaskId& task) {
    const auto it = starts_.find(daemon::StartId(task));
    if (it == starts_.end()) {
      return false;
    }
    inner_.Run(it->second.first, it->second.second);
    starts_.erase(it);
    return true;
  }

 private:
  core::BackendPort& inner_;
  bool duplicate_starts_;
  int start_count_ = 0;
  std::map<std::string, std::pair<wire::Start, core::Duration>> starts_;
};

RuntimeHooks DoubleStart() {
  RuntimeHooks hooks;
  hooks.wrap_backend = [](core::BackendPort& inner) {
    return std::make_unique<DuplicatingBackend>(inner, true);
  };
  return hooks;
}

RuntimeHooks RetryAfterFailure() {
  RuntimeHooks hooks;
  auto backend = std::make_shared<DuplicatingBackend*>(nullptr);
  hooks.wrap_backend = [backend](core::BackendPort& inner) {
    auto wrapped = std::make_unique<DuplicatingBackend>(inner, false);
    *backend = wrapped.get();
    return wrapped;
  };
  hooks.suppress_outcome = [backend](const wire::TaskId& task, core::BackendOutcome outcome) {
    const bool failed =
        outcome == core::BackendOutcome::kFailed || outcome == core::BackendOutcome::kUnknown;
    return failed && (*backend)->Resend(task);
  };
  return hooks;
}

RuntimeHooks PartialAnswer() {
  return EditAnswers([count = 0](api::JobAnswer& answer) mutable {
    if (answer.state() == api::COMPLETE && ++count % kBrokenEvery == 0) {
      answer.mutable_results()->RemoveLast();
    }
  });
}

RuntimeHooks SwappedAnswer() {
  return EditAnswers([count = 0, previous = api::JobAnswer()](api::JobAnswer& answer) mutable {
    if (answer.state() != api::COMPLETE) {
      return;
    }
    api::JobAnswer unchanged = answer;
    if (++count % kBrokenEvery == 0 && previous.results_size() == answer.results_size()) {
      *answer.mutable_results() = previous.results();
    }
    previous = std::move(unchanged);
  });
}

RuntimeHooks FalseNotRun() {
  return EditAnswers([](api::JobAnswer& answer) {
    if (answer.state() == api::FAILED) {
      answer.mutable_error()->set_verdict(api::NOT_RUN);
    }
  });
}

void MarkDataCentresIn(wire::ConfigStateData& state) {
  for (api::ConfigItem& item : *state.mutable_items()) {
    if (item.has_data_centre()) {
      item.mutable_data_centre()->set_out(false);
    }
  }
}

RuntimeHooks IgnoreDataCentreOut() {
  RuntimeHooks hooks;
  hooks.edit_renewed = [longest = 0](wire::Renewed& renewed) mutable {
    if (renewed.has_config()) {
      MarkDataCentresIn(*renewed.mutable_config()->mutable_state());
    }
    // Entries omit the workers of the data centre from the candidates, so only
    // lists of the greatest length so far are passed on.
    longest = std::max(longest, renewed.candidates_size());
    renewed.set_has_candidates(renewed.has_candidates() && renewed.candidates_size() == longest);
  };
  return hooks;
}

RuntimeHooks DivergingConfig() {
  RuntimeHooks hooks;
  hooks.edit_renewed = [](wire::Renewed& renewed) {
    if (renewed.config().state().items_size() > 0 && getpid() % 2 == 0) {
      renewed.mutable_config()->mutable_state()->mutable_items()->RemoveLast();
    }
  };
  return hooks;
}

RuntimeHooks IgnoreHealth() {
  RuntimeHooks hooks;
  hooks.edit_health = [](daemon::BackendHealth& health) {
    health.serving = true;
    health.lease = std::chrono::milliseconds(-1);
  };
  return hooks;
}

RuntimeHooks AbruptStop() {
  RuntimeHooks hooks;
  hooks.abrupt_stop = true;
  return hooks;
}

}  // namespace

std::optional<RuntimeHooks> MakeBrokenParts(const std::string& variant) {
  const std::map<std::string, std::function<RuntimeHooks()>> variants = {
      {"double-start", DoubleStart},
      {"partial-answer", PartialAnswer},
      {"ignore-data-centre-out", IgnoreDataCentreOut},
      {"swapped-answer", SwappedAnswer},
      {"false-not-run", FalseNotRun},
      {"retry-after-failure", RetryAfterFailure},
      {"ignore-health", IgnoreHealth},
      {"abrupt-stop", AbruptStop},
      {"diverging-config", DivergingConfig},
  };
  const auto it = variants.find(variant);
  return it == variants.end() ? std::nullopt : std::optional(it->second());
}

}  // namespace coltsfoottide::proof
