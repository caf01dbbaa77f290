// What the parts of the gateway share.
#ifndef JUNCTIONRAIL_GATEWAY_GATEWAY_IMPL_H_
#define JUNCTIONRAIL_GATEWAY_GATEWAY_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "crash_detector.h"
#include "junctionrail/gateway.h"
#include "upstream_pool.h"

namespace junctionrail::internal {
class CallerConnection;
class Exchange;
}  // namespace junctionrail::internal

namespace junctionrail {

class Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl> {
 public:
  Impl(boost::asio::io_context& io, GatewayOptions options, EventLog& log);

  Result<std::uint16_t, NetError> Listen();
  void Stop(DurationMs most_ms, std::function<void()> done);
  void Accept();
  void Tick();
  void ContinueStop();

  void ApplyListing(const UpstreamListing& listing);
  // Since the reading of the list began on which choices rest; -1: not known.
  DurationMs ListingAge(TimeMs now) const;

  // Since the configuration is known to have been the newest; -1: it never was.
  DurationMs ConfigurationAge(TimeMs now) const;
  bool AreKeysCurrent(TimeMs now) const;

  // Requests that wait for a giver's word on their organisation's quota.
  QuotaClient::Admission TakeQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                   const std::string& organisation, double amount);
  // The same for what an upstream that names a limit takes.
  QuotaClient::Admission TakeUpstreamQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                           const std::string& instance);
  void AwaitQuotaDecision(const std::shared_ptr<internal::Exchange>& exchange,
                          std::uint64_t ticket);
  void SetUpstreamLimit(const std::string& instance, std::optional<double> per_s);
  void CancelQuotaRequest(std::uint64_t ticket);
  void DeliverQuotaOutcomes(const std::vector<QuotaClient::Outcome>& outcomes);
  void SendQuotaMessages();

  // Requests that wait for a model.
  void AddWaiting(const std::shared_ptr<internal::Exchange>& exchange);
  void RemoveWaiting(const std::shared_ptr<internal::Exchange>& exchange);
  void RetryWaiting();
  void RetryAffected();
  static void RetryInOrder(std::vector<std::shared_ptr<internal::Exchange>> all);
  std::vector<UpstreamTable::WaitingRequests> ModelDemands();
  static UpstreamTable::WaitingRequests ToWaiting(const internal::Exchange& exchange, TimeMs since);
  // A request could not wait for its model; others will ask for it.
  void RecordRefusedWait(const internal::Exchange& exchange);

  // What the answer to a request sent to `instance` at `sent_at` says beside its body.
  void OnUpstreamResponse(const std::string& instance, const internal::UpstreamHead& head,
                          TimeMs sent_at);

  void OnUpstreamEnded(const UpstreamCrash& end, std::string_view evidence);
  void AddUpstreamEnd(const UpstreamCrash& end);
  void ReportQuarantined();
  // Those that wait for an upstream without another suspect, or may be refused now.
  void RetrySuspects();
  void CheckForSuspension();

  // Connections of ours that one upstream may have.
  int MaxConnections(const UpstreamRecord& upstream) const;

  boost::asio::io_context& io;
  GatewayOptions options;
  EventLog& log;
  std::shared_ptr<const RouteTable> routes;
  UpstreamTable upstreams;
  RetryBudget retry_budget;
  internal::UpstreamPool pool;
  QuarantineTable quarantine;
  SuspectIsolation probation;
  internal::CrashDetector crash_detector;
  QuotaClient quotas;
  std::map<std::uint64_t, std::weak_ptr<internal::Exchange>> pending_quota_requests;  // By ticket.
  std::uint64_t last_ticket = 0;
  bool is_quota_send_scheduled = false;
  std::function<void(const QuotaClient::Message&)> on_quota_message;
  Timer quota_timer;
  TimeMs configuration_confirmed_at = 0;  // The configuration was the newest then; 0: never known.
  GatewayCounters counters;
  LatencyHistogram first_byte_latency;
  LatencyHistogram listing_age;
  TimeMs listing_as_of = 0;  // 0: never listed, or by another entry's word.
  std::set<std::shared_ptr<internal::Exchange>> waiting_exchanges;
  std::vector<UpstreamTable::WaitingRequests>
      refused_waits;  // Of the last seconds; `since` is when.
  std::set<std::shared_ptr<internal::CallerConnection>> connections;
  std::function<void(const std::string& instance)> on_new_demand;
  std::function<void(const UpstreamCrash&)> on_upstream_end;
  std::function<void(const RequestDigest&)> on_request_quarantined;
  bool is_stopping = false;
  TimeMs stop_started_at = 0;
  TimeMs stop_deadline = 0;
  std::function<void()> on_stopped;
  SuspensionWatch suspension_watch;
  std::function<void()> on_vm_resumed;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer tick_timer;
  std::set<std::string> changed_instances;  // Instances whose views came since the last wake.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_GATEWAY_GATEWAY_IMPL_H_
