#include "origin_client.h"

#include <utility>

namespace junctionrail::internal {
namespace {

// Number of agents among which holders are chosen. More of them mean more links of each entry.
constexpr std::size_t kCandidates = 8;
constexpr std::size_t kHolders = 2;
// All candidates are asked: agents come and go between the beginning of a stream and its break, and
// callers resume few streams.
constexpr std::size_t kHoldersToAsk = kCandidates;
// The ranking of agents follows the list of upstreams, which is read about once a second.
constexpr DurationMs kCandidatesMs = 1000;
// Reports of streams that could have begun elsewhere are collected for so long: a caller whose
// connection breaks may be at another entry some milliseconds after the first event.
constexpr DurationMs kReportMs = 3;
// Reports of the others matter only if another version comes before their callers resume them.
constexpr DurationMs kLazyReportMs = 500;
// A caller waits for the replies.
constexpr DurationMs kReplyMs = 250;

}  // namespace

OriginClient::OriginClient(boost::asio::io_context& io, EventLog& log, Gateway& gateway,
                           std::shared_ptr<VersionLedger> ledger, Callbacks callbacks)
    : io_(io),
      log_(log),
      gateway_(gateway),
      ledger_(std::move(ledger)),
      callbacks_(std::move(callbacks)),
      report_timer_(io) {}

void OriginClient::Start() {
  gateway_.OnStreamBegun([this](const BegunStream& begun) { Report(begun); });
  gateway_.OnOriginNeeded([this](const UnknownStream& unknown) { Ask(unknown); });
}

std::vector<std::string> OriginClient::HoldersOf(const std::string& stream, std::size_t n) {
  const TimeMs now = MonotonicMs();
  if (candidates_.empty() || now - candidates_as_of_ >= kCandidatesMs) {
    candidates_as_of_ = now;
    candidates_.clear();
    for (const auto& it : gateway_.upstreams().RankAgents(kCandidates)) {
      const UpstreamRecord* upstream = gateway_.upstreams().Find(it);
      if (upstream != nullptr) candidates_.push_back({upstream->endpoint.ToString(), it});
    }
  }
  std::vector<std::string> holders;
  for (const auto& it : ChooseOriginHolders(stream, candidates_, candidates_.size())) {
    if (holders.size() == n) break;
    if (callbacks_.can_send(it.instance)) holders.push_back(it.instance);
  }
  return holders;
}

void OriginClient::Report(const BegunStream& begun) {
  for (const auto& it : HoldersOf(begun.stream, kHolders)) {
    reports_[it].streams[begun.origin].push_back(begun.stream);
  }
  if (reports_.empty()) return;
  const DurationMs delay = begun.is_ambiguous ? kReportMs : kLazyReportMs;
  const TimeMs due_at = MonotonicMs() + delay;
  if (reports_due_at_ != 0 && reports_due_at_ <= due_at) return;
  reports_due_at_ = due_at;
  report_timer_.After(delay, [this] { SendReports(); });
}

void OriginClient::SendReports() {
  reports_due_at_ = 0;
  for (const auto& [instance, report] : std::exchange(reports_, {})) {
    callbacks_.send(instance, EncodeOriginReport(report));
  }
}

void OriginClient::Ask(const UnknownStream& unknown) {
  Question& question = questions_[unknown.ticket];
  question.unknown = unknown;
  if (!unknown.stream.empty()) {
    for (auto& it : HoldersOf(unknown.stream, kHoldersToAsk)) question.asked.insert(std::move(it));
  }
  if (question.asked.empty()) return InferFromLedger(unknown);
  question.timer = std::make_shared<Timer>(io_);
  question.timer->After(kReplyMs, [this, ticket = unknown.ticket] {
    const auto it = questions_.find(ticket);
    if (it == questions_.end()) return;
    it->second.asked.clear();
    InferFromLedger(it->second.unknown);
  });
  // A holder that this entry hosts replies within the call.
  const std::set<std::string> asked = question.asked;
  for (const auto& it : asked) {
    callbacks_.send(it, EncodeOriginQuery({unknown.ticket, unknown.stream}));
  }
}

void OriginClient::OnReply(const std::string& source, std::string_view bytes) {
  OriginReply reply;
  if (!DecodeOriginReply(bytes, &reply)) {
    return log_.Write(MonotonicMs(), "origin_malformed", {{"upstream", source}});
  }
  if (reply.origin) return Answer(reply.number, reply.origin, "holder");
  OnNotHeld(reply.number, source);
}

void OriginClient::OnLinkClosed(const std::string& instance) {
  std::vector<std::uint64_t> concerned;
  for (const auto& [ticket, question] : questions_) {
    if (question.asked.count(instance) > 0) concerned.push_back(ticket);
  }
  for (const auto it : concerned) OnNotHeld(it, instance);
}

void OriginClient::OnNotHeld(std::uint64_t ticket, const std::string& instance) {
  const auto it = questions_.find(ticket);
  if (it == questions_.end() || it->second.asked.erase(instance) == 0) return;
  if (it->second.asked.empty()) InferFromLedger(it->second.unknown);
}

// The stream began at the service that the route leads to if no other one is recorded of it.
void OriginClient::InferFromLedger(const UnknownStream& unknown) {
  const std::uint64_t ticket = unknown.ticket;
  if (unknown.services.size() != 1) return Answer(ticket, std::nullopt, "several_services");
  const std::string service = unknown.services.front();
  ledger_->ReadRouteServices(
      unknown.route, [this, ticket, service, life = std::weak_ptr<bool>(lifetime_)](
                         const std::optional<VersionLedger::Services>& services) {
        if (life.expired()) return;
        if (!services) return Answer(ticket, std::nullopt, "store_unavailable");
        const bool is_only_one = *services == VersionLedger::Services{service};
        if (!is_only_one) return Answer(ticket, std::nullopt, "several_services");
        InferVersion(ticket, service);
      });
}

// With a single version recorded by a reading that began after the request had arrived, and no
// other one listed since, the stream began there, whoever knew it.
void OriginClient::InferVersion(std::uint64_t ticket, const std::string& service) {
  ledger_->Read(service, [this, ticket, service, life = std::weak_ptr<bool>(lifetime_)](
                             const std::optional<VersionLedger::Versions>& versions) {
    if (life.expired()) return;
    if (!versions) return Answer(ticket, std::nullopt, "store_unavailable");
    if (versions->count(VersionLedger::kUnknownName) > 0) {
      return Answer(ticket, std::nullopt, "versions_unknown");
    }
    const auto listed = gateway_.upstreams().OnlyOrigin({service});
    const bool is_other_listed = gateway_.upstreams().HasSeveralVersions(service) ||
                                 (listed && versions->count(listed->version) == 0);
    if (versions->size() != 1 || is_other_listed) {
      return Answer(ticket, std::nullopt, "several_versions");
    }
    Answer(ticket, StreamOrigin{service, *versions->begin()}, "only_version");
  });
}

void OriginClient::Answer(std::uint64_t ticket, const std::optional<StreamOrigin>& origin,
                          std::string_view source) {
  const auto it = questions_.find(ticket);
  if (it == questions_.end()) return;
  log_.Write(MonotonicMs(), origin ? "origin_found" : "origin_unknown",
             {{"stream", it->second.unknown.stream},
              {"source", source},
              {"version", origin ? std::string_view{origin->version} : std::string_view{}}});
  questions_.erase(it);
  gateway_.ApplyStreamOrigin(ticket, origin);
}

}  // namespace junctionrail::internal
