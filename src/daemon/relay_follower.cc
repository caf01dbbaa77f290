#include "relay_follower.h"

#include <utility>

namespace junctionrail::internal {
namespace {

// Interval of the check whether the relay is due to be asked.
constexpr DurationMs kCheckMs = 100;
// Number of agents considered as the relay, in order of rank; some engines may have none.
constexpr std::size_t kCandidates = 16;
// Without a relay for this long, an entry plans for the fleet itself.
constexpr DurationMs kNoRelayMs = 5000;
// A relay whose list is older than this many periods is passed over.
constexpr int kMaxAgePeriods = 2;

}  // namespace

RelayFollower::RelayFollower(boost::asio::io_context& io, EventLog& log, const Settings& settings,
                             Targets targets, Send send)
    : log_(log),
      targets_(targets),
      send_(std::move(send)),
      topology_(settings.data_hall, settings.direct->hall_regions),
      period_ms_(settings.direct->RelayPeriod()),
      client_(settings.id, period_ms_),
      timer_(io) {
  const std::string region = topology_.RegionOf(settings.data_hall);
  if (region.empty() || !topology_.HasRegions()) return;
  client_.SetRegion(region, static_cast<int>(topology_.CountRegions()));
}

void RelayFollower::Start() {
  timer_.Every(kCheckMs, [this] { AskIfDue(); });
}

void RelayFollower::SetPeriod(DurationMs period_ms) {
  period_ms_ = period_ms;
  client_.SetPeriod(period_ms);
}

void RelayFollower::AskIfDue() {
  const TimeMs now = MonotonicMs();
  if (now - answered_at_ > kNoRelayMs) {
    SetInUse("", false);
    SetPlanner(true, "none");
  }
  // Without an answer of the store, the relay is the source of the later configuration.
  const auto& configuration = targets_.configuration;
  const bool needs_document = configuration.BehindMs() > 0 && !configuration.is_in_touch();
  client_.AskForConfiguration(needs_document ? configuration.confirmation().version() : 0);
  if (!client_.IsDue(now)) return;
  const auto ask = client_.NextAsk(targets_.gateway.upstreams().RankAgents(kCandidates), now);
  if (ask) send_(ask->instance, EncodeRelayRequest(ask->request));
}

void RelayFollower::OnReply(const std::string& source, std::string_view bytes) {
  const TimeMs now = MonotonicMs();
  RelayReply reply;
  if (!DecodeRelayReply(bytes, &reply)) {
    log_.Write(now, "relay_reply_malformed", {{"upstream", source}});
    return;
  }
  const auto news = client_.OnReply(source, reply, kMaxAgePeriods * period_ms_, now);
  if (!news) return;  // Late, or malformed: another relay is asked then.
  answered_at_ = now;
  const bool is_in_other_region = IsInOtherRegion(source);
  ++(is_in_other_region ? use_.replies_of_other_regions : use_.replies_of_own_region);
  SetInUse(source, is_in_other_region);
  SetPlanner(news->is_planner, source);
  if (news->configuration_as_of != 0) {
    targets_.gateway.ApplyEvacuations(news->evacuated_halls, news->configuration_as_of);
    if (news->configuration) targets_.configuration.Offer(*news->configuration);
    targets_.configuration.OfferConfirmation(news->configuration_version, news->configuration_as_of,
                                             0);
  }
  if (news->listing) targets_.upstreams.OfferRelayed(*news->listing);
}

bool RelayFollower::IsInOtherRegion(const std::string& instance) const {
  const UpstreamRecord* upstream = targets_.gateway.upstreams().Find(instance);
  return upstream != nullptr && topology_.DistanceTo(upstream->data_hall) == Distance::kOtherRegion;
}

void RelayFollower::SetInUse(const std::string& relay, bool is_in_other_region) {
  use_.is_in_other_region = is_in_other_region;
  if (relay == use_.relay) return;
  const auto name = [](const std::string& it) { return it.empty() ? std::string("none") : it; };
  log_.Write(MonotonicMs(), "relay_changed",
             {{"relay", name(relay)},
              {"previous", name(use_.relay)},
              {"is_in_other_region", is_in_other_region}});
  use_.relay = relay;
  ++use_.changes;
}

void RelayFollower::SetPlanner(bool is_planner, const std::string& relay) {
  UpstreamTable& upstreams = targets_.gateway.upstreams();
  if (!upstreams.SetPlanner(is_planner)) return;
  log_.Write(MonotonicMs(), "planner", {{"is_planner", is_planner}, {"relay", relay}});
}

}  // namespace junctionrail::internal
