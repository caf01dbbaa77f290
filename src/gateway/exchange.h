// One request from its arrival to its last byte: its route, its attempts at
// upstreams, and what the caller is told.
#ifndef JUNCTIONRAIL_GATEWAY_EXCHANGE_H_
#define JUNCTIONRAIL_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "event_stream.h"
#include "gateway_impl.h"
#include "upstream_pool.h"

namespace junctionrail::internal {

// A request as the caller sent it.
struct CallerRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> fields;
  std::shared_ptr<const std::string> body;
  TimeMs arrived_at = 0;
};

// The caller's side of an exchange.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  virtual void SendResponse(unsigned status, std::vector<HttpHeader> fields, std::string body) = 0;
  virtual void SendHead(unsigned status, std::vector<HttpHeader> fields) = 0;
  virtual void SendBodyPart(std::string_view data) = 0;
  virtual void SendEnd() = 0;
  // Closes without the end of the answer, so that it does not look complete.
  virtual void Abort() = 0;
  // Whether more is queued than a slow caller should have.
  virtual bool IsSendQueueFull() const = 0;
  // Whether the caller has closed its connection, read of it or not.
  virtual bool HasDisconnected() = 0;
};

class Exchange : public UpstreamListener, public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway::Impl& gateway, CallerRequest request, std::weak_ptr<CallerSink> sink);
  ~Exchange() override;

  void Start();
  // The caller has gone; the upstream is told by closing.
  void OnCallerDisconnected();
  // The caller's queue has drained.
  void OnCallerWritable();
  // Looks again for an upstream; called when what is loaded may have changed.
  void RetrySelection();
  // The VM was suspended until just now, and the timer did not count that time.
  void OnVmResumed();
  // Gives up at once, as the process ends.
  void OnStop();

  const std::optional<ModelRef>& model() const { return model_; }
  const std::string& service() const { return service_; }
  const std::string& asked_instance() const { return asked_instance_; }
  int priority() const { return priority_; }
  DurationMs target_ms() const { return route_->first_byte_target_ms; }
  TimeMs first_byte_due_at() const { return request_.arrived_at + route_->first_byte_target_ms; }
  TimeMs waiting_since() const { return waiting_since_; }
  TimeMs attempt_started_at() const { return attempt_started_at_; }  // When the last attempt began.
  bool IsSuspect();
  // What speaks against it if the upstream of its attempt ends now; none when it has
  // run there for long enough.
  std::optional<Suspect> AsSuspect(TimeMs now);

  // Whether its organisation's quota lets it be sent is asked under `ticket`; the answer.
  void OnQuotaRequested(std::uint64_t ticket) { quota_ticket_ = ticket; }
  // The same for its share of what an upstream takes.
  void OnUpstreamQuotaRequested(std::uint64_t ticket, const std::string& instance);
  void OnQuotaDecision(std::uint64_t ticket, const QuotaClient::Admission& verdict);

  bool MaySend() override;
  void OnHead(UpstreamHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailed(UpstreamFailure failure, std::string_view reason) override;

 private:
  // Whether an attempt that ended without a whole answer may have run.
  enum class Execution { kNotRun, kMayHaveRun };

  bool FindRoute();
  bool ReadFields();
  bool ReadKey();
  bool ReadQuotaAmount();
  const Organisation* KeyOwner() const;
  bool RecheckKey();
  bool AcquireQuota();
  bool AcquireUpstreamQuota(const std::string& instance);
  void OnUpstreamQuotaDecision(const QuotaClient::Admission& verdict);
  void RecordUpstreamLimitReached(const std::string& instance, DurationMs retry_ms);
  void RefuseOverQuota(const QuotaClient::Admission& verdict);
  void ReturnQuota();
  void AttemptNext();
  PickResult ChooseUpstream(TimeMs now);
  const RequestDigest& Digest();
  QuarantineStatus CurrentStanding();
  void RefuseQuarantined();
  void ClearSuspicion();
  void SendRequest(const std::string& instance);
  void WaitForModel(const WaitFor& wait);
  std::string BuildRequestHead(const UpstreamRecord& upstream) const;
  void OnUpstreamRefusal(const UpstreamHead& head);
  void AfterAttempt(Execution ran, bool was_sent, std::string_view reason);
  bool TryRetry(Execution ran, bool was_sent);
  bool TakeRetryFromBudget(TimeMs now);
  void LogAttempt(Execution ran, std::string_view reason) const;
  void RetryElsewhere();
  void EndAttempt(AttemptOutcome end);
  void RelayStreamHead();
  void RecordEventTime();
  void RecordEventPause();
  void RelayResponse();
  void Refuse(unsigned status, std::string_view code, std::string_view sentence, Execution ran,
              DurationMs retry_after_ms);
  void GiveUp(Execution ran, std::string_view reason);
  void Finish(std::string_view outcome, unsigned status);
  void ArmTimer();
  void OnTimer();
  DurationMs SilenceTimeout() const;
  Execution ExecutionSoFar() const {
    return possibly_run_attempts_ > 0 ? Execution::kMayHaveRun : Execution::kNotRun;
  }
  DurationMs RemainingMs() const { return deadline_at_ - MonotonicMs(); }

  Gateway::Impl& gateway_;
  CallerRequest request_;
  std::weak_ptr<CallerSink> sink_;
  std::shared_ptr<const RouteTable> routes_;  // Of the configuration it began with.
  const Route* route_ = nullptr;
  std::string request_id_;
  std::string service_;
  std::optional<ModelRef> model_;
  std::string affinity_;
  int priority_ = 0;  // 0 is the most urgent.
  std::optional<KeyDigest> key_;
  std::string organisation_;  // Who holds the key; empty: nobody, and none is asked for.
  double quota_amount_ = 0;   // Of its organisation's quota.
  bool has_quota_ = false;
  std::uint64_t quota_ticket_ = 0;           // While a giver is asked; 0: none is.
  std::uint64_t upstream_quota_ticket_ = 0;  // While one is asked what `share_of_` takes.
  std::string upstream_quota_instance_;  // The upstream of which it has a share, or asks for one.
  TimeMs deadline_at_ = 0;               // When the caller or the route gives it up.
  TimeMs wait_deadline_at_ = 0;          // Until when it may wait for a model.
  boost::asio::steady_timer timer_;

  std::shared_ptr<UpstreamCall> call_;
  std::string instance_;          // Of the attempt under way.
  std::string upstream_wire_id_;  // What that upstream calls itself.
  std::vector<std::string> tried_instances_;
  int possibly_run_attempts_ = 0;  // Sent, and not known to have not run.
  int sent_attempts_ = 0;          // Sent at all.
  int unsent_attempts_ = 0;
  TimeMs attempt_started_at_ = 0;
  std::optional<RequestDigest> digest_;  // Worked out when it is first needed.
  bool is_sole_suspect_ = false;         // Sent as the one suspect at its upstream.
  TimeMs attempt_first_event_at_ = 0;    // First event of the attempt; 0: none yet.
  TimeMs last_activity_at_ = 0;          // Last byte from the upstream in this attempt.
  // Age of the list by which the last attempt was sent; -1: none was, or not known.
  DurationMs listing_age_ms_ = -1;

  std::string asked_instance_;  // Whose agent was asked for the model.
  TimeMs waiting_since_ = 0;
  DurationMs waited_ms_ = 0;  // For models, before it was sent.
  // When an upstream takes requests again, where the last choice found none; 0: not known.
  DurationMs upstream_opens_in_ms_ = 0;
  bool is_waiting_for_model_ = false;

  std::optional<UpstreamHead> response_head_;  // Of the attempt under way.
  std::string response_body_;
  EventStreamReader events_;
  bool is_event_stream_ = false;
  bool is_response_begun_ = false;  // The caller has the head of its answer.
  bool is_finished_ = false;
  TimeMs response_begun_at_ = 0;
  TimeMs last_event_at_ = 0;         // When the last whole event came.
  DurationMs longest_pause_ms_ = 0;  // Between two events, over all attempts.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_EXCHANGE_H_
