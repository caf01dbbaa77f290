// One attempt of an exchange at an upstream.
#ifndef JUNCTIONRAIL_GATEWAY_ATTEMPT_H_
#define JUNCTIONRAIL_GATEWAY_ATTEMPT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "junctionrail/quarantine.h"
#include "response_memory.h"
#include "upstream_pool.h"

namespace junctionrail::internal {

class Exchange;

struct Attempt {
  int number = 0;                      // Counts the attempts of the exchange; 0: none.
  bool is_open = false;                // Whether it has begun and not ended.
  std::shared_ptr<UpstreamCall> call;  // Null once the response has ended.
  std::string instance;
  std::string wire_id;  // The id that this upstream sends.
  std::string version;  // Of its software.
  TimeMs started_at = 0;
  TimeMs retry_consumed_at = 0;  // In the retry budget, while it is under way; 0: none.
  // When the connection was established, or the attempt began without one.
  TimeMs connected_at = 0;
  TimeMs first_event_at = 0;    // 0: no event yet.
  TimeMs last_activity_at = 0;  // Of the upstream; the silence timeout counts from here.
  // Age of the upstream list at its start; -1: no attempt, or unknown.
  DurationMs listing_age_ms = -1;
  bool is_isolated_suspect = false;  // Sent as the only suspect at its upstream.
  RequestDigest isolation_key;       // Under which it was.
  bool is_confirming_end = false;    // Whether the upstream lives, whose response has ended.
  std::optional<UpstreamHead> response_head;
  std::string response_body;
  ResponseMemory::AttemptId memory_id = 0;
  std::size_t unread_bytes = 0;  // Received, and not yet told of by its call.
  bool is_event_stream = false;
  bool is_ended_by_close = false;  // The response ended with its connection.
  bool is_paused = false;          // Not read from, as the caller is slow.
  bool was_read_first = false;     // At the end of its silence timeout, unread bytes were read.
  // Received after the last complete event; kept here while another attempt is under way.
  std::string partial_event;
};

// Tells an exchange what its upstream does, and in which of its attempts.
class AttemptListener : public UpstreamListener {
 public:
  AttemptListener(std::weak_ptr<Exchange> exchange, int number)
      : exchange_(std::move(exchange)), number_(number) {}

  void OnConnected(double round_trip_ms) override;
  bool MaySend(TimeMs connected_at) override;
  void OnHead(UpstreamHead head) override;
  void OnBody(std::string_view data) override;
  void OnUnread(std::size_t bytes) override;
  void OnEnd(ResponseEnd end) override;
  void OnFailed(UpstreamFailure failure, std::string_view reason) override;

 private:
  std::weak_ptr<Exchange> exchange_;
  int number_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_ATTEMPT_H_
