// What becomes of a request that is suspected of crashing upstreams, or whose prompt has a part
// that is.
#include <algorithm>
#include <utility>

#include "exchange.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

// A turn lasts until the request is sent; one that cannot be sent soon leaves it to others.
constexpr DurationMs kTurnMs = 500;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

}  // namespace

// Computed only when there is something to compare it with, as it hashes the whole body.
const RequestDigest& Exchange::Digest() {
  if (!digest_) {
    const auto field = [this](std::string_view name) {
      const std::string* value = FindField(request_.fields, name);
      return value != nullptr ? std::string_view{*value} : std::string_view{};
    };
    digest_ =
        DigestOf({request_.method, field("Host"), request_.target,
                  organisation_.empty() ? field("Authorization") : std::string_view{organisation_},
                  *request_.body});
  }
  return *digest_;
}

const std::vector<RequestDigest>& Exchange::Combinations() {
  if (!combinations_) combinations_ = PartsAndCombinations(parts_);
  return *combinations_;
}

QuarantineStatus Exchange::CurrentQuarantineStatus() {
  if (!gateway_.HasSuspicions()) return QuarantineStatus::kClear;
  const TimeMs now = MonotonicMs();
  const QuarantineTable& quarantine = gateway_.quarantine;
  const auto is_refused = [&](const RequestDigest& it) { return quarantine.IsRefused(it, now); };
  const bool has_refused_part =
      !quarantine.IsEmpty() &&
      std::any_of(Combinations().begin(), Combinations().end(), is_refused);
  if (has_refused_part) return QuarantineStatus::kRefused;
  const auto status =
      quarantine.IsEmpty() ? QuarantineStatus::kClear : quarantine.StatusOf(Digest(), now);
  if (status != QuarantineStatus::kClear) return status;
  const bool is_suspected = !gateway_.prompt_parts.Suspected(parts_, now).empty();
  return is_suspected ? QuarantineStatus::kSuspect : QuarantineStatus::kClear;
}

// Requests with a suspected prompt part are told apart by that part, as no two need be alike.
RequestDigest Exchange::IsolationKey() {
  const auto suspected = gateway_.prompt_parts.Suspected(parts_, MonotonicMs());
  return suspected.empty() ? Digest() : suspected.front();
}

bool Exchange::IsSuspect() { return CurrentQuarantineStatus() != QuarantineStatus::kClear; }

// Only requests for a model can wait.
bool Exchange::IsRefusedProvisionally(TimeMs now) {
  return model_ && gateway_.quarantine.AwaitsReports(Digest(), now);
}

std::optional<Suspect> Exchange::AsSuspect(const Attempt& attempt, TimeMs now) {
  const bool has_event = attempt.first_event_at != 0;
  const bool is_harmless =
      has_event && now - attempt.first_event_at >= QuarantineLimits().harmless_after_ms;
  if (is_harmless) return std::nullopt;
  auto parts = gateway_.prompt_parts.WithoutSound(parts_, now);
  const bool has_sound_part = parts.size() < parts_.size();
  const RequestDigest model = model_ ? DigestOfModel(model_->model) : RequestDigest();
  return Suspect{Digest(),         has_event,      attempt.is_isolated_suspect,
                 std::move(parts), has_sound_part, model};
}

// Refuses at once and without Retry-After, as a retry would not help. Not a 4xx status, as the
// request is well-formed.
void Exchange::RefuseQuarantined() {
  ++gateway_.counters.quarantine_refusals;
  constexpr char kReason[] = "upstreams that run this request crash; it is not sent to another one";
  if (is_response_begun_ || !silent_.empty()) return GiveUp(Execution::kMayHaveRun, kReason);
  const bool may_have_run = ExecutionSoFar() == Execution::kMayHaveRun;
  Refuse(may_have_run ? kBadGateway : kUnavailable, "ends_upstreams", kReason, ExecutionSoFar(), 0);
}

void Exchange::ClearSuspicion() {
  if (!digest_) return;
  gateway_.quarantine.Clear(*digest_, MonotonicMs());
  if (!attempt_.is_isolated_suspect) return;
  attempt_.is_isolated_suspect = false;
  gateway_.suspect_isolation.Release(attempt_.instance, attempt_.isolation_key);
  gateway_.RetrySuspects();
}

void Exchange::OnModelAnswered() {
  if (model_) gateway_.prompt_parts.OnModelAnswered(DigestOfModel(model_->model), MonotonicMs());
}

void Exchange::AddSoundParts() {
  if (std::exchange(has_sound_parts_, true)) return;
  OnModelAnswered();
  gateway_.AddSoundParts(parts_);
}

void Exchange::OnPartsAnswered() {
  const TimeMs now = MonotonicMs();
  OnModelAnswered();
  const UpstreamRecord* upstream = gateway_.upstreams.Find(attempt_.instance);
  if (upstream == nullptr || gateway_.prompt_parts.WithoutSound(parts_, now).empty()) {
    return AddSoundParts();
  }
  const TimeMs begun_at = attempt_.first_event_at != 0 ? attempt_.first_event_at : now;
  gateway_.short_answers.Add({attempt_.instance, upstream->endpoint}, parts_, begun_at, now);
}

// Requests with a part that was at several crashes take turns over all entries. Returns false while
// an allocator is asked, and if the turn is another one's.
bool Exchange::AcquireTurn(const std::string& instance) {
  const TimeMs now = MonotonicMs();
  if (now < turn_until_ || !gateway_.prompt_parts.HasCrashes()) return true;
  const auto part = gateway_.prompt_parts.FindShared(parts_, now);
  if (!part) return true;
  turn_instance_ = instance;
  const auto verdict = gateway_.TakeTurn(shared_from_this(), *part);
  if (verdict.decision == QuotaClient::Decision::kAdmitted) return true;
  if (verdict.decision == QuotaClient::Decision::kPending) {
    ArmTimer();
  } else {
    AwaitTurn(verdict.retry_ms);
  }
  return false;
}

void Exchange::OnTurnDecision(const QuotaClient::Admission& verdict) {
  turn_ticket_ = 0;
  if (is_finished_) return;
  if (verdict.decision != QuotaClient::Decision::kAdmitted) return AwaitTurn(verdict.retry_ms);
  turn_until_ = MonotonicMs() + kTurnMs;
  AttemptNext();
}

// Waiting requests are retried with each tick. One that cannot wait is told when to come back.
void Exchange::AwaitTurn(DurationMs retry_ms) {
  if (model_) return WaitForModel({turn_instance_, retry_ms, "alone", 0});
  upstream_opens_in_ms_ = retry_ms;
  GiveUp(ExecutionSoFar(), "requests with a part of its prompt are sent one at a time");
}

}  // namespace junctionrail::internal
