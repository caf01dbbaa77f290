#include "junctionrail/entry_core.h"

#include <utility>

#include "entry_impl.h"

namespace junctionrail {
namespace internal {

EntryImpl::EntryImpl(EntryOptions options)
    : options_(std::move(options)),
      decisions_(options_.decision_records),
      random_(options_.seed),
      retry_tokens_(options_.retry_burst) {}

void EntryImpl::Handle(TimeMs now, entry::Event event, std::vector<entry::Command>* commands) {
  CheckInvariant(now >= now_, "time never goes back");
  commands_ = commands;
  now_ = now;
  std::visit([this](auto& it) { On(std::move(it)); }, event);
  CheckConservation();
}

void EntryImpl::RecordDecision(std::string request, std::string key, std::string vm,
                               std::string message, std::string inputs,
                               std::vector<RejectedCandidate> rejected) {
  DecisionRecord record;
  record.at = now_;
  record.request = std::move(request);
  record.key = std::move(key);
  record.vm = std::move(vm);
  record.message = std::move(message);
  record.inputs = std::move(inputs);
  record.rejected = std::move(rejected);
  record.config_version = configuration_.version();
  decisions_.Add(std::move(record));
}

}  // namespace internal

EntryCore::EntryCore(EntryOptions options)
    : impl_(std::make_unique<internal::EntryImpl>(std::move(options))) {}
EntryCore::~EntryCore() = default;
EntryCore::EntryCore(EntryCore&&) noexcept = default;

void EntryCore::Handle(TimeMs now, entry::Event event, std::vector<entry::Command>* commands) {
  impl_->Handle(now, std::move(event), commands);
}

const EntryCounters& EntryCore::counters() const { return impl_->counters(); }
const DecisionLog& EntryCore::decisions() const { return impl_->decisions(); }
const Configuration& EntryCore::configuration() const { return impl_->configuration(); }
const VmList& EntryCore::vms() const { return impl_->vms(); }
std::size_t EntryCore::open_calls() const { return impl_->open_calls(); }
bool EntryCore::IsStopping() const { return impl_->IsStopping(); }
std::uint32_t EntryCore::InFlight(std::string_view vm) const { return impl_->InFlight(vm); }
std::vector<UpstreamStatus> EntryCore::Upstreams(TimeMs now) const { return impl_->Upstreams(now); }
std::vector<GrantRecord> EntryCore::Grants() const { return impl_->Grants(); }

}  // namespace junctionrail
