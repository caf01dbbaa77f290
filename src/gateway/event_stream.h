// Cuts a text/event-stream into whole events, so that an answer may go on at
// another upstream after the last one.
#ifndef JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_
#define JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace junctionrail::internal {

class EventStreamReader {
 public:
  // Takes bytes as they arrive and returns those that complete events. Events
  // that a resumed upstream sends again are left out.
  std::string Feed(std::string_view data);

  // The upstream broke off: what is left of its last event is dropped.
  void DiscardPartialEvent() { partial_event_.clear(); }

  // Bytes after the last whole event.
  const std::string& partial_event() const { return partial_event_; }
  // The id of the last whole event; empty before any had one.
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
