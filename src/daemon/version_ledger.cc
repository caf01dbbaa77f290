#include "version_ledger.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "stream-versions/";
// Entries record a new version one after the other, so that most of them find it recorded.
constexpr DurationMs kSpreadMs = 200;
constexpr DurationMs kRetryMs = 500;
// A caller waits for this reading.
constexpr DurationMs kReadMs = 400;

std::string KeyOf(const std::string& service) { return std::string(kPrefix) + service; }

std::string ToText(const VersionLedger::Versions& versions) {
  return DumpJson(json{{"versions", versions}});
}

// A malformed text may have named any version.
VersionLedger::Versions FromText(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  try {
    return document.at("versions").get<VersionLedger::Versions>();
  } catch (const json::exception&) {
    return {VersionLedger::kUnknownVersion};
  }
}

// What is recorded, and the revision for a change of it.
struct Recorded {
  VersionLedger::Versions versions;
  std::int64_t revision = 0;  // 0: nothing is recorded.
};

Recorded FromRead(const platform::StoreRead& read) {
  if (read.items.empty()) return Recorded{};
  const platform::StoreItem& item = read.items.front();
  return {FromText(item.value), item.revision};
}

}  // namespace

VersionLedger::VersionLedger(boost::asio::io_context& io, platform::StoreClient& store,
                             EventLog& log, std::string entry, DurationMs retention_ms)
    : io_(io), store_(store), log_(log), entry_(std::move(entry)), retention_ms_(retention_ms) {}

void VersionLedger::SetListing(const std::vector<UpstreamRecord>& records,
                               const std::set<std::string>& services) {
  const TimeMs now = MonotonicMs();
  std::map<std::string, Versions> listed;
  for (const auto& it : records) {
    if (services.count(it.service) > 0) listed[it.service].insert(it.software_version);
  }
  for (const auto& [name, versions] : listed) services_.try_emplace(name);
  for (auto& [name, service] : services_) ApplyListed(listed[name], now, &service);
  for (const auto& [name, service] : services_) {
    if (service.is_writing || !NeedsWrite(service, now)) continue;
    const auto delay = static_cast<DurationMs>(RendezvousScore(entry_, name) % kSpreadMs);
    ScheduleWrite(name, delay);
  }
}

void VersionLedger::OnNewEra() {
  for (auto& [name, service] : services_) service.recorded.clear();
}

// The time counts from the first listing without the version, not from the last one with it: while
// the store cannot be read there are no listings, and upstreams serve on.
void VersionLedger::ApplyListed(const Versions& listed, TimeMs now, Service* service) const {
  auto& versions = service->missing_since;
  for (auto it = versions.begin(); it != versions.end();) {
    if (!it->second) it->second = now;
    // What another entry records of it later is news.
    const bool is_forgotten = IsExpired(it->second, now) && service->recorded.count(it->first) == 0;
    it = is_forgotten ? versions.erase(it) : std::next(it);
  }
  for (const auto& it : listed) versions[it] = std::nullopt;
}

bool VersionLedger::IsExpired(const std::optional<TimeMs>& missing_since, TimeMs now) const {
  return missing_since && now - *missing_since >= retention_ms_;
}

// A version that is no longer listed stays for as long as a stream may be resumed.
VersionLedger::Versions VersionLedger::Expected(const Service& service, TimeMs now) const {
  Versions versions;
  for (const auto& [version, missing_since] : service.missing_since) {
    if (!IsExpired(missing_since, now)) versions.insert(version);
  }
  return versions;
}

bool VersionLedger::NeedsWrite(const Service& service, TimeMs now) const {
  return Expected(service, now) != service.recorded;
}

void VersionLedger::ScheduleWrite(const std::string& name, DurationMs delay) {
  services_[name].is_writing = true;
  const auto timer = std::make_shared<Timer>(io_);
  timer->After(delay, [self = weak_from_this(), timer, name] {
    if (const auto ledger = self.lock()) ledger->Write(name);
  });
}

void VersionLedger::Write(const std::string& name) {
  platform::ReadOptions options;
  options.limit_ms = platform::kRepeatedCallMs;
  store_.ReadKey(KeyOf(name), options, [self = shared_from_this(), name](auto read) {
    if (!read) return self->ScheduleWrite(name, kRetryMs);
    const Recorded recorded = FromRead(read.value());
    const TimeMs now = MonotonicMs();
    Service& service = self->services_[name];
    // Another entry may have seen a version that this one has not: it stays until this one has
    // missed it for long enough.
    for (const auto& it : recorded.versions) service.missing_since.try_emplace(it, now);
    const Versions versions = self->Expected(service, now);
    if (versions == recorded.versions) {
      service.recorded = versions;
      service.is_writing = false;
      return;
    }
    platform::StoreCommit commit;
    commit.conditions.push_back({KeyOf(name), recorded.revision});
    commit.writes.push_back({KeyOf(name), ToText(versions), 0});
    self->store_.Commit(commit, [self, name, versions](platform::CommitAnswer answer) {
      self->OnWritten(name, versions, answer.outcome);
    });
  });
}

void VersionLedger::OnWritten(const std::string& name, const Versions& versions,
                              platform::CommitOutcome outcome) {
  if (outcome != platform::CommitOutcome::kDone) return ScheduleWrite(name, kRetryMs);
  Service& service = services_[name];
  service.recorded = versions;
  service.is_writing = false;
  std::string all;
  for (const auto& it : versions) all += (all.empty() ? "" : " ") + it;
  log_.Write(MonotonicMs(), "stream_versions_recorded", {{"service", name}, {"versions", all}});
}

void VersionLedger::Read(const std::string& name, Done done) {
  Service& service = services_[name];
  if (!service.waiting.empty()) {
    service.waiting_next.push_back(std::move(done));
    return;
  }
  service.waiting.push_back(std::move(done));
  BeginReading(name);
}

void VersionLedger::BeginReading(const std::string& name) {
  platform::ReadOptions options;
  options.limit_ms = kReadMs;
  store_.ReadKey(KeyOf(name), options, [self = shared_from_this(), name](auto read) {
    Service& service = self->services_[name];
    const auto waiting = std::exchange(service.waiting, std::exchange(service.waiting_next, {}));
    if (!service.waiting.empty()) self->BeginReading(name);
    std::optional<Versions> versions;
    if (read) versions = FromRead(read.value()).versions;
    for (const auto& it : waiting) it(versions);
  });
}

}  // namespace junctionrail::internal
