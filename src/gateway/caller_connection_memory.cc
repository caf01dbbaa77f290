// What a caller's connection makes the process hold, and what becomes of it when it has to give
// way.
#include <algorithm>
#include <boost/asio/post.hpp>

#include "caller_connection.h"

namespace junctionrail::internal {
namespace {

// What a connection takes beside the bytes that are counted, while it holds any.
constexpr std::size_t kConnectionBytes = 2 << 10;
// The fields of a head are kept as they were received, and as the request has them.
constexpr std::size_t kHeadCopies = 2;
// So much of a response is not counted: ordinary ones are soon in the socket.
constexpr std::size_t kMinCountedOutputBytes = 8 << 10;
constexpr unsigned kUnavailable = 503;

// A body and the memory that is reserved for it.
struct HeldBody {
  std::string text;
  ClientMemory::Reservation reservation;
};

}  // namespace

void CallerConnection::BeginReservation() {
  reservation_ = gateway_.client_memory->Reserve(
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) self->OnEvicted();
      },
      MonotonicMs());
}

// It is kept for a retry, and by connections on which it is being sent.
std::shared_ptr<const std::string> CallerConnection::TakeBody() {
  const std::size_t bytes = ReceivedBytes();
  const auto held = std::make_shared<HeldBody>();
  held->text = std::move(parser_->get().body());
  parser_.reset();
  Reserve();
  const TimeMs now = MonotonicMs();
  held->reservation = gateway_.client_memory->Reserve([] {}, now);
  held->reservation.Resize(bytes, now);
  return {held, &held->text};
}

// Without this, it would grow up to twice the limit.
void CallerConnection::GrowBody() {
  if (parser_->content_length()) return;
  std::string& body = parser_->get().body();
  if (body.capacity() - body.size() >= buffer_.size()) return;
  const std::size_t limit =
      (gateway_.routes ? gateway_.routes->configuration().limits : CallerLimits()).max_body_bytes;
  const std::size_t needed = body.size() + buffer_.size();
  body.reserve(std::max(needed, std::min(2 * body.capacity(), limit)));
}

// A length that was announced is set aside at once, but not used before the body arrives.
std::size_t CallerConnection::ReceivedBytes() const {
  if (!parser_) return 0;
  const std::string& body = parser_->get().body();
  const std::size_t body_bytes = parser_->content_length() ? body.size() : body.capacity();
  return kHeadCopies * head_bytes_ + buffer_.capacity() + body_bytes;
}

std::size_t CallerConnection::UnsentBytes() const {
  return pending_output_.size() + output_in_flight_.size() - written_bytes_;
}

// One that holds nothing cannot give way.
bool CallerConnection::Reserve() {
  const std::size_t unsent = UnsentBytes();
  const std::size_t counted_output = unsent > kMinCountedOutputBytes ? unsent : 0;
  const std::size_t bytes = ReceivedBytes() + ahead_bytes_ + counted_output;
  reservation_.SetEvictable(bytes > 0);
  return reservation_.Resize(bytes > 0 ? kConnectionBytes + bytes : 0, MonotonicMs());
}

bool CallerConnection::ReserveReceived() {
  if (Reserve()) return true;
  RefuseForMemory("no_room");
  return false;
}

// Posted, as this runs within a call from the exchange.
void CallerConnection::ReserveOutput() {
  if (is_closed_ || UnsentBytes() <= kMinCountedOutputBytes || Reserve()) return;
  boost::asio::post(gateway_.io, [self = shared_from_this()] { self->CloseForMemory(); });
}

bool CallerConnection::IsReceiving() const {
  return parser_ && !exchange_ && !is_last_response_done_;
}

// Closing is posted, as an exchange may be in the middle of a call that made others give way.
void CallerConnection::OnEvicted() {
  if (is_closed_) return;
  if (IsReceiving() && UnsentBytes() == 0) return RefuseForMemory("evicted");
  boost::asio::post(gateway_.io, [self = shared_from_this()] { self->CloseForMemory(); });
}

void CallerConnection::RefuseForMemory(std::string_view reason) {
  ++gateway_.counters.memory_refusals;
  gateway_.log.Write(
      MonotonicMs(), "request_memory_full",
      {{"reason", reason},
       {"bytes", static_cast<std::int64_t>(ReceivedBytes())},
       {"received_ms", MonotonicMs() - request_started_at_},
       {"held_bytes", static_cast<std::int64_t>(gateway_.client_memory->held_bytes())}});
  RefuseReceiving({kUnavailable, kMemoryFullCode, kMemoryFullSentence, Execution::kNotRun,
                   kMemoryFullRetryAfterMs});
}

// What waits behind a request in flight, or for its client to read it, is freed by nothing else. A
// request in flight has an unknown outcome.
void CallerConnection::CloseForMemory() {
  if (is_closed_) return;
  ++gateway_.counters.memory_closes;
  gateway_.log.Write(MonotonicMs(), "connection_memory_full",
                     {{"unread_bytes", static_cast<std::int64_t>(ahead_bytes_)},
                      {"unsent_bytes", static_cast<std::int64_t>(UnsentBytes())},
                      {"has_request", exchange_ != nullptr}});
  unread_bytes_ = ahead_bytes_;
  Close();
}

CallerConnection::CloseCost CallerConnection::cost_of_close() const {
  const bool is_misused = ahead_bytes_ > 0 || (!exchange_ && UnsentBytes() > 0);
  if (is_misused) return CloseCost::kUnread;
  if (exchange_) return CloseCost::kResponse;
  return IsReceiving() ? CloseCost::kReceived : CloseCost::kNothing;
}

void CallerConnection::CloseForAnother() {
  if (cost_of_close() == CloseCost::kUnread) return CloseForMemory();
  if (IsReceiving()) {
    RefuseReceiving({kUnavailable, kConnectionsFullCode, kConnectionsFullSentence,
                     Execution::kNotRun, kConnectionsFullRetryAfterMs});
  }
  Close();
}

}  // namespace junctionrail::internal
