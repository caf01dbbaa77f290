// The bounded memory of decisions that `junctionrail why` reads: what was
// decided, the inputs it saw, the candidates it rejected and why.
#ifndef JUNCTIONRAIL_DECISION_LOG_H_
#define JUNCTIONRAIL_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// A candidate that was looked at and not taken.
struct RejectedCandidate {
  std::string vm;
  std::string reason;
};

// One decision. A subject that does not apply is empty.
struct DecisionRecord {
  TimeMs at = 0;  // On the deciding process's own clock.
  std::string request;
  std::string key;
  std::string vm;
  std::string message;
  std::string inputs;  // `name=value` pairs, for people.
  std::vector<RejectedCandidate> rejected;
  std::uint64_t config_version = 0;
};

// A ring of records. Adding to a full ring evicts the oldest.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t capacity);

  void Add(DecisionRecord record);

  // Records whose request, key or VM is `subject`, oldest first. A request's
  // attempts are named `<request>.<n>` and match the request too.
  std::vector<DecisionRecord> RecordsAbout(std::string_view subject) const;

  // How many records the ring has lost; an answer that finds nothing must say
  // that the record may have been among them.
  std::uint64_t evicted() const { return evicted_; }

 private:
  std::vector<DecisionRecord> ring_;
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::uint64_t evicted_ = 0;
};

// The JSON array `why` travels as. `unix_offset_ms` turns the process's own
// clock into Unix time, so that records of several processes can be ordered.
std::string EncodeRecords(const std::vector<DecisionRecord>& records, std::string_view process,
                          std::int64_t unix_offset_ms);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_DECISION_LOG_H_
