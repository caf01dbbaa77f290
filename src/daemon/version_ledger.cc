#include "version_ledger.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kVersionsPrefix = "stream-versions/";
constexpr std::string_view kServicesPrefix = "stream-services/";
// Entries record a new version one after the other, so that most of them find it recorded.
constexpr DurationMs kSpreadMs = 200;
constexpr DurationMs kRetryMs = 500;
// A caller waits for this reading.
constexpr DurationMs kReadMs = 400;

std::string KeyOf(std::string_view prefix, const std::string& name) {
  return std::string(prefix) + name;
}

bool HasPrefix(std::string_view key, std::string_view prefix) {
  return key.substr(0, prefix.size()) == prefix;
}

// The field of the recorded text that has the names.
const char* FieldOf(std::string_view key) {
  return HasPrefix(key, kServicesPrefix) ? "services" : "versions";
}

std::string ToText(const std::string& key, const VersionLedger::Names& names) {
  return DumpJson(json{{FieldOf(key), names}});
}

// A malformed text may have had any name.
VersionLedger::Names FromText(const std::string& key, const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  try {
    return document.at(FieldOf(key)).get<VersionLedger::Names>();
  } catch (const json::exception&) {
    return {VersionLedger::kUnknownName};
  }
}

// What is recorded, and the revision for a change of it.
struct Recorded {
  VersionLedger::Names names;
  std::int64_t revision = 0;  // 0: nothing is recorded.
};

Recorded FromRead(const std::string& key, const platform::StoreRead& read) {
  if (read.items.empty()) return Recorded{};
  const platform::StoreItem& item = read.items.front();
  return {FromText(key, item.value), item.revision};
}

}  // namespace

VersionLedger::VersionLedger(boost::asio::io_context& io, platform::StoreClient& store,
                             EventLog& log, std::string entry, DurationMs retention_ms)
    : io_(io), store_(store), log_(log), entry_(std::move(entry)), retention_ms_(retention_ms) {}

void VersionLedger::SetListing(const std::vector<UpstreamRecord>& records,
                               const std::set<std::string>& services) {
  std::map<std::string, Names> listed;
  for (const auto& it : records) {
    if (services.count(it.service) == 0) continue;
    listed[KeyOf(kVersionsPrefix, it.service)].insert(it.software_version);
  }
  ApplyListing(kVersionsPrefix, std::move(listed));
}

void VersionLedger::SetRouteServices(const std::map<std::string, Services>& services_by_route) {
  std::map<std::string, Names> listed;
  for (const auto& [route, services] : services_by_route) {
    listed[KeyOf(kServicesPrefix, route)] = services;
  }
  ApplyListing(kServicesPrefix, std::move(listed));
}

void VersionLedger::ApplyListing(std::string_view prefix, std::map<std::string, Names> listed) {
  const TimeMs now = MonotonicMs();
  for (const auto& [key, names] : listed) records_.try_emplace(key);
  for (auto& [key, record] : records_) {
    if (!HasPrefix(key, prefix)) continue;
    ApplyListed(listed[key], now, &record);
    if (record.is_writing || !NeedsWrite(record, now)) continue;
    ScheduleWrite(key, static_cast<DurationMs>(RendezvousScore(entry_, key) % kSpreadMs));
  }
}

void VersionLedger::OnNewEra() {
  for (auto& [key, record] : records_) record.recorded.clear();
}

// The time counts from the first listing without the name, not from the last one with it: while
// the store cannot be read there are no listings, and upstreams serve on.
void VersionLedger::ApplyListed(const Names& listed, TimeMs now, Record* record) const {
  auto& names = record->missing_since;
  for (auto it = names.begin(); it != names.end();) {
    if (!it->second) it->second = now;
    // What another entry records of it later is news.
    const bool is_forgotten = IsExpired(it->second, now) && record->recorded.count(it->first) == 0;
    it = is_forgotten ? names.erase(it) : std::next(it);
  }
  for (const auto& it : listed) names[it] = std::nullopt;
}

bool VersionLedger::IsExpired(const std::optional<TimeMs>& missing_since, TimeMs now) const {
  return missing_since && now - *missing_since >= retention_ms_;
}

// A name that is no longer listed stays for as long as a stream may be resumed.
VersionLedger::Names VersionLedger::Expected(const Record& record, TimeMs now) const {
  Names names;
  for (const auto& [name, missing_since] : record.missing_since) {
    if (!IsExpired(missing_since, now)) names.insert(name);
  }
  return names;
}

bool VersionLedger::NeedsWrite(const Record& record, TimeMs now) const {
  return Expected(record, now) != record.recorded;
}

void VersionLedger::ScheduleWrite(const std::string& key, DurationMs delay) {
  records_[key].is_writing = true;
  const auto timer = std::make_shared<Timer>(io_);
  timer->After(delay, [self = weak_from_this(), timer, key] {
    if (const auto ledger = self.lock()) ledger->Write(key);
  });
}

void VersionLedger::Write(const std::string& key) {
  platform::ReadOptions options;
  options.limit_ms = platform::kRepeatedCallMs;
  store_.ReadKey(key, options, [self = shared_from_this(), key](auto read) {
    if (!read) return self->ScheduleWrite(key, kRetryMs);
    const Recorded recorded = FromRead(key, read.value());
    const TimeMs now = MonotonicMs();
    Record& record = self->records_[key];
    // Another entry may have seen a name that this one has not: it stays until this one has
    // missed it for long enough.
    for (const auto& it : recorded.names) record.missing_since.try_emplace(it, now);
    const Names names = self->Expected(record, now);
    if (names == recorded.names) {
      record.recorded = names;
      record.is_writing = false;
      return;
    }
    platform::StoreCommit commit;
    commit.conditions.push_back({key, recorded.revision});
    commit.writes.push_back({key, ToText(key, names), 0});
    self->store_.Commit(commit, [self, key, names](platform::CommitAnswer answer) {
      self->OnWritten(key, names, answer.outcome);
    });
  });
}

void VersionLedger::OnWritten(const std::string& key, const Names& names,
                              platform::CommitOutcome outcome) {
  if (outcome != platform::CommitOutcome::kDone) return ScheduleWrite(key, kRetryMs);
  Record& record = records_[key];
  record.recorded = names;
  record.is_writing = false;
  std::string all;
  for (const auto& it : names) all += (all.empty() ? "" : " ") + it;
  const bool is_of_route = HasPrefix(key, kServicesPrefix);
  const std::string name = key.substr((is_of_route ? kServicesPrefix : kVersionsPrefix).size());
  log_.Write(MonotonicMs(), is_of_route ? "stream_services_recorded" : "stream_versions_recorded",
             {{is_of_route ? "route" : "service", name}, {FieldOf(key), all}});
}

void VersionLedger::Read(const std::string& service, Done done) {
  ReadRecord(KeyOf(kVersionsPrefix, service), std::move(done));
}

void VersionLedger::ReadRouteServices(const std::string& route, Done done) {
  ReadRecord(KeyOf(kServicesPrefix, route), std::move(done));
}

void VersionLedger::ReadRecord(const std::string& key, Done done) {
  Record& record = records_[key];
  if (!record.waiting.empty()) {
    record.waiting_next.push_back(std::move(done));
    return;
  }
  record.waiting.push_back(std::move(done));
  BeginReading(key);
}

void VersionLedger::BeginReading(const std::string& key) {
  platform::ReadOptions options;
  options.limit_ms = kReadMs;
  store_.ReadKey(key, options, [self = shared_from_this(), key](auto read) {
    Record& record = self->records_[key];
    const auto waiting = std::exchange(record.waiting, std::exchange(record.waiting_next, {}));
    if (!record.waiting.empty()) self->BeginReading(key);
    std::optional<Names> names;
    if (read) names = FromRead(key, read.value()).names;
    for (const auto& it : waiting) it(names);
  });
}

}  // namespace junctionrail::internal
