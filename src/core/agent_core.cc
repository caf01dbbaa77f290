#include "junctionrail/agent_core.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "agent_impl.h"

namespace junctionrail {
namespace internal {
namespace {

constexpr std::size_t kMinDecisionRecords = 1;

}  // namespace

AgentImpl::AgentImpl(AgentOptions options)
    : options_(std::move(options)),
      decisions_(options_.decision_records == 0 ? kMinDecisionRecords : options_.decision_records),
      idempotency_table_(options_.max_idempotency_rows, options_.max_idempotency_bytes),
      unix_ms_(options_.started_unix_ms) {
  std::copy(std::begin(options_.load_ms_per_gb), std::end(options_.load_ms_per_gb),
            std::begin(load_ms_per_gb_));
}

void AgentImpl::Start(TimeMs now, std::vector<agent::Command>* commands) {
  commands_ = commands;
  now_ = now;
  started_at_ = now;
  if (options_.kind == UpstreamKind::kService) return;
  QueryEngine();
  next_grants_read_at_ = now;
}

void AgentImpl::Handle(TimeMs now, agent::Event event, std::vector<agent::Command>* commands) {
  CheckInvariant(now >= now_, "time never goes back");
  commands_ = commands;
  now_ = now;
  std::visit([this](auto& it) { On(std::move(it)); }, event);
  if (needs_reevaluation_) {
    needs_reevaluation_ = false;
    if (options_.kind == UpstreamKind::kEngine) StartLoads();
    ContinueLeaving();
  }
  CheckConservation();
}

}  // namespace internal

AgentCore::AgentCore(AgentOptions options)
    : impl_(std::make_unique<internal::AgentImpl>(std::move(options))) {}
AgentCore::~AgentCore() = default;
AgentCore::AgentCore(AgentCore&&) noexcept = default;

void AgentCore::Start(TimeMs now, std::vector<agent::Command>* commands) {
  impl_->Start(now, commands);
}

void AgentCore::Handle(TimeMs now, agent::Event event, std::vector<agent::Command>* commands) {
  impl_->Handle(now, std::move(event), commands);
}

const AgentCounters& AgentCore::counters() const { return impl_->counters(); }
const DecisionLog& AgentCore::decisions() const { return impl_->decisions(); }
std::size_t AgentCore::open_requests() const { return impl_->open_requests(); }
bool AgentCore::IsReady() const { return impl_->IsReady(); }
bool AgentCore::IsLeaving() const { return impl_->IsLeaving(); }
std::vector<ReplicaStatus> AgentCore::Replicas() const { return impl_->Replicas(); }

}  // namespace junctionrail
