#include "relay_follower.h"

#include <utility>

namespace junctionrail::internal {
namespace {

// How often it is checked whether the relay is to be asked.
constexpr DurationMs kCheckMs = 100;
// Agents that may be asked for the list, one after the other; some engines may have none.
constexpr std::size_t kCandidates = 16;
// Without a relay for this long, an entry plans for the fleet itself.
constexpr DurationMs kNoRelayMs = 5000;
// A relay whose list is older than this many periods is passed over.
constexpr int kMaxAgePeriods = 2;

}  // namespace

RelayFollower::RelayFollower(boost::asio::io_context& io, EventLog& log, const std::string& entry,
                             DurationMs period_ms, Targets targets, Send send)
    : log_(log),
      targets_(targets),
      send_(std::move(send)),
      period_ms_(period_ms),
      client_(entry, period_ms),
      timer_(io) {}

void RelayFollower::Start() {
  timer_.Every(kCheckMs, [this] { AskIfDue(); });
}

void RelayFollower::SetPeriod(DurationMs period_ms) {
  period_ms_ = period_ms;
  client_.SetPeriod(period_ms);
}

void RelayFollower::AskIfDue() {
  const TimeMs now = MonotonicMs();
  if (now - answered_at_ > kNoRelayMs) SetPlanner(true, "none");
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
  SetPlanner(news->is_planner, source);
  if (news->configuration_as_of != 0) {
    targets_.gateway.ApplyEvacuations(news->evacuated_halls, news->configuration_as_of);
    targets_.configuration.OfferConfirmation(news->configuration_version, news->configuration_as_of,
                                             0);
  }
  if (news->listing) targets_.upstreams.OfferRelayed(*news->listing);
}

void RelayFollower::SetPlanner(bool is_planner, const std::string& relay) {
  UpstreamTable& upstreams = targets_.gateway.upstreams();
  if (is_planner == upstreams.is_planner()) return;
  log_.Write(MonotonicMs(), "planner", {{"is_planner", is_planner}, {"relay", relay}});
  upstreams.SetPlanner(is_planner);
}

}  // namespace junctionrail::internal
