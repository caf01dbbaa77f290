#include "attempt.h"

#include <utility>

#include "exchange.h"

namespace junctionrail::internal {

void AttemptListener::OnConnected(double round_trip_ms) {
  const auto exchange = exchange_.lock();
  if (exchange) exchange->OnConnected(number_, round_trip_ms);
}

bool AttemptListener::MaySend(TimeMs connected_at) {
  const auto exchange = exchange_.lock();
  return exchange && exchange->MaySend(number_, connected_at);
}

void AttemptListener::OnHead(UpstreamHead head) {
  const auto exchange = exchange_.lock();
  if (exchange) exchange->OnHead(number_, std::move(head));
}

void AttemptListener::OnBody(std::string_view data) {
  const auto exchange = exchange_.lock();
  if (exchange) exchange->OnBody(number_, data);
}

void AttemptListener::OnUnread(std::size_t bytes) {
  const auto exchange = exchange_.lock();
  if (exchange) exchange->OnUnread(number_, bytes);
}

void AttemptListener::OnEnd(ResponseEnd end) {
  const auto exchange = exchange_.lock();
  if (exchange) exchange->OnEnd(number_, end);
}

void AttemptListener::OnFailed(UpstreamFailure failure, std::string_view reason) {
  const auto exchange = exchange_.lock();
  if (exchange) exchange->OnFailed(number_, failure, reason);
}

}  // namespace junctionrail::internal
