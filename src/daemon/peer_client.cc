#include "peer_client.h"

#include <utility>

#include "confirmation_message.h"

namespace junctionrail::internal {
namespace {

// Interval at which another entry is asked at the start, while neither the store nor an entry has
// answered.
constexpr DurationMs kAskAtStartMs = 300;
constexpr DurationMs kAnswerMs = 500;
// Age of the last confirmation from which other entries are asked, as a part of the time for which
// an entry may act on the configuration unconfirmed.
constexpr double kAskPart = 0.65;
constexpr DurationMs kAskMs = 500;

}  // namespace

PeerClient::PeerClient(boost::asio::io_context& io, HttpClient& http, EventLog& log,
                       const DirectSettings& direct, Targets targets)
    : http_(http),
      log_(log),
      direct_(direct),
      targets_(targets),
      start_timer_(io),
      confirmation_timer_(io) {}

void PeerClient::Start() {
  start_timer_.After(kAskAtStartMs, [this] { AskAtStart(0); });
  confirmation_timer_.Every(kAskMs, [this] { AskForConfirmation(); });
}

// Asks one entry after the other until there is a configuration. What another entry last read may
// be outdated, but lets this one start while the store cannot be reached.
void PeerClient::AskAtStart(std::size_t n) {
  const auto& peers = direct_.peers;
  if (targets_.gateway.has_configuration() || peers.empty()) return;
  const Endpoint peer = peers[n % peers.size()];
  Ask(peer, "/known/configuration", [this, peer](const std::string& document) {
    if (!targets_.configuration.Offer(document)) return;
    log_.Write(MonotonicMs(), "configuration_from_peer", {{"peer", peer.ToString()}});
    Ask(peer, "/known/upstreams", [this](const std::string& it) { targets_.upstreams.Offer(it); });
  });
  start_timer_.After(kAskAtStartMs, [this, n] { AskAtStart(n + 1); });
}

// The store cannot be reached, or is slow: another entry may have a later confirmation. All are
// asked, as some may be gone, and their confirmations differ in age.
void PeerClient::AskForConfirmation() {
  const auto bound_ms = static_cast<double>(direct_.ExpiryBound());
  const DurationMs age_ms = targets_.gateway.ConfigurationAge();
  const bool is_old = age_ms < 0 || static_cast<double>(age_ms) > kAskPart * bound_ms;
  if (bound_ms <= 0 || !is_old) return;
  for (const auto& peer : direct_.peers) {
    if (peer == direct_.peer) continue;
    Ask(peer, "/known/word", [this, peer, asked_at = MonotonicMs()](const std::string& text) {
      OnConfirmation(peer, asked_at, text);
    });
  }
}

void PeerClient::OnConfirmation(const Endpoint& peer, TimeMs asked_at, const std::string& text) {
  const auto told = ParseConfirmation(text);
  if (!told) return log_.Write(MonotonicMs(), "word_malformed", {{"peer", peer.ToString()}});
  targets_.gateway.ApplyEvacuations(told->evacuated_halls, asked_at - told->age_ms);
  if (targets_.configuration.OfferConfirmation(told->version, asked_at, told->age_ms)) return;
  Ask(peer, "/known/configuration", [this, told = *told, asked_at](const std::string& document) {
    if (targets_.configuration.Offer(document)) {
      targets_.configuration.OfferConfirmation(told.version, asked_at, told.age_ms);
    }
  });
}

void PeerClient::Ask(const Endpoint& peer, std::string target,
                     std::function<void(const std::string&)> take) {
  HttpCall call;
  call.endpoint = peer;
  call.target = std::move(target);
  call.connect_ms = kAnswerMs;
  call.quiet_ms = kAnswerMs;
  FetchWhole(http_, std::move(call), [take = std::move(take)](const HttpAnswer& answer) {
    if (answer.status == 200 && !answer.body.empty()) take(answer.body);
  });
}

}  // namespace junctionrail::internal
