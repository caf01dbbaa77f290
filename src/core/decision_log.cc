#include "junctionrail/decision_log.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "junctionrail/checked_json.h"

namespace junctionrail {
namespace {

// Returns whether `id` is `request` or one of its attempts.
bool IsRequestOrAttempt(std::string_view id, std::string_view request) {
  if (id.compare(0, request.size(), request) != 0) return false;
  return id.size() == request.size() || id[request.size()] == '.';
}

}  // namespace

DecisionLog::DecisionLog(std::size_t capacity) : capacity_(capacity) {}

void DecisionLog::Add(DecisionRecord record) {
  if (ring_.size() < capacity_) {
    ring_.push_back(std::move(record));
    return;
  }
  ring_[next_] = std::move(record);
  next_ = (next_ + 1) % capacity_;
  ++evicted_;
}

std::vector<DecisionRecord> DecisionLog::RecordsAbout(std::string_view subject) const {
  std::vector<DecisionRecord> found;
  if (subject.empty()) return found;
  for (std::size_t n = 0; n < ring_.size(); ++n) {
    const auto& it = ring_[(next_ + n) % ring_.size()];
    const bool matches =
        IsRequestOrAttempt(it.request, subject) || it.key == subject || it.vm == subject;
    if (matches) found.push_back(it);
  }
  return found;
}

std::string EncodeRecords(const std::vector<DecisionRecord>& records, std::string_view process,
                          std::int64_t unix_offset_ms) {
  using nlohmann::json;
  json all = json::array();
  for (const auto& it : records) {
    json rejected = json::array();
    for (const auto& candidate : it.rejected) {
      rejected.push_back({{"vm", candidate.vm}, {"reason", candidate.reason}});
    }
    all.push_back({{"process", process},
                   {"at_ms", it.at + unix_offset_ms},
                   {"request", it.request},
                   {"key", it.key},
                   {"vm", it.vm},
                   {"sentence", it.message},
                   {"inputs", it.inputs},
                   {"rejected", std::move(rejected)},
                   {"config_version", it.config_version}});
  }
  return DumpJson(all);
}

}  // namespace junctionrail
