#include "agent_links.h"

#include <algorithm>
#include <utility>

namespace junctionrail::internal {
namespace {

// Interval at which changed demand is sent to agents. It is sent at once when a request begins to
// wait for a model that no agent was asked for.
constexpr DurationMs kDemandMs = 250;
constexpr DurationMs kUrgentDemandMs = 5;
// Unchanged demand is sent again after a second or, if that is longer, 10 ms per link: an entry
// then sends at most a hundred of these messages a second.
constexpr DurationMs kRepeatDemandMs = 1000;
constexpr DurationMs kRepeatDemandEachMs = 10;
// Above the time in which a view counts as fresh.
constexpr DurationMs kSilentLinkMs = 2000;
// A link that could not be opened is opened again after this long.
constexpr DurationMs kReopenMs = 500;

// Whether two demands ask the agent for the same. Ages and rates, which change all the time, are
// not compared.
bool IsSame(const AgentDemand& a, const AgentDemand& b) {
  if (a.stage != b.stage || a.wanted.size() != b.wanted.size()) return false;
  if (a.may_load_from_store != b.may_load_from_store) return false;
  if (a.is_planner != b.is_planner) return false;
  for (std::size_t n = 0; n < a.wanted.size(); ++n) {
    const bool is_same = a.wanted[n].ref == b.wanted[n].ref &&
                         (a.wanted[n].waiting > 0) == (b.wanted[n].waiting > 0);
    if (!is_same) return false;
  }
  if (a.use.size() != b.use.size()) return false;
  for (std::size_t n = 0; n < a.use.size(); ++n) {
    const bool is_same =
        a.use[n].model == b.use[n].model && (a.use[n].in_flight > 0) == (b.use[n].in_flight > 0);
    if (!is_same) return false;
  }
  return true;
}

}  // namespace

AgentLinks::AgentLinks(boost::asio::io_context& io, Gateway& gateway, EntryHosting& hosting,
                       Options options, Callbacks callbacks)
    : gateway_(gateway),
      hosting_(hosting),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      client_(io, ClientCallbacks()),
      demand_timer_(io),
      urgent_timer_(io) {}

void AgentLinks::Start() {
  demand_timer_.Every(kDemandMs, [this] { SendDemands(); });
}

LinkClientCallbacks AgentLinks::ClientCallbacks() {
  LinkClientCallbacks callbacks;
  callbacks.opened = [](const std::string&) {};
  callbacks.message = [this](const std::string& instance, std::string_view bytes) {
    callbacks_.message(instance, bytes);
  };
  callbacks.closed = [this](const std::string& instance, bool was_open) {
    links_.erase(instance);
    callbacks_.closed(instance);
    if (!was_open) reopen_at_[instance] = MonotonicMs() + kReopenMs;
  };
  return callbacks;
}

bool AgentLinks::CanOpen(const std::string& instance) const {
  return gateway_.upstreams().Find(instance) != nullptr && reopen_at_.count(instance) == 0;
}

void AgentLinks::Send(const std::string& instance, std::string bytes) {
  const UpstreamRecord* upstream = gateway_.upstreams().Find(instance);
  if (upstream == nullptr || reopen_at_.count(instance) > 0) return;
  gateway_.upstreams().Observe(instance, MonotonicMs());
  client_.Send(instance, LinkTo(*upstream), std::move(bytes));
}

bool AgentLinks::SendIfOpen(const std::string& instance, std::string bytes) {
  const auto link = links_.find(instance);
  if (link == links_.end()) return false;
  client_.Send(instance, link->second.endpoint, std::move(bytes));
  return true;
}

std::vector<std::string> AgentLinks::OpenInstances() const {
  std::vector<std::string> instances;
  for (const auto& [instance, link] : links_) instances.push_back(instance);
  return instances;
}

void AgentLinks::Close(const std::string& instance, std::string_view reason) {
  client_.Close(instance, reason);
}

Endpoint AgentLinks::LinkTo(const UpstreamRecord& upstream) const {
  const Endpoint agent{upstream.endpoint.address, options_.link_port};
  return hosting_.LinkOf(upstream.endpoint).value_or(agent);
}

void AgentLinks::ScheduleUrgentDemand(const std::string& instance) {
  const bool is_armed = !urgent_.empty();
  urgent_.insert(instance);
  if (is_armed) return;
  urgent_timer_.After(kUrgentDemandMs, [this] {
    const auto all = std::exchange(urgent_, {});
    for (const auto& it : all) SendUrgentDemand(it);
  });
}

// Updates only the demand of waiting requests there: building the demand for all agents each time a
// request begins to wait would take milliseconds.
void AgentLinks::SendUrgentDemand(const std::string& instance) {
  if (!CanOpen(instance)) return;
  const auto [link, is_new] = links_.try_emplace(instance);
  AgentDemand& demand = link->second.demand;
  if (is_new) {
    SetSender(instance, kRepeatDemandMs, &demand);
    demand.is_planner = gateway_.upstreams().is_planner();
  }
  auto& wanted = demand.wanted;
  wanted.erase(std::remove_if(wanted.begin(), wanted.end(),
                              [](const ModelDemand& it) { return it.waiting > 0; }),
               wanted.end());
  auto waiting = gateway_.WaitingDemandFor(instance);
  wanted.insert(wanted.begin(), waiting.begin(), waiting.end());
  link->second.demand_sent_at = MonotonicMs();
  SendDemand(*gateway_.upstreams().Find(instance), demand, &link->second);
}

void AgentLinks::SetSender(const std::string& instance, DurationMs repeat_ms,
                           AgentDemand* demand) const {
  demand->entry = options_.entry;
  demand->instance = instance;
  demand->accepts_view_updates = true;
  demand->wants_upstream_ends = true;
  demand->resend_interval_ms = repeat_ms;
}

void AgentLinks::SendDemands() {
  const TimeMs now = MonotonicMs();
  auto demands = gateway_.Demands();
  const DurationMs repeat_ms =
      std::max(kRepeatDemandMs, kRepeatDemandEachMs * static_cast<DurationMs>(demands.size()));
  for (auto& [instance, demand] : demands) {
    SetSender(instance, repeat_ms, &demand);
    if (!CanOpen(instance)) continue;
    Link& link = links_[instance];
    const bool is_same = IsSame(link.demand, demand);
    if (is_same && now - link.demand_sent_at < repeat_ms) continue;
    link.demand_sent_at = now;
    SendDemand(*gateway_.upstreams().Find(instance), demand, &link);
    link.demand = std::move(demand);
  }
  CloseUnused(demands);
  CloseSilent(now);
  callbacks_.demands_sent();
  for (auto it = reopen_at_.begin(); it != reopen_at_.end();) {
    it = it->second <= now ? reopen_at_.erase(it) : std::next(it);
  }
}

void AgentLinks::SendDemand(const UpstreamRecord& upstream, const AgentDemand& demand, Link* link) {
  if (hosting_.IsHosting(upstream.endpoint)) {
    client_.Close(upstream.instance, "hosted_here");
    return hosting_.OnDemand(upstream.endpoint, demand);
  }
  const Endpoint to = LinkTo(upstream);
  if (!(link->endpoint == to) && link->endpoint.port != 0)
    client_.Close(upstream.instance, "moved");
  link->endpoint = to;
  client_.Send(upstream.instance, to, EncodeDemand(demand));
}

// Closes links to agents of engines that are no longer observed.
void AgentLinks::CloseUnused(const std::map<std::string, AgentDemand>& demands) {
  for (auto it = links_.begin(); it != links_.end();) {
    if (demands.count(it->first) > 0) {
      ++it;
      continue;
    }
    client_.Close(it->first, "unused");
    it = links_.erase(it);
  }
}

// Closes links without a fresh view: they may have been cut without either end noticing. The next
// demand opens them again.
void AgentLinks::CloseSilent(TimeMs now) {
  for (auto it = links_.begin(); it != links_.end();) {
    const bool is_gone = gateway_.upstreams().Find(it->first) == nullptr;
    const bool is_silent = !gateway_.upstreams().HasFreshView(it->first, now) &&
                           now - it->second.opened_at > kSilentLinkMs;
    if (is_gone || is_silent) {
      it->second.opened_at = now;
      client_.Close(it->first, "silent");
    }
    it = is_gone ? links_.erase(it) : std::next(it);
  }
}

}  // namespace junctionrail::internal
