// Cuts a text/event-stream into whole events, so that an answer may go on at
// another upstream after the last one.
#ifndef JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_
#define JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace junctionrail::internal {

class EventStream {
 public:
  // Takes bytes as they arrive and returns those that complete events. Events
  // that a resumed upstream sends again are left out.
  std::string Take(std::string_view data);

  // The upstream broke off: what is left of its last event is dropped.
  void DropTail() { tail_.clear(); }

  // Bytes after the last whole event.
  const std::string& tail() const { return tail_; }
  // The id of the last whole event; empty before any had one.
  const std::string& last_id() const { return last_id_; }
  std::uint64_t events() const { return events_; }

 private:
  std::string tail_;
  std::string last_id_;
  std::optional<std::int64_t> last_number_;
  std::uint64_t events_ = 0;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_EVENT_STREAM_H_
