#include "entry_pages.h"

#include <string>
#include <utility>

#include "confirmation_message.h"
#include "direct_metrics.h"
#include "places_page.h"
#include "quarantine_page.h"
#include "quota_page.h"

namespace junctionrail::internal {
namespace {

void SendJson(const std::string& page, HttpResponder* responder) {
  responder->Whole(200, {{"Content-Type", "application/json"}}, page);
}

}  // namespace

EntryPages::EntryPages(EventLog& log, Sources sources) : log_(log), sources_(std::move(sources)) {}

void EntryPages::Answer(const HttpRequest& request, std::shared_ptr<HttpResponder> shared) {
  if (request.target == "/ready") return shared->Whole(sources_.is_ready() ? 200 : 503, {}, "");
  if (request.target == "/metrics") {
    return shared->Whole(
        200, {{"Content-Type", "text/plain; version=0.0.4"}},
        EntryMetrics({sources_.gateway, sources_.relay.use(), sources_.configuration,
                      sources_.store, sources_.loop, log_}));
  }
  if (request.target.rfind("/known/", 0) == 0) return AnswerPeer(request, shared.get());
  AnswerOperator(request, std::move(shared));
}

void EntryPages::AnswerOperator(const HttpRequest& request, std::shared_ptr<HttpResponder> shared) {
  const Gateway& gateway = sources_.gateway;
  if (request.target == "/quarantine") {
    return SendJson(QuarantinePage(sources_.gateway.quarantine(), MonotonicMs()), shared.get());
  }
  if (request.target == "/quotas") {
    return SendJson(QuotaPage(gateway.quotas(), MonotonicMs()), shared.get());
  }
  if (request.target == "/places") {
    return SendJson(PlacesPage(sources_.gateway.upstreams(), MonotonicMs()), shared.get());
  }
  if (IsReleaseTarget(request.target)) return Release(request, std::move(shared));
  shared->Whole(404, {}, "");
}

void EntryPages::AnswerPeer(const HttpRequest& request, HttpResponder* responder) {
  if (request.target == "/known/configuration") {
    return responder->Whole(200, {}, sources_.configuration.document());
  }
  if (request.target == "/known/upstreams") {
    return responder->Whole(200, {}, sources_.upstreams.Document());
  }
  const DurationMs age_ms = sources_.gateway.ConfigurationAge();
  if (request.target != "/known/word" || age_ms < 0) return responder->Whole(404, {}, "");
  responder->Whole(200, {},
                   FormatConfirmation({sources_.configuration.confirmation().version(), age_ms,
                                       sources_.gateway.upstreams().evacuated_halls()}));
}

// Allows a quarantined request again for an operator: here at once, and at the other entries once
// its record is removed from the store.
void EntryPages::Release(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
  const auto digest = ReleasedDigest(request.target);
  if (request.method != "POST") return responder->Whole(405, {{"Allow", "POST"}}, "");
  if (!digest) return responder->Whole(400, {}, "expected 32 hexadecimal digits\n");
  const bool was_refused = sources_.gateway.ReleaseRequest(*digest);
  log_.Write(MonotonicMs(), "request_released",
             {{"digest", digest->ToString()}, {"was_refused", was_refused}});
  sources_.recorder.Release(*digest, [responder, was_refused](bool is_done) {
    if (!is_done) return responder->Whole(503, {}, "the store did not confirm it\n");
    if (!was_refused) return responder->Whole(404, {}, "not refused here\n");
    responder->Whole(200, {}, "");
  });
}

}  // namespace junctionrail::internal
