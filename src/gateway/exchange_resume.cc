// Streams that go on: where they began, and that they go on only at the software version that began
// them.
#include <algorithm>
#include <utility>

#include "exchange.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

// A holder of the origin that did not answer may answer then.
constexpr DurationMs kUnknownOriginRetryMs = 1000;

constexpr unsigned kUnavailable = 503;

}  // namespace

// The id of the request that began the stream which this request resumes; empty: none is named.
std::string_view Exchange::ResumedRequest() const {
  const std::string* id = FindField(request_.fields, gateway_.options.header_names.resumed_request);
  return id == nullptr ? std::string_view{} : std::string_view{*id};
}

bool Exchange::IsResumption() const {
  const std::string& name = gateway_.options.header_names.last_event_id;
  const std::string* last_event = FindField(request_.fields, name);
  return route_->is_resumable && last_event != nullptr && !last_event->empty();
}

// The services that the route sends requests to, without those whose weight is 0.
std::vector<std::string> Exchange::RouteServices() const {
  std::vector<std::string> services;
  for (const auto& it : route_->traffic_split) {
    if (it.weight > 0) services.push_back(it.service);
  }
  return services;
}

void Exchange::ResolveOrigin() {
  const std::string stream(ResumedRequest());
  const auto known = gateway_.stream_origins.Find(stream, MonotonicMs());
  if (known) return ApplyOrigin(known);
  if (!gateway_.on_origin_needed) {
    return ApplyOrigin(gateway_.upstreams.OnlyOrigin(RouteServices()));
  }
  ArmTimer();
  gateway_.AskForOrigin(shared_from_this(), {0, stream, route_->name, RouteServices()});
}

// A stream whose origin is unknown goes on nowhere: any upstream could be of another version than
// the one that began it.
void Exchange::ApplyOrigin(const std::optional<StreamOrigin>& origin) {
  if (is_finished_) return;
  if (!origin) {
    ++gateway_.counters.unknown_origin_refusals;
    return Refuse(kUnavailable, "unknown_origin",
                  "it is not known which upstreams began the stream", Execution::kNotRun,
                  kUnknownOriginRetryMs);
  }
  const auto services = RouteServices();
  const bool is_on_route =
      std::find(services.begin(), services.end(), origin->service) != services.end();
  if (!is_on_route) {
    return Refuse(kUnavailable, "service_changed",
                  "the route no longer leads to the service that began the stream",
                  Execution::kNotRun, 0);
  }
  ++gateway_.counters.resumed_streams;
  gateway_.stream_origins.Add(ResumedRequest(), *origin, MonotonicMs());
  origin_ = origin;
  SetService(origin->service);
  BeginAttempts();
}

// The first event has arrived, of a stream that this request begins.
void Exchange::RecordOrigin() {
  if (!route_->is_resumable || origin_) return;
  origin_ = StreamOrigin{service_, attempt_.version};
  const bool is_ambiguous =
      RouteServices().size() > 1 || gateway_.upstreams.HasSeveralVersions(service_);
  gateway_.OnStreamBegun({request_id_, *origin_, is_ambiguous});
}

}  // namespace junctionrail::internal
