// A bounded log of decisions, read by `junctionrail why`: each record holds the
// decision, its inputs, and the rejected candidates with the reasons.
#ifndef JUNCTIONRAIL_DECISION_LOG_H_
#define JUNCTIONRAIL_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// A candidate that was considered and not chosen.
struct RejectedCandidate {
  std::string vm;
  std::string reason;
};

// One decision. Fields that do not apply are empty.
struct DecisionRecord {
  TimeMs at = 0;  // On the monotonic clock of the deciding process.
  std::string request;
  std::string key;
  std::string vm;
  std::string message;
  std::string inputs;  // `name=value` pairs for human readers.
  std::vector<RejectedCandidate> rejected;
  std::uint64_t config_version = 0;
};

// A ring buffer of records. Adding to a full buffer evicts the oldest record.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t capacity);

  void Add(DecisionRecord record);

  // Returns the records whose request, key or VM is `subject`, oldest first. A
  // request also matches its attempts, which are named `<request>.<n>`.
  std::vector<DecisionRecord> RecordsAbout(std::string_view subject) const;

  // Number of evicted records. A query that finds nothing must report that the
  // record may have been evicted.
  std::uint64_t evicted() const { return evicted_; }

 private:
  std::vector<DecisionRecord> ring_;
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::uint64_t evicted_ = 0;
};

// Encodes records as the JSON array that answers `why`. `unix_offset_ms` converts
// the clock of the process to Unix time, so that records of several processes can
// be ordered.
std::string EncodeRecords(const std::vector<DecisionRecord>& records, std::string_view process,
                          std::int64_t unix_offset_ms);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_DECISION_LOG_H_
