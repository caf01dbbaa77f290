// Splits a text/event-stream into complete events, so that a response can be resumed at another
// upstream after the last of them.
#ifndef JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_
#define JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace junctionrail::internal {

// Of one event; those of engines are a few KiB.
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr char kEventTooLong[] = "an event longer than 1 MiB";

class EventStreamReader {
 public:
  // Takes received bytes and returns the events they complete. Events with a numeric id that is not
  // above the last one are dropped, as an upstream may repeat events when it resumes.
  std::string Feed(std::string_view data);

  // Call before resuming at another upstream. Returns what RestorePartialEvent takes if the stream
  // goes on at the former one after all.
  std::string TakePartialEvent() { return std::exchange(partial_event_, {}); }
  void RestorePartialEvent(std::string bytes) { partial_event_ = std::move(bytes); }

  // Whether the bytes hold the end of an event.
  static bool HoldsWholeEvent(std::string_view bytes);

  // Bytes received after the last complete event.
  const std::string& partial_event() const { return partial_event_; }
  // The id of the last complete event that had one; empty if none had.
  const std::string& last_id() const { return last_id_; }
  std::uint64_t event_count() const { return event_count_; }

 private:
  std::string partial_event_;
  std::string last_id_;
  std::optional<std::int64_t> last_numeric_id_;
  std::uint64_t event_count_ = 0;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_
