// Keeps one engine: asks it for reports, gives it orders, and tells entries of it.
// The agent beside an engine has one; an entry has one for each engine that has no
// agent and whose claim it holds.
#ifndef JUNCTIONRAIL_DAEMON_ENGINE_KEEPER_H_
#define JUNCTIONRAIL_DAEMON_ENGINE_KEEPER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "direct_metrics.h"
#include "junctionrail/event_log.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "junctionrail/quarantine.h"
#include "junctionrail/tenancy.h"
#include "platform.h"

namespace junctionrail::internal {

struct KeeperOptions {
  std::string holder;  // This VM, as the engine is told.
  Endpoint engine;
  // Intervals at which the engine is asked: while something is under way, else as often as
  // views go out, or more seldom while no entry has said anything.
  DurationMs active_report_ms = 50;
  DurationMs quiet_report_ms = 500;
  DurationMs unused_report_ms = 1000;
};

struct KeeperCallbacks {
  std::function<void(std::uint64_t link, const std::string& bytes)> send;
  // The fencing token; 0 while no order may be given.
  std::function<std::int64_t()> fence;
  // The engine has seen a higher one.
  std::function<void()> raise_fence;
  // What is listed may be outdated.
  std::function<void()> list_soon;
  // An end that entries saw is to be written to the store.
  std::function<void(const UpstreamCrash&)> record;
};

class EngineKeeper : public std::enable_shared_from_this<EngineKeeper> {
 public:
  EngineKeeper(boost::asio::io_context& io, HttpClient& http, EventLog& log, KeeperOptions options,
               KeeperCallbacks callbacks);

  void Start();
  // No order and no report after it.
  void Stop();
  void SetPolicy(const PolicySettings& policy) { core_.SetPolicy(policy); }
  void SetServices(std::vector<ServiceSpec> services);
  void SetListing(const std::vector<UpstreamRecord>& listing);

  // A link to an entry.
  void OnLinkOpened(std::uint64_t link);
  void OnDemand(std::uint64_t link, AgentDemand demand);
  // It asks for what organisations may send.
  void OnQuotaAsk(std::uint64_t link, const QuotaRequest& ask);
  // The entry saw an upstream end, this engine or another.
  void OnEnd(const UpstreamCrash& end);
  void OnLinkClosed(std::uint64_t link);

  // The id under which the engine's record is listed; empty while it is unknown.
  std::string engine_id() const { return core_.instance().empty() ? std::string() : engine_id_; }
  const AgentOrderCounters& counters() const { return counters_; }

 private:
  // What an entry has not been told yet.
  struct OpenLink {
    ViewParts owed;
    bool is_whole_owed = true;
    bool takes_ends = false;
    std::string entry;  // Empty before its first demand.
  };

  // The messages for one view, each made once however many links it goes to.
  class EncodedViews {
   public:
    explicit EncodedViews(EngineView view) : view_(std::move(view)) {}
    const std::string& Whole();
    const std::string& Update(const ViewParts& parts);

   private:
    EngineView view_;
    std::string whole_;
    std::array<std::string, 8> updates_;  // By which of the three parts they hold.
  };

  void ApplySpec();
  void AskReport();
  void AskReportSoon();
  void Note(bool is_in_touch, const std::string& reason);
  void GiveOrder();
  void OnAnswer(const EngineOrder& order, std::int64_t fence, EngineOrderResult answer,
                TimeMs since);
  void OnOtherInstance();
  bool IsBornLater(const EngineReport& report) const;
  void LogQuotaParts();
  void SendViews();
  void SendEnds();
  void SendOwed(std::uint64_t link, OpenLink* open, EncodedViews* encoded);

  EventLog& log_;
  KeeperOptions options_;
  KeeperCallbacks callbacks_;
  platform::EngineCalls engine_;
  Timer report_timer_;
  PlacementCore core_;
  AgentOrderCounters counters_;
  std::vector<ServiceSpec> services_;
  std::string service_;
  std::string engine_id_;     // What the engine calls itself.
  std::int64_t born_ms_ = 0;  // Its start; 0: it does not tell.
  std::string replaced_;      // The last instance in whose place another one answered.
  std::map<std::uint64_t, OpenLink> links_;
  QuotaAllocator quotas_;
  // Ends that entries told of, for all entries and for those that come later.
  QuarantineTable quarantine_;
  std::set<std::string> unsent_ends_;      // By instance.
  std::set<std::string> unrecorded_ends_;  // Of these, those to be written to the store.
  Timer ends_timer_;
  EngineView sent_view_;  // The last that changes were told of.
  TimeMs repeated_at_ = 0;
  bool is_asking_ = false;
  bool is_ordering_ = false;
  bool is_leaving_ = false;
  bool has_engine_ = false;
  bool is_stopped_ = false;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_ENGINE_KEEPER_H_
