// Measures how late the event loop of this process runs its timers: a process that gets too little
// processor time handles everything late, including the messages that keep its state up to date.
#ifndef JUNCTIONRAIL_DAEMON_LOOP_MONITOR_H_
#define JUNCTIONRAIL_DAEMON_LOOP_MONITOR_H_

#include <boost/asio/io_context.hpp>

#include "junctionrail/event_log.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"

namespace junctionrail::internal {

class LoopMonitor {
 public:
  LoopMonitor(boost::asio::io_context& io, EventLog& log) : log_(log), timer_(io) {}

  void Start() { Arm(); }
  // Delay of the timer, measured a few times a second.
  const LatencyHistogram& lag() const { return lag_; }

 private:
  void Arm();
  void Measure();

  EventLog& log_;
  Timer timer_;
  TimeMs due_at_ = 0;
  LatencyHistogram lag_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_LOOP_MONITOR_H_
