#include "entry_hosting.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {
namespace {

constexpr std::string_view kClaims = "hosts/";
// Short, so that another entry takes over soon; kept three times within it.
constexpr DurationMs kLeaseMs = 3000;
constexpr DurationMs kKeepLeaseMs = 1000;
// Interval at which claims are read while engines have no agent. Such a reading costs a tenth of a
// call, or a whole one for an entry that hosts, as it must not miss that its claim was removed.
constexpr DurationMs kReadClaimsMs = 1000;
constexpr DurationMs kHostReadClaimsMs = 2000;
constexpr DurationMs kLookTimeoutMs = 800;
// An engine on another VM is asked less often than by an agent beside it, as each
// asking is a call over the network.
constexpr DurationMs kActiveReportMs = 150;
constexpr DurationMs kQuietReportMs = 1000;
// The link of this entry to itself; a LinkServer counts from 1.
constexpr std::uint64_t kOwnLink = 0;

std::string ToValue(const HostClaim& claim) {
  return DumpJson(
      nlohmann::json{{"entry", claim.entry}, {"link", claim.demand_endpoint.ToString()}});
}

std::optional<HostClaim> ReadClaim(const platform::StoreItem& item) {
  const auto value = nlohmann::json::parse(item.value, nullptr, false);
  HostClaim claim;
  const bool is_whole = value.is_object() && value.contains("entry") && value.contains("link") &&
                        value["entry"].is_string() && value["link"].is_string() &&
                        ParseEndpoint(value["link"].get<std::string>(), &claim.demand_endpoint);
  if (!is_whole) return std::nullopt;
  claim.engine = item.key.substr(kClaims.size());
  claim.entry = value["entry"].get<std::string>();
  claim.revision = item.created_revision;
  return claim;
}

// Engines are known by their addresses as texts, which were made by ToString.
Endpoint AddressOf(const std::string& engine) {
  Endpoint endpoint;
  CheckInvariant(ParseEndpoint(engine, &endpoint), "an engine is known by its address");
  return endpoint;
}

HostElection::ProbeResult ToElectionPort(PortState state) {
  switch (state) {
    case PortState::kOpen:
      return HostElection::ProbeResult::kOpen;
    case PortState::kRefused:
      return HostElection::ProbeResult::kRefused;
    case PortState::kSilent:
      return HostElection::ProbeResult::kNoAnswer;
  }
  return HostElection::ProbeResult::kNoAnswer;
}

}  // namespace

std::string HostKey(const Endpoint& engine) { return std::string(kClaims) + engine.ToString(); }

EntryHosting::EntryHosting(boost::asio::io_context& io, HttpClient& http,
                           platform::StoreClient& store, EventLog& log, Options options,
                           Callbacks callbacks)
    : io_(io),
      http_(http),
      store_(store),
      log_(log),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      election_(options_.entry, options_.times),
      links_(io, LinkCallbacks()) {
  // The lease and the claims under it are gone, and another entry may claim the engines.
  store_.OnNewEra([this, life = std::weak_ptr<bool>(life_)] {
    if (!life.expired() && lease_ != 0) LeaveLease();
  });
}

LinkServerCallbacks EntryHosting::LinkCallbacks() {
  LinkServerCallbacks callbacks;
  // Which engine a link is for is known with its first demand.
  callbacks.opened = [](std::uint64_t) {};
  callbacks.message = [this](std::uint64_t link, std::string_view bytes) {
    OnLinkDemand(link, bytes);
  };
  callbacks.closed = [this](std::uint64_t link) {
    const auto engine = link_engine_.find(link);
    if (engine == link_engine_.end()) return;
    const auto hosted = hosted_.find(engine->second);
    if (hosted != hosted_.end()) hosted->second.keeper->OnLinkClosed(link);
    link_engine_.erase(engine);
  };
  return callbacks;
}

void EntryHosting::OnLinkEnd(std::uint64_t link, std::string_view bytes) {
  UpstreamCrash end;
  if (!DecodeCrash(bytes, &end)) return log_.Write(MonotonicMs(), "end_malformed", {});
  EngineKeeper* keeper = KeeperOf(link);
  if (keeper != nullptr) keeper->OnEnd(end);
}

void EntryHosting::OnLinkQuotaAsk(std::uint64_t link, std::string_view bytes) {
  QuotaRequest ask;
  if (!DecodeQuotaRequest(bytes, &ask)) return log_.Write(MonotonicMs(), "quota_malformed", {});
  EngineKeeper* keeper = KeeperOf(link);
  if (keeper != nullptr) keeper->OnQuotaAsk(link, ask);
}

EngineKeeper* EntryHosting::KeeperOf(std::uint64_t link) {
  const auto engine = link_engine_.find(link);
  if (engine == link_engine_.end()) return nullptr;
  const auto hosted = hosted_.find(engine->second);
  return hosted == hosted_.end() ? nullptr : hosted->second.keeper.get();
}

void EntryHosting::OnLinkDemand(std::uint64_t link, std::string_view bytes) {
  if (IsCrashMessage(bytes)) return OnLinkEnd(link, bytes);
  if (IsQuotaRequest(bytes)) return OnLinkQuotaAsk(link, bytes);
  if (StreamOriginHolder::IsForHolder(bytes)) {
    auto reply = OnOriginMessage(bytes);
    if (reply) links_.Send(link, std::move(*reply));
    return;
  }
  AgentDemand demand;
  if (!DecodeDemand(bytes, &demand)) {
    log_.Write(MonotonicMs(), "demand_malformed", {});
    return;
  }
  std::string engine;
  for (const auto& it : listing_) {
    if (it.instance == demand.instance) engine = it.endpoint.ToString();
  }
  const auto hosted = hosted_.find(engine);
  // The sender's claims are older than this entry's; it finds the new ones soon.
  if (hosted == hosted_.end()) return links_.Close(link, "not_hosted");
  const bool is_new = link_engine_.emplace(link, engine).second;
  hosted->second.keeper->OnDemand(link, std::move(demand));
  if (is_new) hosted->second.keeper->OnLinkOpened(link);
}

void EntryHosting::Stop() {
  is_stopped_ = true;
  const auto all = hosted_;
  for (const auto& [engine, it] : all) Release(engine);
  links_.Stop();
}

void EntryHosting::SetPolicy(const PolicySettings& policy) {
  options_.policy = policy;
  for (auto& [engine, it] : hosted_) it.keeper->SetPolicy(policy);
}

void EntryHosting::SetServices(const std::vector<ServiceSpec>& services) {
  services_ = services;
  for (auto& [engine, it] : hosted_) it.keeper->SetServices(services);
}

void EntryHosting::SetListing(const std::vector<UpstreamRecord>& listing) {
  listing_ = listing;
  for (auto& [engine, it] : hosted_) it.keeper->SetListing(listing);
}

void EntryHosting::Tick(const std::vector<Endpoint>& unseen) {
  if (is_stopped_) return;
  const TimeMs now = MonotonicMs();
  std::vector<std::string> engines;
  for (const auto& it : unseen) engines.push_back(it.ToString());
  election_.SetEnginesWithoutView(engines, now);
  DropLost();
  for (const auto& it : election_.EnginesToProbe(now)) Look(it);
  if (!election_.NeedsClaims()) return;
  ReadClaims(now);
  if (lease_ != 0) KeepLease(now);
  for (const auto& it : election_.EnginesToRelease()) Release(it);
  const auto to_claim = election_.EnginesToClaim(now);
  if (to_claim.empty() || is_claiming_) return;
  if (lease_ == 0) return OpenLease(now);
  Claim(to_claim.front());
}

void EntryHosting::Look(const std::string& engine) {
  const Endpoint port{AddressOf(engine).address, options_.link.port};
  LookAtPort(io_, port, kLookTimeoutMs, [self = shared_from_this(), engine](PortState found) {
    self->election_.OnProbe(engine, ToElectionPort(found), MonotonicMs());
  });
}

void EntryHosting::ReadClaims(TimeMs now) {
  const DurationMs period = hosted_.empty() ? kReadClaimsMs : kHostReadClaimsMs;
  if (is_reading_claims_ || now - claims_asked_at_ < period) return;
  is_reading_claims_ = true;
  claims_asked_at_ = now;
  platform::ReadOptions options;
  if (hosted_.empty()) options.freshness = platform::Freshness::kMayLag;
  store_.ReadBelow(std::string(kClaims), options, [self = shared_from_this(), now](auto read) {
    self->is_reading_claims_ = false;
    if (!read) return;
    std::vector<HostClaim> claims;
    for (const auto& it : read.value().items) {
      auto claim = ReadClaim(it);
      if (claim) {
        claims.push_back(std::move(*claim));
      } else {
        self->log_.Write(MonotonicMs(), "claim_malformed", {{"key", it.key}});
      }
    }
    self->election_.OnClaims(std::move(claims), now);
    self->DropLost();
  });
}

void EntryHosting::OpenLease(TimeMs now) {
  if (is_calling_lease_ || now - lease_asked_at_ < kKeepLeaseMs) return;
  is_calling_lease_ = true;
  lease_asked_at_ = now;
  store_.OpenLease(kLeaseMs, [self = shared_from_this(), now](auto lease) {
    self->is_calling_lease_ = false;
    if (!lease) {
      self->log_.Write(MonotonicMs(), "lease_not_opened", {{"reason", lease.error().sentence}});
      return;
    }
    self->lease_ = lease.value();
    self->election_.OnLeaseRenewed(now, kLeaseMs);
  });
}

void EntryHosting::KeepLease(TimeMs now) {
  if (is_calling_lease_ || now - lease_asked_at_ < kKeepLeaseMs) return;
  is_calling_lease_ = true;
  lease_asked_at_ = now;
  store_.KeepLease(lease_, [self = shared_from_this(), now](platform::LeaseState state) {
    self->is_calling_lease_ = false;
    if (state == platform::LeaseState::kKept) return self->election_.OnLeaseRenewed(now, kLeaseMs);
    if (state == platform::LeaseState::kUnknown) return;  // It may still hold; see FencingTokenFor.
    self->LeaveLease();
  });
}

// It is no longer kept, and ends in the store with all claims under it.
void EntryHosting::LeaveLease() {
  log_.Write(MonotonicMs(), "lease_left", {{"engines", static_cast<std::int64_t>(hosted_.size())}});
  lease_ = 0;
  election_.OnLeaseEnded();
  DropLost();
}

void EntryHosting::Claim(const std::string& engine) {
  if (!Listen()) return;
  HostClaim claim{engine, options_.entry, options_.link, 0};
  platform::StoreCommit commit;
  const std::string key = HostKey(AddressOf(engine));
  commit.conditions.push_back({key, 0});
  commit.writes.push_back({key, ToValue(claim), lease_});
  is_claiming_ = true;
  store_.Commit(commit, [self = shared_from_this(), claim](platform::CommitAnswer answer) mutable {
    self->is_claiming_ = false;
    if (answer.outcome == platform::CommitOutcome::kConflict) {
      self->claims_asked_at_ = 0;  // Another was first.
      return;
    }
    // One without an answer may have been done: it must end with the lease, or nobody
    // would give the engine orders.
    if (answer.outcome != platform::CommitOutcome::kDone) return self->LeaveLease();
    claim.revision = answer.revision;
    self->election_.OnClaimed(claim, MonotonicMs());
    self->Host(claim);
  });
}

bool EntryHosting::Listen() {
  if (is_listening_) return true;
  const auto port = links_.Listen(options_.link);
  is_listening_ = port.has_value();
  if (!port) log_.Write(MonotonicMs(), "link_not_open", {{"reason", port.error().sentence}});
  return is_listening_;
}

void EntryHosting::Host(const HostClaim& claim) {
  const Endpoint engine = AddressOf(claim.engine);
  log_.Write(MonotonicMs(), "engine_claimed",
             {{"engine", claim.engine}, {"fence", claim.revision}});
  KeeperCallbacks callbacks;
  callbacks.send = [this, engine](std::uint64_t link, const std::string& bytes) {
    if (link == kOwnLink) return callbacks_.view(engine, bytes);
    links_.Send(link, bytes);
  };
  callbacks.fence = [this, name = claim.engine] {
    const std::int64_t revision = election_.FencingTokenFor(name, MonotonicMs());
    return revision == 0 ? 0 : platform::StorePlace{store_.era(), revision}.ToToken();
  };
  // The claim's revision is the highest there is for this engine.
  callbacks.raise_fence = [this, name = claim.engine] { Release(name); };
  callbacks.list_soon = callbacks_.list_soon;
  callbacks.record = callbacks_.record_end;
  KeeperOptions options{options_.entry, engine, kActiveReportMs, kQuietReportMs, kQuietReportMs};
  auto keeper = std::make_shared<EngineKeeper>(io_, http_, log_, options, std::move(callbacks));
  keeper->SetPolicy(options_.policy);
  keeper->SetServices(services_);
  keeper->SetListing(listing_);
  keeper->OnLinkOpened(kOwnLink);
  hosted_[claim.engine] = Hosted{engine, keeper};
  keeper->Start();
}

// Those whose claim is no longer held.
void EntryHosting::DropLost() {
  const auto held = election_.HostedEngines();
  for (auto it = hosted_.begin(); it != hosted_.end();) {
    if (Contains(held, it->first)) {
      ++it;
      continue;
    }
    log_.Write(MonotonicMs(), "engine_released", {{"engine", it->first}});
    it->second.keeper->Stop();
    const Endpoint engine = it->second.engine;
    for (const auto& [link, name] : link_engine_) {
      if (name == it->first) links_.Close(link, "released");
    }
    it = hosted_.erase(it);
    callbacks_.released(engine);
  }
}

void EntryHosting::Release(const std::string& engine) {
  platform::StoreCommit commit;
  const HostClaim* claim = election_.FindClaim(engine);
  const std::string key = HostKey(AddressOf(engine));
  if (claim != nullptr) commit.conditions.push_back({key, claim->revision});
  commit.removals.push_back(key);
  // Without an answer it goes with the lease.
  store_.Commit(commit, [](platform::CommitAnswer) {});
  election_.OnReleased(engine);
  DropLost();
}

bool EntryHosting::IsHosting(const Endpoint& engine) const {
  return hosted_.count(engine.ToString()) > 0;
}

void EntryHosting::OnDemand(const Endpoint& engine, const AgentDemand& demand) {
  const auto it = hosted_.find(engine.ToString());
  if (it != hosted_.end()) it->second.keeper->OnDemand(kOwnLink, demand);
}

void EntryHosting::OnEnd(const Endpoint& engine, const UpstreamCrash& end) {
  const auto it = hosted_.find(engine.ToString());
  if (it != hosted_.end()) it->second.keeper->OnEnd(end);
}

void EntryHosting::OnQuotaAsk(const Endpoint& engine, const QuotaRequest& ask) {
  const auto it = hosted_.find(engine.ToString());
  if (it != hosted_.end()) it->second.keeper->OnQuotaAsk(kOwnLink, ask);
}

std::optional<std::string> EntryHosting::OnOriginMessage(std::string_view bytes) {
  const TimeMs now = MonotonicMs();
  bool is_valid = false;
  auto reply = stream_origins_.OnMessage(bytes, now, &is_valid);
  if (!is_valid) log_.Write(now, "origin_malformed", {});
  return reply;
}

std::optional<Endpoint> EntryHosting::LinkOf(const Endpoint& engine) const {
  const HostClaim* claim = election_.FindClaim(engine.ToString());
  if (claim == nullptr) return std::nullopt;
  return claim->demand_endpoint;
}

}  // namespace junctionrail::internal
