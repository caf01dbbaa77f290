#include "event_stream.h"

#include <algorithm>

#include "http_text.h"

namespace junctionrail::internal {
namespace {

// Of the blank line that ends an event, as much as may be the end of what was received.
constexpr std::size_t kMaxCutEndBytes = 2;

// Returns the position after the blank line that ends the first event, or npos.
std::size_t EndOfEvent(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) return lf;
  return lf < crlf ? lf + 2 : crlf + 3;
}

std::string_view FindId(std::string_view event) {
  std::string_view id;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, 3) == "id:") {
      id = line.substr(3);
      if (!id.empty() && id.front() == ' ') id.remove_prefix(1);
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return id;
}

}  // namespace

bool EventStreamReader::HoldsWholeEvent(std::string_view bytes) {
  return EndOfEvent(bytes) != std::string_view::npos;
}

std::string EventStreamReader::Feed(std::string_view data) {
  // Of an event that arrives in many pieces, each byte is searched once.
  std::size_t searched = partial_event_.size() - std::min(partial_event_.size(), kMaxCutEndBytes);
  partial_event_ += data;
  std::string whole;
  std::size_t at = 0;
  while (true) {
    std::string_view rest(partial_event_);
    rest.remove_prefix(at);
    const std::size_t end = EndOfEvent(rest.substr(searched));
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, searched + end);
    at += event.size();
    searched = 0;
    const std::string_view id = FindId(event);
    std::int64_t number = 0;
    const bool has_number = ParseWholeNumber(id, &number);
    if (has_number && last_numeric_id_ && number <= *last_numeric_id_) continue;
    if (has_number) last_numeric_id_ = number;
    if (!id.empty()) last_id_.assign(id);
    ++event_count_;
    whole.append(event);
  }
  partial_event_.erase(0, at);
  return whole;
}

}  // namespace junctionrail::internal
