// Attempts that end without a whole answer, and whether another one follows.
#include <utility>

#include "exchange.h"

namespace junctionrail::internal {
namespace {

// The maximum number of attempts that did not run: enough to get past restarted and full
// upstreams, few enough to end soon.
constexpr int kMaxUnrunAttempts = 5;

}  // namespace

// An upstream that has announced that it leaves ends as planned.
void Exchange::ReportBrokenConnection(const Attempt& attempt) {
  if (!gateway_.upstreams.IsListed(attempt.instance)) return;
  const UpstreamRecord* upstream = gateway_.upstreams.Find(attempt.instance);
  gateway_.crash_detector.OnConnectionBroken(attempt.instance, upstream->endpoint,
                                             attempt.connected_at, MonotonicMs());
}

// Returns whether the request may have run there.
Execution Exchange::RecordFailure(Attempt* attempt, UpstreamFailure failure) {
  const bool is_broken = failure == UpstreamFailure::kBroken;
  const bool was_sent = is_broken || failure == UpstreamFailure::kMismatched;
  if (is_broken) ReportBrokenConnection(*attempt);
  if (!was_sent) KeepUnsentRetry(attempt);
  // A withheld request is no evidence of a fault of the upstream.
  EndAttempt(attempt, was_sent                                ? AttemptOutcome::kFailed
                      : failure == UpstreamFailure::kWithheld ? AttemptOutcome::kRefused
                                                              : AttemptOutcome::kUnreachable);
  if (was_sent) return Execution::kMayHaveRun;
  --possibly_run_attempts_;
  --sent_attempts_;
  ++unsent_attempts_;
  return Execution::kNotRun;
}

void Exchange::OnFailed(int number, UpstreamFailure failure, std::string_view reason) {
  Attempt* silent = FindSilent(number);
  if (silent != nullptr) {
    const Execution ran = RecordFailure(silent, failure);
    return OnSilentFailed(silent, AttemptOutcome::kFailed, ran, reason);
  }
  if (!IsCurrent(number)) return;
  const Execution ran = RecordFailure(&attempt_, failure);
  AfterAttempt(ran, ran == Execution::kMayHaveRun, reason);
}

void Exchange::EndAttempt(Attempt* attempt, AttemptOutcome end) {
  const TimeMs now = MonotonicMs();
  OnRetryArrived(&attempt->retry_consumed_at);
  const bool is_unanswered = end == AttemptOutcome::kTimedOut || end == AttemptOutcome::kCallerLeft;
  if (model_ && is_unanswered && !is_response_begun_) {
    gateway_.upstreams.OnFirstEvent(*model_, now - attempt->started_at);
  }
  gateway_.upstreams.OnAttemptEnd(attempt->instance, model_, end, now);
  gateway_.crash_detector.OnAttemptOver(attempt->instance, this);
  if (std::exchange(attempt->is_isolated_suspect, false)) {
    gateway_.suspect_isolation.Release(attempt->instance, attempt->isolation_key);
    gateway_.RetrySuspects();
  }
  attempt->call = nullptr;
  attempt->is_confirming_end = false;
  attempt->is_open = false;
  RemoveFromResponseMemory(attempt);
}

void Exchange::LogAttempt(const Attempt& attempt, Execution ran, std::string_view reason) const {
  const TimeMs now = MonotonicMs();
  gateway_.log.Write(now, "attempt_ended",
                     {{"request", request_id_},
                      {"upstream", attempt.instance},
                      {"reason", reason},
                      {"may_have_run", ran == Execution::kMayHaveRun},
                      {"attempt", static_cast<std::int64_t>(tried_instances_.size())},
                      {"attempt_ms", now - attempt.started_at},
                      {"listing_age_ms", attempt.listing_age_ms},
                      {"last_event", events_.last_id()},
                      {"version", attempt.version},
                      {"digest", digest_ ? digest_->ToString() : std::string()},
                      {"left_ms", deadline_at_ - now}});
}

void Exchange::AfterAttempt(Execution ran, bool was_sent, std::string_view reason) {
  LogAttempt(attempt_, ran, reason);
  if (TryRetry(ran, was_sent)) return;
  // May be tried again if the silent upstream stays silent.
  if (!silent_.empty() && ran == Execution::kNotRun && !tried_instances_.empty() &&
      tried_instances_.back() == attempt_.instance) {
    tried_instances_.pop_back();
  }
  GiveUp(ExecutionSoFar(), reason);
}

// Takes one attempt from the retry budget, unless one that was taken has not been sent.
bool Exchange::TakeRetryFromBudget(TimeMs now) {
  if (unsent_retry_consumed_at_ != 0) return true;
  if (gateway_.retry_budget.TryConsume(service_, now)) {
    ++gateway_.counters.retries;
    unsent_retry_consumed_at_ = now;
    return true;
  }
  LogBudgetSpent(now);
  return false;
}

// A retry counts when it is sent, which may be long after it was chosen: it may have waited for a
// model, or for a quota.
bool Exchange::CountRetryAsSent(TimeMs now) {
  if (unsent_retry_consumed_at_ == 0) return true;
  const TimeMs consumed_at = std::exchange(unsent_retry_consumed_at_, 0);
  if (!gateway_.retry_budget.Postpone(service_, consumed_at, now)) {
    LogBudgetSpent(now);
    return false;
  }
  unsent_retry_consumed_at_ = now;
  return true;
}

// The retry of an attempt that was not sent is the next attempt's.
void Exchange::KeepUnsentRetry(Attempt* attempt) {
  OnRetryArrived(&unsent_retry_consumed_at_);
  unsent_retry_consumed_at_ = std::exchange(attempt->retry_consumed_at, 0);
}

// The retry has arrived at its upstream, or will not arrive any more.
void Exchange::OnRetryArrived(TimeMs* consumed_at) {
  if (*consumed_at == 0) return;
  gateway_.retry_budget.OnArrived(service_, std::exchange(*consumed_at, 0), MonotonicMs());
}

void Exchange::LogBudgetSpent(TimeMs now) {
  const RetryBudget::Usage usage = gateway_.retry_budget.UsageOf(service_, now);
  gateway_.log.Write(now, "retry_budget_spent",
                     {{"request", request_id_},
                      {"service", service_},
                      {"requests", static_cast<std::int64_t>(usage.requests)},
                      {"retries", static_cast<std::int64_t>(usage.retries)},
                      {"under_way", static_cast<std::int64_t>(usage.under_way)},
                      {"left", usage.left},
                      {"entries", static_cast<std::int64_t>(usage.entries)},
                      {"age_ms", now - gateway_.started_at}});
}

void Exchange::RetryElsewhere() {
  if (is_response_begun_) ++gateway_.counters.resumes;
  events_.TakePartialEvent();
  AttemptNext();
}

bool Exchange::HasUnrunAttemptsLeft() const {
  return sent_attempts_ - possibly_run_attempts_ + unsent_attempts_ <= kMaxUnrunAttempts;
}

// Retries at another upstream if that is safe and, where needed, within the retry budget.
bool Exchange::TryRetry(Execution ran, bool was_sent) {
  const TimeMs now = MonotonicMs();
  if (now >= deadline_at_ || sink_.expired()) return false;
  const bool may_have_run = ran == Execution::kMayHaveRun || possibly_run_attempts_ > 0;
  if (may_have_run && (!route_->IsRetryable() || possibly_run_attempts_ >= route_->max_attempts)) {
    return false;
  }
  if (!HasUnrunAttemptsLeft()) return false;
  if (may_have_run || was_sent) {
    const PickResult choice = ChooseUpstream(now);
    if (std::holds_alternative<NoUpstream>(choice)) return false;
    // Once events were delivered, or while another attempt is kept, there is no wait for a load.
    const bool may_wait = !is_response_begun_ && silent_.empty();
    if (!may_wait && !std::holds_alternative<SendTo>(choice)) return false;
    if (!TakeRetryFromBudget(now)) return false;
  }
  RetryElsewhere();
  return true;
}

}  // namespace junctionrail::internal
