// The end of a gateway: it completes the requests in flight and closes its connections.
#include <utility>

#include "caller_connection.h"
#include "gateway_impl.h"

namespace junctionrail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// If the process is killed in its stop, the last of these lines says what was open then.
constexpr DurationMs kStopLineIntervalMs = 1000;
// For responses that wait in upstreams' sockets as the connections are to be closed.
constexpr DurationMs kReadLastMs = 100;

}  // namespace

// Closing the acceptor would reset connections that the kernel has accepted already.
void Gateway::Impl::StopAccepting() {
  if (!acceptor.is_open()) return;
  error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket = acceptor.accept(ec);
    if (!ec) AddConnection(std::move(socket));
  }
  acceptor.close(ec);
}

void Gateway::Impl::Stop(DurationMs most_ms, std::function<void()> done) {
  if (stop.has_begun()) return;
  const TimeMs now = MonotonicMs();
  stop.Begin(internal::EarliestSignalTime(tick_times, TickInterval(), now), now, most_ms,
             options.balancer_delay_ms);
  on_stopped = std::move(done);
  LogStop("stop_begun");
  const auto all = connections;
  for (const auto& it : all) it->Drain(false);
  Tick();
}

void Gateway::Impl::ContinueStop() {
  const TimeMs now = MonotonicMs();
  if (now - stop_logged_at >= kStopLineIntervalMs) LogStop("stop_progress");
  if (stop.AcceptsConnections(now)) return;
  StopAccepting();
  if (now >= stop.answer_at()) return EndStop(now);
  const auto all = connections;
  for (const auto& it : all) it->Drain(true);
  FinishStop();
}

// Answers come before the close, which could take them away from their callers. Responses that have
// arrived are read first.
void Gateway::Impl::EndStop(TimeMs now) {
  if (!is_stop_answering) {
    is_stop_answering = true;
    stop.BeginAnswers(now);
    LogStop("stop_deadline");
    log.LiftBound();
  }
  const bool is_over = now >= stop.ends_at();
  const bool may_read = now < stop.ends_at() + kReadLastMs;
  const auto all = connections;
  for (const auto& it : all) {
    if (may_read && it->HasUnreadResponse()) continue;
    it->AnswerStop();
    is_over ? it->ForceClose() : it->Drain(true);
  }
  FinishStop();
}

void Gateway::Impl::FinishStop() {
  if (!connections.empty() || !on_stopped) return;
  LogStop("stop_ended");
  pool.CloseAll();
  std::exchange(on_stopped, nullptr)();
}

// `tick_age_ms` tells whether the event loop was behind: the signal may have come that much
// earlier.
void Gateway::Impl::LogStop(std::string_view event) {
  const TimeMs now = MonotonicMs();
  stop_logged_at = now;
  internal::OpenWork work;
  for (const auto& it : connections) it->CountWork(&work);
  log.Write(now, event,
            {{"after_ms", now - stop.begun_at()},
             {"tick_age_ms", now - tick_times.back()},
             {"connections", static_cast<std::int64_t>(connections.size())},
             {"in_flight", work.in_flight},
             {"begun", work.begun},
             {"waiting", static_cast<std::int64_t>(waiting_exchanges.size())},
             {"receiving", work.receiving},
             {"ahead", work.ahead},
             {"lines_left_out", static_cast<std::int64_t>(log.counters().over_bound)},
             {"lines_lost", static_cast<std::int64_t>(log.counters().reader_full)}});
}

}  // namespace junctionrail
