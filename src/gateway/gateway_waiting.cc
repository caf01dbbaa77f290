// Requests that wait for a model: the order in which they are retried, and the demand that they
// are.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "exchange.h"
#include "gateway_impl.h"

namespace junctionrail {
namespace {

// How long a refused request still counts as demand for its model: its caller, told to retry, does
// so within seconds.
constexpr DurationMs kRefusedWaitMs = 3000;
// Later than any time a process reaches.
constexpr TimeMs kNeverLate = 1LL << 60;

}  // namespace

void Gateway::Impl::AddWaiting(const std::shared_ptr<internal::Exchange>& exchange) {
  waiting_exchanges.insert(exchange);
}

void Gateway::Impl::RemoveWaiting(const std::shared_ptr<internal::Exchange>& exchange) {
  waiting_exchanges.erase(exchange);
}

void Gateway::Impl::RetryWaiting() {
  RetryInOrder({waiting_exchanges.begin(), waiting_exchanges.end()});
}

// Retries the requests whose model is loaded at one of the changed engines, or that asked the agent
// of one. The others are retried at the next tick: in a large fleet views arrive so often that
// retrying all with each would take most of an entry's processor time.
void Gateway::Impl::RetryAffected() {
  const std::set<std::string> instances = std::exchange(changed_instances, {});
  std::vector<std::shared_ptr<internal::Exchange>> concerned;
  for (const auto& it : waiting_exchanges) {
    const bool is_concerned =
        instances.count(it->asked_instance()) > 0 ||
        std::any_of(instances.begin(), instances.end(), [&](const std::string& instance) {
          return upstreams.HasModel(instance, *it->model(), MonotonicMs());
        });
    if (is_concerned) concerned.push_back(it);
  }
  RetryInOrder(std::move(concerned));
}

void Gateway::Impl::RetryInOrder(std::vector<std::shared_ptr<internal::Exchange>> all) {
  // Most urgent first, then longest waiting.
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    if (a->priority() != b->priority()) return a->priority() < b->priority();
    return a->waiting_since() < b->waiting_since();
  });
  for (const auto& it : all) it->RetrySelection();
}

UpstreamTable::WaitingRequests Gateway::Impl::ToWaiting(const internal::Exchange& exchange,
                                                        TimeMs since) {
  UpstreamTable::WaitingRequests waiting;
  waiting.ref = *exchange.model();
  waiting.service = exchange.service();
  waiting.asked_instance = exchange.asked_instance();
  waiting.priority = exchange.priority();
  waiting.since = since;
  waiting.next_late_at = exchange.first_byte_due_at();
  waiting.count = 1;
  waiting.allowed_regions = exchange.AllowedRegionsNow();
  waiting.software_version = exchange.bound_version();
  return waiting;
}

void Gateway::Impl::RecordRefusedWait(const internal::Exchange& exchange) {
  refused_waits.push_back(ToWaiting(exchange, MonotonicMs()));
}

std::vector<UpstreamTable::WaitingRequests> Gateway::Impl::ModelDemands() {
  const TimeMs now = MonotonicMs();
  refused_waits.erase(
      std::remove_if(refused_waits.begin(), refused_waits.end(),
                     [now](const auto& it) { return now - it.since > kRefusedWaitMs; }),
      refused_waits.end());
  std::vector<UpstreamTable::WaitingRequests> each = refused_waits;
  for (const auto& it : waiting_exchanges) each.push_back(ToWaiting(*it, it->waiting_since()));
  // Requests for one model that may run in different regions, or only at one software version, wait
  // for different engines.
  using LoadKey = std::tuple<ModelRef, AllowedRegions, std::optional<std::string>>;
  std::map<LoadKey, UpstreamTable::WaitingRequests> by_model;
  for (auto& it : each) {
    const bool is_late = it.next_late_at <= now;
    if (is_late) it.next_late_at = kNeverLate;
    it.late = is_late ? it.count : 0;
    const auto [found, is_first] =
        by_model.emplace(LoadKey{it.ref, it.allowed_regions, it.software_version}, it);
    if (is_first) continue;
    UpstreamTable::WaitingRequests& waiting = found->second;
    waiting.count += it.count;
    waiting.late += it.late;
    waiting.next_late_at = std::min(waiting.next_late_at, it.next_late_at);
    waiting.priority = std::min(waiting.priority, it.priority);
    waiting.since = std::min(waiting.since, it.since);
    waiting.asked_instance = it.asked_instance;
  }
  std::vector<UpstreamTable::WaitingRequests> all;
  for (auto& [key, waiting] : by_model) all.push_back(std::move(waiting));
  return all;
}

}  // namespace junctionrail
