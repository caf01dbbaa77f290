// State shared by the parts of the gateway.
#ifndef JUNCTIONRAIL_GATEWAY_GATEWAY_IMPL_H_
#define JUNCTIONRAIL_GATEWAY_GATEWAY_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "crash_detector.h"
#include "junctionrail/gateway.h"
#include "response_memory.h"
#include "short_answers.h"
#include "stop_schedule.h"
#include "upstream_pool.h"

namespace junctionrail::internal {
class CallerConnection;
class Exchange;

// What callers' connections hold.
struct OpenWork {
  std::int64_t in_flight = 0;  // Whole requests without a whole response.
  std::int64_t begun = 0;      // Those whose response has begun.
  std::int64_t receiving = 0;  // Requests of which a part was read.
  std::int64_t ahead = 0;      // Connections on which more came behind a request in flight.
};

}  // namespace junctionrail::internal

namespace junctionrail {

class Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl> {
 public:
  Impl(boost::asio::io_context& io, GatewayOptions options, EventLog& log);

  Result<std::uint16_t, NetError> Listen();
  void Stop(DurationMs most_ms, std::function<void()> done);
  void Accept();
  void OnAcceptFailed(boost::system::error_code ec);
  void AddConnection(boost::asio::ip::tcp::socket socket);
  // Returns false if there are too many connections and none may be closed.
  bool MakeRoomForConnection();
  void SetLargestRequest(std::size_t bytes);
  void StopAccepting();
  void Tick();
  DurationMs TickInterval() const;
  // What callers had sent by then has been read.
  TimeMs ReadUpTo() const { return tick_times.front(); }
  // Applies the number of entries that agents count now.
  void UpdateEntryCount(TimeMs now);
  void ContinueStop();
  void EndStop(TimeMs now);
  void FinishStop();
  void LogStop(std::string_view event);

  void ApplyListing(const UpstreamListing& listing);
  void ApplyEvacuations(const std::set<std::string>& halls, TimeMs as_of);
  // Time since the read of the current upstream list began; -1: unknown.
  DurationMs ListingAge(TimeMs now) const;

  // Time since the configuration was last confirmed as the newest; -1: never confirmed.
  DurationMs ConfigurationAge(TimeMs now) const;
  bool AreKeysCurrent(TimeMs now) const;
  // Whether what the configuration lacks is known not to exist.
  bool IsConfigurationCurrent(TimeMs now) const;

  // Takes from the organisation's quota. If an allocator has to be asked, the exchange is called
  // back.
  QuotaClient::Admission TakeQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                   const std::string& organisation, double amount);
  // Likewise, from the rate limit of an upstream.
  QuotaClient::Admission TakeUpstreamQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                           const std::string& instance);
  // Likewise, the turn of a request with a suspected prompt part that all processes share.
  QuotaClient::Admission TakeTurn(const std::shared_ptr<internal::Exchange>& exchange,
                                  const RequestDigest& part);
  // Begins to share the turns of parts that need it, and ends it for others.
  void UpdateSharedTurns();
  void AwaitQuotaDecision(const std::shared_ptr<internal::Exchange>& exchange,
                          std::uint64_t ticket);
  void ApplyLimitChanges();
  void SetUpstreamLimit(const std::string& instance, std::optional<RateLimit> limit);
  void CancelQuotaRequest(std::uint64_t ticket);
  void DeliverQuotaOutcomes(const std::vector<QuotaClient::Outcome>& outcomes);
  void SendQuotaMessages();

  // Requests that wait for a model, and the order in which they are retried.
  void AddWaiting(const std::shared_ptr<internal::Exchange>& exchange);
  void RemoveWaiting(const std::shared_ptr<internal::Exchange>& exchange);
  void RetryWaiting();
  void RetryAffected();
  static void RetryInOrder(std::vector<std::shared_ptr<internal::Exchange>> all);
  std::vector<UpstreamTable::WaitingRequests> ModelDemands();
  static UpstreamTable::WaitingRequests ToWaiting(const internal::Exchange& exchange, TimeMs since);
  // The request was refused instead of waiting. Its demand is kept for a few seconds, as its caller
  // was told to retry.
  void RecordRefusedWait(const internal::Exchange& exchange);

  // Applies the notice in the response to a request sent to `instance` at `sent_at`.
  void OnUpstreamResponse(const std::string& instance, const internal::UpstreamHead& head,
                          TimeMs sent_at);

  void OnUpstreamCrashed(const UpstreamCrash& crash, std::string_view evidence);
  void AddUpstreamCrash(const UpstreamCrash& crash);
  void ReportQuarantined();
  // Refuses prompt parts that are found to crash upstreams, now and once all reports have arrived.
  void JudgeParts();
  void JudgePartsSoon();
  bool HasSuspicions() const { return !quarantine.IsEmpty() || prompt_parts.HasCrashes(); }
  void AddSoundParts(const std::vector<RequestDigest>& parts);
  void TellSoundParts(TimeMs now);
  // Retries waiting suspects: an upstream without another suspect may be available, or they may be
  // refused now.
  void RetrySuspects();
  void CheckForSuspension();

  // Asks others where the stream began; the exchange is called back.
  void AskForOrigin(const std::shared_ptr<internal::Exchange>& exchange, UnknownStream unknown);
  void ApplyStreamOrigin(std::uint64_t ticket, const std::optional<StreamOrigin>& origin);
  void OnStreamBegun(const BegunStream& begun);

  // Ends attempts that hold too much, once the current callback has returned.
  void EndExcessResponsesSoon();

  // This entry's share of the connections to one upstream; 0: no limit.
  int MaxConnections(const UpstreamRecord& upstream) const;

  boost::asio::io_context& io;
  GatewayOptions options;
  EventLog& log;
  std::shared_ptr<const RouteTable> routes;
  DurationMs longest_timeout_ms = 0;  // Of all routes.
  UpstreamTable upstreams;
  RetryBudget retry_budget;
  EntryCount entry_count;
  TimeMs started_at = MonotonicMs();
  internal::UpstreamPool pool;
  internal::ResponseMemory response_memory;
  std::shared_ptr<ClientMemory> client_memory;
  bool is_excess_end_scheduled = false;
  QuarantineTable quarantine;
  PromptPartTable prompt_parts;
  Timer judge_timer;
  SuspectIsolation suspect_isolation;
  std::set<std::string> shared_turns;  // Names of their limits.
  internal::CrashDetector crash_detector;
  internal::ShortAnswers short_answers;
  StreamOriginTable stream_origins;
  std::map<std::uint64_t, std::weak_ptr<internal::Exchange>> awaiting_origin;  // By ticket.
  std::function<void(const BegunStream&)> on_stream_begun;
  std::function<void(const UnknownStream&)> on_origin_needed;
  QuotaClient quotas;
  std::map<std::uint64_t, std::weak_ptr<internal::Exchange>> pending_quota_requests;  // By ticket.
  std::uint64_t last_ticket = 0;
  bool is_quota_send_scheduled = false;
  std::function<void(const QuotaClient::Message&)> on_quota_message;
  Timer quota_timer;
  TimeMs configuration_confirmed_at = 0;     // 0: never confirmed.
  std::uint64_t expected_configuration = 0;  // The latest version that is known of.
  GatewayCounters counters;
  LatencyHistogram first_byte_latency;
  LatencyHistogram listing_age;
  TimeMs listing_as_of = 0;  // 0: no list yet, or taken from another entry.
  std::set<std::shared_ptr<internal::Exchange>> waiting_exchanges;
  // Of the last few seconds; `since` is the time of refusal.
  std::vector<UpstreamTable::WaitingRequests> refused_waits;
  std::set<std::shared_ptr<internal::CallerConnection>> connections;
  std::function<void(const std::string& instance)> on_new_demand;
  std::function<void(const UpstreamCrash&)> on_upstream_crash;
  std::function<void(const RequestDigest&)> on_request_quarantined;
  std::function<void(const RequestDigest&)> on_request_released;
  internal::StopSchedule stop;
  bool is_stop_answering = false;
  TimeMs stop_logged_at = 0;  // When the last line of the stop's progress was written.
  std::function<void()> on_stopped;
  SuspensionWatch suspension_watch;
  std::function<void()> on_vm_resumed;
  boost::asio::ip::tcp::acceptor acceptor;
  Timer accept_timer;
  boost::asio::steady_timer tick_timer;
  std::deque<TimeMs> tick_times;            // The last ones, the start among them.
  std::set<std::string> changed_instances;  // Instances whose views arrived since the last retry.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_GATEWAY_GATEWAY_IMPL_H_
