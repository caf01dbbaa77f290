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
  virtual void SendWhole(unsigned status, std::vector<HttpHeader> fields, std::string body) = 0;
  virtual void SendHead(unsigned status, std::vector<HttpHeader> fields) = 0;
  virtual void SendPiece(std::string_view data) = 0;
  virtual void SendEnd() = 0;
  // Closes without the end of the answer, so that it does not look complete.
  virtual void Abort() = 0;
  // Whether more is queued than a slow caller should have.
  virtual bool IsBehind() const = 0;
  // Whether the caller has closed its connection, read of it or not.
  virtual bool HasLeft() = 0;
};

class Exchange : public UpstreamListener, public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway::Impl& gateway, CallerRequest request, std::weak_ptr<CallerSink> sink);
  ~Exchange() override;

  void Start();
  // The caller has gone; the upstream is told by closing.
  void OnCallerGone();
  // The caller's queue has drained.
  void OnCallerReady();
  // Looks again for an upstream; called when what is loaded may have changed.
  void Retry();
  // The VM was suspended until just now, and the timer did not count that time.
  void OnResumed();
  // Gives up at once, as the process ends.
  void OnStop();

  const std::optional<ModelRef>& model() const { return model_; }
  const std::string& service() const { return service_; }
  const std::string& asked() const { return asked_; }
  int priority() const { return priority_; }
  DurationMs target_ms() const { return route_->first_answer_ms; }
  TimeMs late_at() const { return request_.arrived_at + route_->first_answer_ms; }
  TimeMs parked_since() const { return parked_since_; }
  TimeMs attempt_at() const { return attempt_at_; }  // When the last attempt began.
  bool IsSuspect();
  // What speaks against it if the upstream of its attempt ends now; none when it has
  // run there for long enough.
  std::optional<Suspect> AsSuspect(TimeMs now);

  // Whether its organisation's quota lets it be sent is asked under `ticket`; the answer.
  void OnQuotaAsked(std::uint64_t ticket) { quota_ticket_ = ticket; }
  // The same for its share of what an upstream takes.
  void OnShareAsked(std::uint64_t ticket, const std::string& instance);
  void OnQuota(std::uint64_t ticket, const QuotaClient::Admission& verdict);

  bool MaySend() override;
  void OnHead(UpstreamHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnFailed(UpstreamFailure failure, std::string_view reason) override;

 private:
  // Whether an attempt that ended without a whole answer may have run.
  enum class Ran { kNo, kMaybe };

  bool FindRoute();
  bool ReadFields();
  bool ReadKey();
  bool ReadAmount();
  const Organisation* KeyHolder() const;
  bool MayUseKey();
  bool MayUseQuota();
  bool MayUseShare(const std::string& instance);
  void OnShare(const QuotaClient::Admission& verdict);
  void NoteLimitReached(const std::string& instance, DurationMs retry_ms);
  void RefuseOverQuota(const QuotaClient::Admission& verdict);
  void GiveQuotaBack();
  void Attempt();
  Pick Choose(TimeMs now);
  const RequestDigest& Digest();
  QuarantineStatus StandingNow();
  void RefuseAsDeadly();
  void NoteHarmless();
  void Send(const std::string& instance);
  void WaitForModel(const WaitFor& wait);
  std::string HeadFor(const UpstreamRecord& upstream) const;
  void OnRefusal(const UpstreamHead& head);
  void AfterAttempt(Ran ran, bool was_sent, std::string_view reason);
  bool TryAnother(Ran ran, bool was_sent);
  bool PayForAnother(TimeMs now);
  void LogAttempt(Ran ran, std::string_view reason) const;
  void SendElsewhere();
  void EndAttempt(AttemptEnd end);
  void RelayEvents();
  void NoteEvent();
  void NotePause();
  void RelayWhole();
  void Refuse(unsigned status, std::string_view code, std::string_view sentence, Ran ran,
              DurationMs retry_after_ms);
  void GiveUp(Ran ran, std::string_view reason);
  void Finish(std::string_view outcome, unsigned status);
  void Arm();
  void OnTimer();
  DurationMs SilenceLimit() const;
  Ran SoFar() const { return ran_attempts_ > 0 ? Ran::kMaybe : Ran::kNo; }
  DurationMs Left() const { return end_at_ - MonotonicMs(); }

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
  double amount_ = 0;         // Of its organisation's quota.
  bool has_quota_ = false;
  std::uint64_t quota_ticket_ = 0;  // While a giver is asked; 0: none is.
  std::uint64_t share_ticket_ = 0;  // While one is asked what `share_of_` takes.
  std::string share_of_;            // The upstream of which it has a share, or asks for one.
  TimeMs end_at_ = 0;               // When the caller or the route gives it up.
  TimeMs patience_at_ = 0;          // Until when it may wait for a model.
  boost::asio::steady_timer timer_;

  std::shared_ptr<UpstreamCall> call_;
  std::string instance_;     // Of the attempt under way.
  std::string upstream_id_;  // What that upstream calls itself.
  std::vector<std::string> tried_;
  int ran_attempts_ = 0;   // Sent, and not known to have not run.
  int sent_attempts_ = 0;  // Sent at all.
  int unsent_attempts_ = 0;
  TimeMs attempt_at_ = 0;
  std::optional<RequestDigest> digest_;  // Worked out when it is first needed.
  bool was_alone_ = false;               // Sent as the one suspect at its upstream.
  TimeMs attempt_event_at_ = 0;          // First event of the attempt; 0: none yet.
  TimeMs heard_at_ = 0;                  // Last byte from the upstream in this attempt.
  // Age of the list by which the last attempt was sent; -1: none was, or not known.
  DurationMs listing_age_ms_ = -1;

  std::string asked_;  // Whose agent was asked for the model.
  TimeMs parked_since_ = 0;
  DurationMs waited_ms_ = 0;  // For models, before it was sent.
  // When an upstream takes requests again, where the last choice found none; 0: not known.
  DurationMs opens_in_ms_ = 0;
  bool is_parked_ = false;

  std::optional<UpstreamHead> head_;  // Of the attempt under way.
  std::string body_;
  EventStream events_;
  bool is_event_answer_ = false;
  bool is_begun_ = false;  // The caller has the head of its answer.
  bool is_finished_ = false;
  TimeMs first_at_ = 0;
  TimeMs event_at_ = 0;              // When the last whole event came.
  DurationMs longest_pause_ms_ = 0;  // Between two events, over all attempts.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_EXCHANGE_H_
