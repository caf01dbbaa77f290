// Quotas of organisations, limits of upstreams, and turns of suspected prompt parts: requests that
// await the decision of an allocator.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "exchange.h"
#include "gateway_impl.h"

namespace junctionrail {
namespace {

// Requests with a suspected prompt part, over all entries: a crash takes some 100 ms to happen and
// to be reported. The burst is small, as one that is left over would let two go at once.
constexpr double kTurnsPerS = 1;
constexpr double kTurnBurst = 0.01;

// Contains a space, which names of instances do not.
std::string TurnLimitName(const RequestDigest& part) { return "prompt part " + part.ToString(); }

}  // namespace

QuotaClient::Admission Gateway::Impl::TakeQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                                const std::string& organisation, double amount) {
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.Acquire(organisation, amount, ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnQuotaRequested(ticket);
  AwaitQuotaDecision(exchange, ticket);
  return verdict;
}

QuotaClient::Admission Gateway::Impl::TakeUpstreamQuota(
    const std::shared_ptr<internal::Exchange>& exchange, const std::string& instance) {
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.AcquireForUpstream(instance, ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnUpstreamQuotaRequested(ticket, instance);
  AwaitQuotaDecision(exchange, ticket);
  return verdict;
}

// Each entry sends its suspects one at a time, but all of them together could crash an upstream for
// each entry before the first reports arrive. A crash is known to all within a turn.
QuotaClient::Admission Gateway::Impl::TakeTurn(const std::shared_ptr<internal::Exchange>& exchange,
                                               const RequestDigest& part) {
  UpdateSharedTurns();
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.AcquireForUpstream(TurnLimitName(part), ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnTurnRequested(ticket);
  AwaitQuotaDecision(exchange, ticket);
  return verdict;
}

void Gateway::Impl::UpdateSharedTurns() {
  if (shared_turns.empty() && !prompt_parts.HasCrashes()) return;
  std::set<std::string> names;
  for (const auto& it : prompt_parts.SharedParts(MonotonicMs())) names.insert(TurnLimitName(it));
  for (const auto& it : names) {
    if (shared_turns.count(it) > 0) continue;
    log.Write(MonotonicMs(), "prompt_part_turns", {{"limit", it}});
    SetUpstreamLimit(it, RateLimit{kTurnsPerS, kTurnBurst});
  }
  shared_turns = std::move(names);
}

void Gateway::Impl::AwaitQuotaDecision(const std::shared_ptr<internal::Exchange>& exchange,
                                       std::uint64_t ticket) {
  pending_quota_requests.emplace(ticket, exchange);
  if (std::exchange(is_quota_send_scheduled, true)) return;
  // Batches all requests of this event loop iteration into one message.
  boost::asio::post(io, [self = shared_from_this()] {
    self->is_quota_send_scheduled = false;
    self->SendQuotaMessages();
  });
}

void Gateway::Impl::SetUpstreamLimit(const std::string& instance, std::optional<RateLimit> limit) {
  auto outcomes = quotas.SetUpstreamLimit(instance, limit, MonotonicMs());
  // Deferred, as this may run within a call from an exchange.
  boost::asio::post(io, [self = shared_from_this(), outcomes = std::move(outcomes)] {
    self->DeliverQuotaOutcomes(outcomes);
    self->SendQuotaMessages();
  });
}

void Gateway::Impl::CancelQuotaRequest(std::uint64_t ticket) {
  if (pending_quota_requests.erase(ticket) > 0) quotas.Cancel(ticket);
}

void Gateway::Impl::DeliverQuotaOutcomes(const std::vector<QuotaClient::Outcome>& outcomes) {
  for (const auto& it : outcomes) {
    const auto found = pending_quota_requests.find(it.ticket);
    if (found == pending_quota_requests.end()) continue;
    const auto exchange = found->second.lock();
    pending_quota_requests.erase(found);
    if (exchange) exchange->OnQuotaDecision(it.ticket, it.admission);
  }
}

void Gateway::Impl::SendQuotaMessages() {
  if (on_quota_message) {
    for (const auto& it : quotas.TakeMessages(MonotonicMs())) on_quota_message(it);
  }
  const TimeMs next = quotas.NextExpiryAt();
  if (next == 0) return;
  const DurationMs delay = std::max<DurationMs>(1, next - MonotonicMs());
  quota_timer.After(delay, [self = shared_from_this()] {
    self->DeliverQuotaOutcomes(self->quotas.Expire(MonotonicMs()));
    self->SendQuotaMessages();
  });
}

}  // namespace junctionrail
