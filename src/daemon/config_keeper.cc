#include "config_keeper.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace junctionrail::internal {
namespace {

constexpr DurationMs kFirstBackoffMs = 200;
constexpr DurationMs kLongestBackoffMs = 2000;
constexpr DurationMs kSpreadMsPerEntry = 10;
// With the watch dead, a change is in force after at most this and one read.
constexpr DurationMs kPollMs = 2500;

}  // namespace

ConfigKeeper::ConfigKeeper(boost::asio::io_context& io, KvClient& kv, std::uint64_t seed,
                           KeeperCallbacks callbacks)
    : kv_(kv),
      callbacks_(std::move(callbacks)),
      retry_(io),
      poll_(io),
      random_(seed),
      backoff_ms_(kFirstBackoffMs) {}

void ConfigKeeper::Start() {
  ReadAgain();
  poll_.Every(kPollMs, [self = shared_from_this()] { self->Poll(); });
}

void ConfigKeeper::Stop() {
  is_stopped_ = true;
  retry_.Cancel();
  poll_.Cancel();
  if (watch_) watch_->Cancel();
}

// Between half and the whole of a delay, so that a fleet does not act as one.
DurationMs ConfigKeeper::Jittered(DurationMs delay) {
  std::uniform_int_distribution<DurationMs> any(delay / 2, delay);
  return any(random_);
}

void ConfigKeeper::ReadAgain() {
  if (is_reading_ || is_stopped_) return;
  is_reading_ = true;
  if (watch_) watch_->Cancel();
  watch_.reset();
  ReadStoredConfiguration(kv_,
                          [self = shared_from_this()](Result<StoredConfiguration, KvError> read) {
                            if (self->is_stopped_) return;
                            if (!read) return self->Failed();
                            self->callbacks_.configuration(std::move(read.value().configuration));
                            self->ReadGrants(read.value().revision);
                          });
}

void ConfigKeeper::ReadGrants(std::int64_t config_revision) {
  ReadStoredGrants(
      kv_, [self = shared_from_this(), config_revision](Result<StoredGrants, KvError> read) {
        if (self->is_stopped_) return;
        if (!read) return self->Failed();
        for (auto& it : read.value().records) self->callbacks_.grant(std::move(it));
        // The watch begins at the older of the two reads; what it repeats is ignored.
        self->seen_revision_ = std::min(config_revision, read.value().revision);
        self->is_reading_ = false;
        self->is_reachable_ = true;
        self->backoff_ms_ = kFirstBackoffMs;
        if (!self->has_read_) spdlog::info("configuration and grants read");
        self->has_read_ = true;
        self->Watch();
      });
}

void ConfigKeeper::Failed() {
  is_reading_ = false;
  if (is_reachable_ || !has_read_) spdlog::warn("the key-value service cannot be read");
  is_reachable_ = false;
  callbacks_.unreachable();
  // Reading everything is several calls; the fleet's are spread over a time
  // that grows with it, so that a service just back is not overrun.
  const auto spread = static_cast<DurationMs>(callbacks_.entries()) * kSpreadMsPerEntry;
  retry_.After(Jittered(backoff_ms_) + Jittered(spread),
               [self = shared_from_this()] { self->ReadAgain(); });
  backoff_ms_ = std::min(backoff_ms_ * 2, kLongestBackoffMs);
}

void ConfigKeeper::Watch() {
  watch_ = kv_.Watch(
      kRootPrefix, seen_revision_,
      [self = shared_from_this()](const std::vector<KvEvent>& events) { self->OnEvents(events); },
      [self = shared_from_this()](bool must_read) { self->OnWatchEnded(must_read); });
}

void ConfigKeeper::OnEvents(const std::vector<KvEvent>& events) {
  for (const auto& it : events) {
    const KvPair& pair = it.pair;
    seen_revision_ = std::max(seen_revision_, pair.mod_revision);
    if (it.is_deletion) continue;
    if (pair.key.compare(0, kGrantPrefix.size(), kGrantPrefix) == 0) {
      callbacks_.grant(ToGrantRecord(pair));
    } else if (pair.key.compare(0, kLogPrefix.size(), kLogPrefix) == 0) {
      auto change = DecodeChange(pair.value, pair.key);
      if (change) callbacks_.change(std::move(change.value()));
    }
  }
}

void ConfigKeeper::OnWatchEnded(bool must_read) {
  if (is_stopped_ || is_reading_) return;
  watch_.reset();
  retry_.After(Jittered(backoff_ms_), [self = shared_from_this(), must_read] {
    if (self->is_stopped_ || self->is_reading_) return;
    if (must_read) return self->ReadAgain();
    self->Watch();
  });
  backoff_ms_ = std::min(backoff_ms_ * 2, kLongestBackoffMs);
}

void ConfigKeeper::Poll() {
  if (is_reading_ || !has_read_) return;
  const std::uint64_t next = callbacks_.version() + 1;
  kv_.Range(LogKey(next), {}, 1, [self = shared_from_this(), next](Result<KvRange, KvError> read) {
    if (self->is_stopped_ || self->is_reading_) return;
    const bool was_reachable = self->is_reachable_;
    self->is_reachable_ = static_cast<bool>(read);
    if (was_reachable && !self->is_reachable_) {
      spdlog::warn("the key-value service does not answer");
    } else if (!was_reachable && self->is_reachable_) {
      spdlog::info("the key-value service answers again");
      self->backoff_ms_ = kFirstBackoffMs;
    }
    if (!read || read.value().pairs.empty()) return;
    // The watch should have brought this version; it did not.
    const bool is_still_missing = self->callbacks_.version() < next;
    if (is_still_missing) self->ReadAgain();
  });
}

}  // namespace junctionrail::internal
