// What the system keeps in the key-value service: the configuration's log and
// snapshot, and the grants. Every write is one compare-and-swap of one key.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <utility>

#include "junctionrail/store.h"

namespace junctionrail {
namespace {

constexpr std::int64_t kPageKeys = 1000;
constexpr int kMostSwaps = 8;

// Reads every page of a prefix before it calls back.
void ReadAll(KvClient& kv, const std::string& from, const std::string& end, KvRange so_far,
             const KvClient::RangeDone& done) {
  kv.Range(from, end, kPageKeys,
           [&kv, end, so_far = std::move(so_far), done](Result<KvRange, KvError> page) mutable {
             if (!page) return done(page.error());
             KvRange range = std::move(page.value());
             // The first page's revision is kept: a watch from there misses nothing.
             if (so_far.revision == 0) so_far.revision = range.revision;
             for (auto& it : range.pairs) so_far.pairs.push_back(std::move(it));
             if (!range.has_more || range.pairs.empty()) return done(std::move(so_far));
             const std::string next = so_far.pairs.back().key + std::string(1, '\0');
             ReadAll(kv, next, end, std::move(so_far), done);
           });
}

GrantRecord ToRecord(const std::string& key, const std::optional<KvPair>& pair) {
  GrantRecord record;
  record.key = key;
  if (!pair) return record;
  auto decoded = DecodeGrant(pair->value, key);
  if (decoded) record = std::move(decoded.value());
  record.revision = pair->mod_revision;
  return record;
}

KvError Malformed(const DocumentError& error) {
  return KvError{KvErrorCode::kMalformed, error.Sentence()};
}

void FreeSlotOnce(KvClient& kv, const std::string& key, std::int64_t token, int tries,
                  const std::function<void(bool)>& done) {
  if (tries == 0) return done(false);
  ReadGrantRecord(kv, key, [&kv, key, token, tries, done](Result<GrantRecord, KvError> read) {
    if (!read) return done(false);
    GrantRecord record = std::move(read.value());
    const auto it = std::find_if(record.slots.begin(), record.slots.end(),
                                 [token](const GrantSlot& slot) { return slot.token == token; });
    if (it == record.slots.end()) return done(true);
    record.slots.erase(it);
    WriteGrantRecord(kv, record, [&kv, key, token, tries, done](Result<GrantWrite, KvError> write) {
      if (write && write.value().is_written) return done(true);
      // A conflict or a lost answer: what stands there now decides.
      FreeSlotOnce(kv, key, token, tries - 1, done);
    });
  });
}

bool NamesVm(const GrantRecord& record, const std::string& vm, const std::string& incarnation) {
  return std::any_of(record.slots.begin(), record.slots.end(), [&](const GrantSlot& slot) {
    return slot.vm == vm && slot.incarnation == incarnation;
  });
}

// Writes the records from number `n` on that name the VM again, one by one. A
// conflict means that somebody else has just written: what stands is taken.
void TouchFrom(KvClient& kv, std::size_t n, const std::shared_ptr<StoredGrants>& stored,
               const std::string& vm, const std::string& incarnation, const GrantsDone& done) {
  while (n < stored->records.size() && !NamesVm(stored->records[n], vm, incarnation)) ++n;
  if (n == stored->records.size()) return done(std::move(*stored));
  WriteGrantRecord(kv, stored->records[n],
                   [&kv, n, stored, vm, incarnation, done](Result<GrantWrite, KvError> write) {
                     if (!write) return done(write.error());
                     const bool is_own = write.value().is_written;
                     stored->records[n] = std::move(write.value().record);
                     TouchFrom(kv, is_own ? n + 1 : n, stored, vm, incarnation, done);
                   });
}

}  // namespace

GrantRecord ToGrantRecord(const KvPair& pair) {
  return ToRecord(pair.key.substr(kGrantPrefix.size()), pair);
}

std::string LogKey(std::uint64_t version) {
  char buf[24];
  std::snprintf(buf, sizeof(buf), "%016llu", static_cast<unsigned long long>(version));
  return std::string(kLogPrefix) + buf;
}

std::string GrantKey(std::string_view key) { return std::string(kGrantPrefix) + std::string(key); }

void ReadStoredConfiguration(KvClient& kv, ConfigurationDone done) {
  kv.Range(kSnapshotKey, {}, 0, [&kv, done = std::move(done)](Result<KvRange, KvError> read) {
    if (!read) return done(read.error());
    Configuration configuration;
    if (!read.value().pairs.empty()) {
      auto decoded = DecodeConfiguration(read.value().pairs.front().value, kSnapshotKey);
      if (!decoded) return done(Malformed(decoded.error()));
      configuration = std::move(decoded.value());
    }
    const std::string from = LogKey(configuration.version() + 1);
    ReadAll(kv, from, PrefixEnd(kLogPrefix), {},
            [configuration, done](Result<KvRange, KvError> log) mutable {
              if (!log) return done(log.error());
              for (const auto& it : log.value().pairs) {
                const auto change = DecodeChange(it.value, it.key);
                if (!change) return done(Malformed(change.error()));
                configuration.Apply(change.value());
              }
              done(StoredConfiguration{std::move(configuration), log.value().revision});
            });
  });
}

void AcceptChange(KvClient& kv, const ConfigChange& change, AcceptDone done) {
  const std::string key = LogKey(change.version);
  kv.Swap(key, EncodeChange(change), 0,
          [&kv, key, id = change.change_id, done = std::move(done)](Result<KvSwap, KvError> swap) {
            if (swap) {
              if (swap.value().is_written) return done(AcceptOutcome::kAccepted);
              // The key may hold this very change, from a write whose answer was lost.
              const auto& current = swap.value().current;
              const auto held = current ? DecodeChange(current->value, key)
                                        : Result<ConfigChange, DocumentError>(DocumentError{});
              const bool is_own = held && held.value().change_id == id;
              return done(is_own ? AcceptOutcome::kAccepted : AcceptOutcome::kConflict);
            }
            if (swap.error().code == KvErrorCode::kUnavailable) {
              return done(AcceptOutcome::kUnavailable);
            }
            kv.Range(key, {}, 0, [key, id, done](Result<KvRange, KvError> read) {
              if (!read || read.value().pairs.empty()) return done(AcceptOutcome::kUnknown);
              const auto held = DecodeChange(read.value().pairs.front().value, key);
              const bool is_own = held && held.value().change_id == id;
              done(is_own ? AcceptOutcome::kAccepted : AcceptOutcome::kConflict);
            });
          });
}

void CompactInto(KvClient& kv, const Configuration& configuration, std::function<void(bool)> done) {
  kv.Range(kSnapshotKey, {}, 0,
           [&kv, configuration, done = std::move(done)](Result<KvRange, KvError> read) {
             if (!read) return done(false);
             std::int64_t revision = 0;
             if (!read.value().pairs.empty()) {
               const KvPair& pair = read.value().pairs.front();
               revision = pair.mod_revision;
               const auto stored = DecodeConfiguration(pair.value, kSnapshotKey);
               const bool is_newer = stored && stored.value().version() >= configuration.version();
               if (is_newer) return done(true);
             }
             kv.Swap(
                 kSnapshotKey, EncodeConfiguration(configuration), revision,
                 [done](Result<KvSwap, KvError> swap) { done(swap && swap.value().is_written); });
           });
}

void ReadStoredGrants(KvClient& kv, GrantsDone done) {
  ReadAll(kv, std::string(kGrantPrefix), PrefixEnd(kGrantPrefix), {},
          [done = std::move(done)](Result<KvRange, KvError> all) {
            if (!all) return done(all.error());
            StoredGrants stored;
            stored.revision = all.value().revision;
            for (const auto& it : all.value().pairs) {
              stored.records.push_back(ToGrantRecord(it));
            }
            done(std::move(stored));
          });
}

void TakeOverGrants(KvClient& kv, const std::string& vm, const std::string& incarnation,
                    GrantsDone done) {
  ReadStoredGrants(
      kv, [&kv, vm, incarnation, done = std::move(done)](Result<StoredGrants, KvError> read) {
        if (!read) return done(read.error());
        auto stored = std::make_shared<StoredGrants>(std::move(read.value()));
        TouchFrom(kv, 0, stored, vm, incarnation, done);
      });
}

void ReadGrantRecord(KvClient& kv, const std::string& key, GrantDone done) {
  kv.Range(GrantKey(key), {}, 0, [key, done = std::move(done)](Result<KvRange, KvError> read) {
    if (!read) return done(read.error());
    const auto& pairs = read.value().pairs;
    done(ToRecord(key, pairs.empty() ? std::nullopt : std::optional<KvPair>(pairs.front())));
  });
}

void WriteGrantRecord(KvClient& kv, GrantRecord record, GrantWriteDone done) {
  const std::string key = GrantKey(record.key);
  const std::string value = EncodeGrant(record);
  const std::int64_t expected = record.revision;
  kv.Swap(
      key, value, expected,
      [record = std::move(record), done = std::move(done)](Result<KvSwap, KvError> swap) mutable {
        if (!swap) return done(swap.error());
        if (swap.value().is_written) {
          record.revision = swap.value().revision;
          return done(GrantWrite{true, std::move(record)});
        }
        done(GrantWrite{false, ToRecord(record.key, swap.value().current)});
      });
}

void FreeGrantSlot(KvClient& kv, const std::string& key, std::int64_t token,
                   std::function<void(bool)> done) {
  FreeSlotOnce(kv, key, token, kMostSwaps, done);
}

}  // namespace junctionrail
