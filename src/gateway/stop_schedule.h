// The times of a stop: until when requests are accepted, answered and completed. No I/O.
#ifndef JUNCTIONRAIL_GATEWAY_STOP_SCHEDULE_H_
#define JUNCTIONRAIL_GATEWAY_STOP_SCHEDULE_H_

#include <deque>

#include "junctionrail/base.h"

namespace junctionrail::internal {

// The earliest time at which a signal that is handled at `now` may have come. `tick_times` are the
// last times at which the event loop ran a timer that is due every `interval_ms`.
TimeMs EarliestSignalTime(const std::deque<TimeMs>& tick_times, DurationMs interval_ms, TimeMs now);

struct PendingRequest {
  TimeMs arrived_at = 0;
  TimeMs deadline_at = 0;
  bool is_retryable = false;
};

class StopSchedule {
 public:
  // The signal is handled at `now` and may have come at `signalled_at`; the process ends `most_ms`
  // after the signal.
  void Begin(TimeMs signalled_at, TimeMs now, DurationMs most_ms, DurationMs balancer_delay_ms);
  // The last answers are sent now, maybe late: the connections close a little later.
  void BeginAnswers(TimeMs now);

  bool has_begun() const { return has_begun_; }
  TimeMs begun_at() const { return begun_at_; }
  // Whether the load balancer may still open connections.
  bool AcceptsConnections(TimeMs now) const;
  // Whether a request that has not run may be sent to an upstream.
  bool MayBegin(const PendingRequest& request, TimeMs now) const;
  // When requests whose response has not begun are answered.
  TimeMs answer_at() const { return answer_at_; }
  // When all connections are closed.
  TimeMs ends_at() const { return ends_at_; }

 private:
  bool has_begun_ = false;
  TimeMs begun_at_ = 0;
  TimeMs accepts_until_ = 0;
  TimeMs late_from_ = 0;    // Requests that arrive from then on are late.
  TimeMs begin_until_ = 0;  // For retryable requests that were not late.
  TimeMs answer_at_ = 0;
  DurationMs close_delay_ms_ = 0;  // From the last answers to the close, at least.
  TimeMs ends_at_ = 0;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_STOP_SCHEDULE_H_
