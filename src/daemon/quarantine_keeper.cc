#include "quarantine_keeper.h"

#include <utility>

namespace junctionrail::internal {
namespace {

constexpr std::string_view kPrefix = "quarantine/";
constexpr std::string_view kEnds = "quarantine/ends/";
constexpr std::string_view kRefused = "quarantine/refused/";
// A record that could not be written is tried again, as the end itself goes round by
// the links too and the record fades with the suspicion.
constexpr int kMostTries = 4;
constexpr DurationMs kAgainMs = 1000;
// The store answers it at the latest then; each return is priced. A connection that dies
// meanwhile is given up by the kernel within 2 s.
constexpr DurationMs kWatchMs = 25000;
// The store was away: what follows its list says sooner when it is back.
constexpr DurationMs kAwayMs = 2000;
// It has forgotten the changes since; a pause, should it forget them again and again.
constexpr DurationMs kForgottenMs = 100;

std::string KeyOf(const RequestDigest& digest) { return std::string(kRefused) + digest.ToString(); }

bool IsBelow(std::string_view key, std::string_view prefix) {
  return key.substr(0, prefix.size()) == prefix;
}

}  // namespace

QuarantineRecorder::QuarantineRecorder(boost::asio::io_context& io, platform::StoreClient& store,
                                       EventLog& log, std::string writer)
    : io_(io), store_(store), log_(log), writer_(std::move(writer)) {}

void QuarantineRecorder::Record(const UpstreamCrash& end) {
  Write(std::string(kEnds) + end.instance + "/" + writer_, CrashToText(end),
        QuarantineLimits().suspicion_ttl_ms, kMostTries);
}

void QuarantineRecorder::Record(const RequestDigest& refused) {
  Write(KeyOf(refused), writer_, QuarantineLimits().refusal_ttl_ms, kMostTries);
}

void QuarantineRecorder::Write(const std::string& key, const std::string& value, DurationMs ttl_ms,
                               int tries) {
  store_.OpenLease(ttl_ms, [self = shared_from_this(), key, value, ttl_ms, tries](auto lease) {
    if (!lease) return self->Again(key, value, ttl_ms, tries, lease.error().sentence);
    self->WriteUnder(lease.value(), key, value, ttl_ms, tries);
  });
}

void QuarantineRecorder::WriteUnder(std::int64_t lease, const std::string& key,
                                    const std::string& value, DurationMs ttl_ms, int tries) {
  platform::StoreCommit commit;
  commit.writes.push_back({key, value, lease});
  store_.Commit(commit, [self = shared_from_this(), key, value, ttl_ms,
                         tries](platform::CommitAnswer answer) {
    // To write it twice changes nothing.
    if (answer.outcome == platform::CommitOutcome::kDone) return;
    self->Again(key, value, ttl_ms, tries, "not written, or not known");
  });
}

void QuarantineRecorder::Again(const std::string& key, const std::string& value, DurationMs ttl_ms,
                               int tries, std::string_view reason) {
  if (tries <= 1) {
    log_.Write(MonotonicMs(), "quarantine_not_recorded", {{"key", key}, {"reason", reason}});
    return;
  }
  const auto timer = std::make_shared<Timer>(io_);
  timer->After(kAgainMs, [self = shared_from_this(), timer, key, value, ttl_ms, tries] {
    self->Write(key, value, ttl_ms, tries - 1);
  });
}

void QuarantineRecorder::Release(const RequestDigest& refused,
                                 std::function<void(bool is_done)> done) {
  platform::StoreCommit commit;
  commit.removals.push_back(KeyOf(refused));
  store_.Commit(commit, [done = std::move(done)](platform::CommitAnswer answer) {
    done(answer.outcome == platform::CommitOutcome::kDone);
  });
}

QuarantineFollower::QuarantineFollower(boost::asio::io_context& io, platform::StoreClient& store,
                                       EventLog& log, Callbacks callbacks)
    : store_(store), log_(log), callbacks_(std::move(callbacks)), timer_(io) {}

void QuarantineFollower::Reread() {
  ++round_;
  Read();
}

void QuarantineFollower::Read() {
  timer_.Cancel();
  platform::ReadOptions options;
  options.on_new_connection = round_ > 0;
  options.limit_ms = platform::kRepeatedCallMs;
  store_.ReadBelow(std::string(kPrefix), options,
                   [self = shared_from_this(), round = round_](auto read) {
                     if (round != self->round_) return;
                     if (!read) return self->ReadAfter(kAwayMs);
                     self->has_read_ = true;
                     self->revision_ = read.value().revision;
                     for (const auto& it : read.value().items) self->Take(it);
                     self->Watch();
                   });
}

void QuarantineFollower::ReadAfter(DurationMs delay) {
  timer_.After(delay, [self = shared_from_this()] { self->Reread(); });
}

void QuarantineFollower::Watch() {
  store_.AwaitChange(std::string(kPrefix), revision_, kWatchMs,
                     [self = shared_from_this(), round = round_](auto read) {
                       if (round != self->round_) return;
                       if (!read) {
                         const bool is_forgotten =
                             read.error().code == platform::StoreErrorCode::kNoHistory;
                         return self->ReadAfter(is_forgotten ? kForgottenMs : kAwayMs);
                       }
                       for (const auto& it : read.value().items) self->Take(it);
                       self->revision_ = read.value().revision;
                       self->Watch();
                     });
}

void QuarantineFollower::Take(const platform::StoreItem& item) {
  if (IsBelow(item.key, kRefused)) {
    const auto digest = RequestDigest::Parse(item.key.substr(kRefused.size()));
    if (digest) return item.is_deleted ? callbacks_.released(*digest) : callbacks_.refused(*digest);
  } else if (item.is_deleted) {
    return;  // An end has faded.
  } else if (IsBelow(item.key, kEnds)) {
    UpstreamCrash end;
    if (CrashFromText(item.value, &end)) return callbacks_.ended(end);
  }
  log_.Write(MonotonicMs(), "quarantine_malformed", {{"key", item.key}});
}

}  // namespace junctionrail::internal
