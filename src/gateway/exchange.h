// One request from its arrival to the last byte of its response: its route, its attempts at
// upstreams, and the response to the caller.
#ifndef JUNCTIONRAIL_GATEWAY_EXCHANGE_H_
#define JUNCTIONRAIL_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "attempt.h"
#include "error_response.h"
#include "event_stream.h"
#include "gateway_impl.h"

namespace junctionrail::internal {

// A request as the caller sent it.
struct CallerRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> fields;
  std::shared_ptr<const std::string> body;
  TimeMs arrived_at = 0;  // When it was read.
  // The earliest time at which it may have been sent; this process may have been late to read it.
  TimeMs sent_after = 0;
};

// Where an exchange writes its response to the caller.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  virtual void SendResponse(unsigned status, std::vector<HttpHeader> fields, std::string body) = 0;
  virtual void SendHead(unsigned status, std::vector<HttpHeader> fields) = 0;
  virtual void SendBodyPart(std::string_view data) = 0;
  virtual void SendEnd() = 0;
  // Closes the connection before the end of the response, so that it does not look complete.
  virtual void Abort() = 0;
  // Whether a slow caller has left too much output unsent.
  virtual bool IsSendQueueFull() const = 0;
  // Whether the caller has closed its connection, even if that has not been read yet.
  virtual bool HasDisconnected() = 0;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway::Impl& gateway, CallerRequest request, std::weak_ptr<CallerSink> sink);
  ~Exchange();

  void Start();
  // The caller has disconnected; a call to an upstream is cancelled.
  void OnCallerDisconnected();
  // All output to the caller has been written.
  void OnCallerWritable();
  // Chooses an upstream again if the request waits for its model; called when that may have been
  // loaded.
  void RetrySelection();
  // The VM has resumed from a suspension, which the timer did not count.
  void OnVmResumed();
  // Gives up at once, as the process is shutting down.
  void OnStop();

  // Whether an upstream has sent something that was not read.
  bool HasUnreadResponse() const;

  const std::optional<ModelRef>& model() const { return model_; }
  const std::string& service() const { return service_; }
  AllowedRegions AllowedRegionsNow() const;
  const std::string& asked_instance() const { return asked_instance_; }
  bool is_response_begun() const { return is_response_begun_; }
  int priority() const { return priority_; }
  DurationMs target_ms() const { return route_->first_byte_target_ms; }
  TimeMs first_byte_due_at() const { return request_.arrived_at + route_->first_byte_target_ms; }
  TimeMs waiting_since() const { return waiting_since_; }
  // Its attempt at that upstream; the last one if it has none there.
  const Attempt& AttemptAt(std::string_view instance) const;
  bool IsSuspect();
  // The suspect to report if the upstream of that attempt ends now; none if the request has run
  // there for long enough to be harmless.
  std::optional<Suspect> AsSuspect(const Attempt& attempt, TimeMs now);

  // The software version that the request is bound to, as the stream that it resumes began there.
  std::optional<std::string> bound_version() const {
    return origin_ ? std::optional<std::string>(origin_->version) : std::nullopt;
  }
  // Goes on with a stream that began there; refuses to if that is not known.
  void ApplyOrigin(const std::optional<StreamOrigin>& origin);

  // An allocator was asked for the organisation's quota under `ticket`.
  void OnQuotaRequested(std::uint64_t ticket) { quota_ticket_ = ticket; }
  // An allocator was asked for a part of the upstream's rate limit under `ticket`.
  void OnUpstreamQuotaRequested(std::uint64_t ticket, const std::string& instance);
  // An allocator was asked for a turn of its suspected prompt part under `ticket`.
  void OnTurnRequested(std::uint64_t ticket) { turn_ticket_ = ticket; }
  void OnQuotaDecision(std::uint64_t ticket, const QuotaClient::Admission& verdict);

  // What the upstream of the attempt of that number does; see UpstreamListener.
  void OnConnected(int number, double round_trip_ms);
  bool MaySend(int number, TimeMs connected_at);
  void OnHead(int number, UpstreamHead head);
  void OnBody(int number, std::string_view data);
  void OnUnread(int number, std::size_t bytes);
  void OnEnd(int number, ResponseEnd end);
  void OnFailed(int number, UpstreamFailure failure, std::string_view reason);

 private:
  void BeginAttempts();
  std::string_view ResumedRequest() const;
  bool IsResumption() const;
  std::vector<std::string> RouteServices() const;
  void ResolveOrigin();
  void RecordOrigin();
  void SetService(std::string service);
  bool FindRoute();
  bool ReadFields();
  bool ReadKey();
  bool ReadQuotaAmount();
  const Organisation* KeyOwner() const;
  bool RecheckKey();
  void RefuseUnknown(unsigned status, std::string_view code, std::string_view sentence);
  void RefuseUnconfirmed(std::string_view sentence);
  bool AcquireQuota();
  bool AcquireUpstreamQuota(const std::string& instance);
  void OnUpstreamQuotaDecision(const QuotaClient::Admission& verdict);
  bool AcquireTurn(const std::string& instance);
  void OnTurnDecision(const QuotaClient::Admission& verdict);
  void AwaitTurn(DurationMs retry_ms);
  void RecordUpstreamLimitReached(const std::string& instance, DurationMs retry_ms);
  void RefuseOverQuota(const QuotaClient::Admission& verdict);
  void CancelPendingSend();
  void ReturnQuota();
  void AttemptNext();
  bool MayBegin(TimeMs now) const;
  void RefuseStopping();
  PickResult ChooseUpstream(TimeMs now);
  void RefusePlace(const NoUpstream& none);
  const RequestDigest& Digest();
  const std::vector<RequestDigest>& Combinations();
  QuarantineStatus CurrentQuarantineStatus();
  // Whether reports on the last crash may still clear it.
  bool IsRefusedProvisionally(TimeMs now);
  void RefuseQuarantined();
  RequestDigest IsolationKey();
  void ClearSuspicion();
  void AddSoundParts();
  void OnModelAnswered();
  // The response is whole.
  void OnPartsAnswered();
  void ConfirmEnd();
  void OnEndConfirmed(PortState state);
  void OnBrokenOff(std::string_view reason);
  void OnTooLong(std::string_view reason);
  void AddToResponseMemory(Attempt* attempt);
  void RemoveFromResponseMemory(Attempt* attempt);
  // What the attempt holds has changed.
  void RecordHeldBytes(const Attempt& attempt);
  void EndForMemory(int number, std::string_view reason);
  void ReportBrokenConnection(const Attempt& attempt);
  void CompleteResponse();
  void CancelAttempt(Attempt* attempt, AttemptOutcome end);
  void CancelAttempts(AttemptOutcome end);
  void SendRequest(const std::string& instance);
  void WaitForModel(const WaitFor& wait);
  std::string BuildRequestHead(const UpstreamRecord& upstream) const;
  // Whether the upstream states that it did not run the request.
  bool IsRefusal(const UpstreamHead& head) const;
  bool IsUnsealedSuccess(const UpstreamHead& head) const;
  void OnUpstreamRefusal(const UpstreamHead& head);
  void AfterAttempt(Execution ran, bool was_sent, std::string_view reason);
  bool TryRetry(Execution ran, bool was_sent);
  bool TakeRetryFromBudget(TimeMs now);
  // Whether the budget allows the retry that was taken from it to be sent now; also true if the
  // attempt is none.
  bool CountRetryAsSent(TimeMs now);
  void KeepUnsentRetry(Attempt* attempt);
  void OnRetryArrived(TimeMs* consumed_at);
  void LogBudgetSpent(TimeMs now);
  void LogAttempt(const Attempt& attempt, Execution ran, std::string_view reason) const;
  Execution RecordFailure(Attempt* attempt, UpstreamFailure failure);
  bool IsCurrent(int number) const { return number == attempt_.number && attempt_.is_open; }
  void TryBeside();
  Attempt* FindSilent(int number);
  void GoOnWith(Attempt* silent, std::string_view reason);
  bool GoOnWithSilent(std::string_view reason);
  void DropSilent();
  Attempt TakeSilent(Attempt* silent);
  void OnSilentHead(Attempt* silent, UpstreamHead head);
  void OnSilentBody(Attempt* silent, std::string_view data);
  void OnSilentEnd(Attempt* silent, ResponseEnd end);
  void OnSilentFailed(Attempt* silent, AttemptOutcome end, Execution ran, std::string_view reason);
  void OnProgress();
  bool HasUnrunAttemptsLeft() const;
  void RetryElsewhere();
  void EndAttempt(Attempt* attempt, AttemptOutcome end);
  void RelayStreamHead();
  void RecordEventTime();
  void RecordEventPause();
  void RecordVersionChange();
  void RelayResponse();
  void Refuse(unsigned status, std::string_view code, std::string_view sentence, Execution ran,
              DurationMs retry_after_ms);
  void GiveUp(Execution ran, std::string_view reason);
  // `reason` says why a response that had begun was broken off.
  void Finish(std::string_view outcome, unsigned status, std::string_view reason = {});
  void ArmTimer();
  void ArmTimer(DurationMs delay);
  void OnTimer();
  void OnDeadline();
  void OnSilence(TimeMs now);
  DurationMs SilenceTimeout() const;
  Execution ExecutionSoFar() const {
    return possibly_run_attempts_ > 0 ? Execution::kMayHaveRun : Execution::kNotRun;
  }
  DurationMs RemainingMs() const { return deadline_at_ - MonotonicMs(); }

  Gateway::Impl& gateway_;
  CallerRequest request_;
  std::weak_ptr<CallerSink> sink_;
  std::shared_ptr<const RouteTable> routes_;  // Of the configuration at its arrival.
  const Route* route_ = nullptr;
  std::string request_id_;
  std::string service_;
  std::optional<ModelRef> model_;
  std::string affinity_;
  int priority_ = 0;  // 0 is the most urgent.
  std::optional<KeyDigest> key_;
  std::string organisation_;  // The key's owner; empty: none, and none is required.
  double quota_amount_ = 0;   // What it takes of the organisation's quota.
  bool has_quota_ = false;
  std::uint64_t quota_ticket_ = 0;           // Of the pending request to an allocator; 0: none.
  std::uint64_t upstream_quota_ticket_ = 0;  // Likewise for `upstream_quota_instance_`.
  std::string upstream_quota_instance_;      // Whose rate limit was acquired or requested.
  std::uint64_t turn_ticket_ = 0;            // Likewise for a turn of a suspected prompt part.
  std::string turn_instance_;                // Where the request goes in its turn.
  TimeMs unsent_retry_consumed_at_ = 0;      // In the retry budget; 0: none.
  TimeMs turn_until_ = 0;                    // It has a turn that lasts until then.
  TimeMs deadline_at_ = 0;                   // By the caller's deadline and the route's timeout.
  TimeMs wait_deadline_at_ = 0;              // Of its wait for a model.
  boost::asio::steady_timer timer_;

  Attempt attempt_;  // The last one.
  // Earlier ones whose upstreams fell silent, in their order. They are kept until another one is
  // answered, as their upstreams may go on.
  std::vector<Attempt> silent_;
  // By then they are dropped, as another one has begun to be answered; 0: that is not so.
  TimeMs drop_silent_at_ = 0;
  int attempts_begun_ = 0;
  // Where the stream began, once its first event has arrived or if the request resumes it.
  std::optional<StreamOrigin> origin_;
  std::vector<std::string> tried_instances_;
  int possibly_run_attempts_ = 0;  // Sent, unless known not to have run.
  int sent_attempts_ = 0;          // Sent, whether or not they ran.
  int unsent_attempts_ = 0;
  std::optional<RequestDigest> digest_;  // Computed on first use.
  std::vector<RequestDigest> parts_;     // Of the prompt, that other requests may share.
  std::optional<std::vector<RequestDigest>> combinations_;  // Of these, and they; on first use.
  bool has_sound_parts_ = false;  // Its answer has shown that its parts are sound.

  std::string asked_instance_;  // Whose agent was asked to load the model.
  TimeMs waiting_since_ = 0;
  DurationMs waited_ms_ = 0;  // For a model, in total.
  // Until an upstream accepts requests again, if none did at the last choice; 0: unknown.
  DurationMs upstream_opens_in_ms_ = 0;
  bool is_waiting_for_model_ = false;
  TimeMs read_until_ = 0;  // A response that arrived before the deadline is read until then.

  EventStreamReader events_;
  bool is_response_begun_ = false;  // Its head was sent to the caller.
  bool is_finished_ = false;
  TimeMs response_begun_at_ = 0;
  TimeMs last_event_at_ = 0;         // When the last complete event arrived.
  DurationMs longest_pause_ms_ = 0;  // Between two events, across attempts.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_EXCHANGE_H_
