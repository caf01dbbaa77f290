#include "callers.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace junctionrail::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr DurationMs kPaceMs = 25;
constexpr DurationMs kEagerPaceMs = 3;
constexpr DurationMs kDeadlineMs = 4000;
constexpr DurationMs kAfterRefusalMs = 150;
constexpr DurationMs kAfterBreakMs = 80;

constexpr int kSharedParts = 3;
// Of its streams a caller cuts one in so many, so long after it was sent.
constexpr int kLeaveOneIn = 8;
constexpr DurationMs kLeaveMs = 150;
// Of its requests with a body one in so many takes up to so long to be sent.
constexpr int kSlowOneIn = 6;
constexpr std::uint64_t kSlowMs = 2500;
// Between two parts of a body, well within the shortest idle timeout.
constexpr DurationMs kPartMs = 150;
// A stream is taken up so often.
constexpr int kMostTries = 3;

// The body of a chunked answer; false while it is not whole. `body` has the whole chunks in any
// case.
bool Dechunk(const std::string& text, std::string* body) {
  std::size_t at = 0;
  while (true) {
    const std::size_t end = text.find("\r\n", at);
    if (end == std::string::npos) return false;
    const std::size_t n = std::strtoul(text.substr(at, end - at).c_str(), nullptr, 16);
    if (n == 0) return text.size() >= end + 4;
    if (text.size() < end + 2 + n + 2) return false;
    body->append(text, end + 2, n);
    at = end + 2 + n + 2;
  }
}

}  // namespace

Caller::Caller(asio::io_context& io, Judge& judge, Random& random, std::string name,
               std::vector<Endpoint> entries, std::string organisation, CallerHabit habit)
    : io_(io),
      judge_(judge),
      random_(random),
      name_(std::move(name)),
      entries_(std::move(entries)),
      organisation_(std::move(organisation)),
      pace_(io),
      patience_(io),
      rest_(io),
      leave_(io),
      habit_(habit),
      is_part_alone_(HasDeadlyPart() && random_() % 2 == 0) {}

void Caller::Start() { Again(static_cast<DurationMs>(random_() % 200)); }

void Caller::Stop() {
  is_stopped_ = true;
  pace_.Cancel();
  patience_.Cancel();
  rest_.Cancel();
  leave_.Cancel();
  error_code ec;
  if (socket_) socket_->close(ec);
}

int Caller::TakeServed() { return std::exchange(served_, 0); }

void Caller::Again(DurationMs delay) {
  if (is_stopped_) return;
  patience_.Cancel();
  pace_.After(delay, [self = shared_from_this()] { self->Next(); });
}

void Caller::Next() {
  route_ = &ChooseRoute();
  model_ = kModels[IsDeadly() ? 0 : random_() % std::size(kModels)];
  if (random_() % 4 == 0) model_ += "/a1";
  version_.clear();
  last_event_ = 0;
  event_count_ = 0;
  tries_ = 0;
  stream_ = name_ + "-" + std::to_string(requests_ + 1);
  // Sound requests share the first part with those that end engines, unless these have no other.
  const std::string second =
      HasDeadlyPart() ? kDeadlyPart : "g" + std::to_string(requests_ % kSharedParts);
  prompt_ = (is_part_alone_ ? "" : "first:100,") + second + ":20,own-" + stream_ + ":5";
  BeginRound();
}

void Caller::BeginRound() {
  ++round_;
  ++tries_;
  id_ = name_ + "-" + std::to_string(++requests_);
  head_.clear();
  text_.clear();
  patience_.After(kDeadlineMs + 500,
                  [self = shared_from_this()] { self->Broken("no answer in time"); });
  const bool leaves = route_->is_stream && route_->may_repeat && random_() % kLeaveOneIn == 0;
  if (leaves && !IsDeadly() && !HasDeadlyPart()) {
    leave_.After(kLeaveMs, [self = shared_from_this(), round = round_] {
      if (round == self->round_) self->Leave();
    });
  }
  is_connected_ ? Send() : Connect();
}

const RouteSpec& Caller::ChooseRoute() {
  if (IsDeadly() || HasDeadlyPart()) return RouteOf("POST /resumable/");
  if (habit_ == CallerHabit::kEager) return RouteOf("GET /repeatable/");
  return Routes()[random_() % Routes().size()];
}

void Caller::Connect() {
  socket_ = std::make_shared<tcp::socket>(io_);
  entry_ = static_cast<int>(random_() % entries_.size());
  const Endpoint& entry = entries_[static_cast<std::size_t>(entry_)];
  socket_->async_connect(tcp::endpoint(asio::ip::make_address(entry.address), entry.port),
                         [self = shared_from_this(), round = round_](error_code ec) {
                           if (round != self->round_ || self->is_stopped_) return;
                           if (ec) return self->Broken("no connection");
                           self->is_connected_ = true;
                           self->Read();
                           self->Send();
                         });
}

void Caller::Send() {
  judge_.OnSent(id_, entry_, organisation_, AllowedHalls(*route_, organisation_));
  const std::string body = IsDeadly() ? kDeadlyBody : "body of " + stream_;
  const bool is_slow = !IsGet() && !IsDeadly() && requests_ % kSlowOneIn == 0;
  if (is_slow) return SendSlowly(body);
  const std::string rest =
      IsGet() ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  Write(RequestHead() + rest);
  OnWholeSent();
}

bool Caller::IsGet() const { return !route_->is_stream && route_->may_repeat; }

// Up to the fields that tell of the body.
std::string Caller::RequestHead() const {
  std::string head = IsGet() ? "GET" : "POST";
  head += " /" + route_->name + "/" + (IsDeadly() ? "x" : stream_) +
          " HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: " + id_ +
          "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\nKey: key of " + organisation_ +
          "\r\n";
  if (route_->is_stream) head += "Model: " + model_ + "\r\nPrompt-Prefix: " + prompt_ + "\r\n";
  if (last_event_ > 0) {
    head += "Last-Event-Id: " + std::to_string(last_event_) + "\r\nResumes: " + stream_ + "\r\n";
  }
  return head;
}

void Caller::SendSlowly(const std::string& body) {
  Write(RequestHead() + "Transfer-Encoding: chunked\r\n\r\n");
  SendPart(body, MonotonicMs() + static_cast<DurationMs>(random_() % kSlowMs));
}

void Caller::SendPart(const std::string& body, TimeMs whole_at) {
  const bool is_last = MonotonicMs() >= whole_at || body.size() == 1;
  const std::string part = is_last ? body : body.substr(0, 1);
  std::ostringstream chunk;
  chunk << std::hex << part.size() << "\r\n" << part << "\r\n";
  if (is_last) {
    Write(chunk.str() + "0\r\n\r\n");
    judge_.OnSent(id_, entry_, organisation_, AllowedHalls(*route_, organisation_));
    return OnWholeSent();
  }
  Write(chunk.str());
  rest_.After(kPartMs,
              [self = shared_from_this(), round = round_, rest = body.substr(1), whole_at] {
                if (round == self->round_ && !self->is_stopped_) self->SendPart(rest, whole_at);
              });
}

void Caller::Write(std::string bytes) {
  const auto text = std::make_shared<std::string>(std::move(bytes));
  asio::async_write(*socket_, asio::buffer(*text), [text](error_code, std::size_t) {});
}

void Caller::OnWholeSent() {
  is_awaiting_ = true;
  judge_.retries.OnRequest(route_->is_stream ? kEngineService : kPlainService);
  patience_.After(kDeadlineMs + 500,
                  [self = shared_from_this()] { self->Broken("no answer in time"); });
}

void Caller::Read() {
  socket_->async_read_some(asio::buffer(chunk_), [self = shared_from_this(), socket = socket_](
                                                     error_code ec, std::size_t n) {
    if (self->is_stopped_ || socket != self->socket_) return;
    if (ec) return self->Ended(ec != asio::error::eof);
    self->text_.append(self->chunk_.data(), n);
    self->OnText();
    if (self->is_connected_ && socket == self->socket_) self->Read();
  });
}

void Caller::OnText() {
  if (head_.empty()) {
    const std::size_t end = text_.find("\r\n\r\n");
    if (end == std::string::npos) return;
    head_ = text_.substr(0, end + 4);
    text_.erase(0, end + 4);
  }
  const testing::SeenRequest head{head_, ""};
  const std::string length = head.Field("Content-Length");
  std::string body;
  if (length != "(none)") {
    const std::size_t n = std::strtoul(length.c_str(), nullptr, 10);
    if (text_.size() < n) return;
    body = text_.substr(0, n);
  } else if (!Dechunk(text_, &body)) {
    return;
  }
  ++round_;  // The answer is whole: what happens to the connection from now on does not matter.
  is_awaiting_ = false;
  head_.clear();
  text_.clear();
  if (head.Field("Connection") == "close") is_connected_ = false;
  const int status = std::atoi(head.head.substr(9, 3).c_str());
  const std::string whose = head.Field("Attempt-Id");
  if (whose != id_) judge_.Complain("request " + id_ + " got the answer to " + whose);
  if (status == 200) {
    if (head.Field("Response-Seal") != "seal-" + id_) {
      judge_.Complain("request " + id_ + " got a success with another's seal");
    }
    route_->is_stream ? CheckStream(body) : CheckPlain(body);
    return Served();
  }
  if (!IsDeadly() && !HasDeadlyPart() && body.find("ends_upstreams") != std::string::npos) {
    judge_.Complain("request " + id_ + " was refused as one that ends upstreams");
  }
  if (tries_ > 1) judge_.OnResumed(false);
  const bool is_refused = status == 503 || status == 429 || status == 408;
  is_refused ? judge_.OnRefused(id_) : judge_.OnFailed(id_, route_->name);
  last_event_ = 0;
  Again(kAfterRefusalMs);
}

void Caller::CheckPlain(const std::string& body) {
  if (body != "answer to " + id_) judge_.Complain("request " + id_ + " got \"" + body + "\"");
}

// Events come in order, each once, and from one software version, over all tries.
void Caller::TakeEvents(const std::string& body) {
  std::size_t at = 0;
  while (true) {
    const std::size_t end = body.find("\n\n", at);
    if (end == std::string::npos) return;
    const std::string event = body.substr(at, end - at);
    at = end + 2;
    const std::string expected = "id: " + std::to_string(last_event_ + 1) + "\ndata: " + stream_ +
                                 " " + std::to_string(last_event_ + 1) + " of ";
    const std::size_t by = event.find(" by ");
    const int count = std::atoi(event.c_str() + std::min(event.size(), expected.size()));
    if (event_count_ == 0) event_count_ = count;
    const bool is_expected =
        event.rfind(expected, 0) == 0 && by != std::string::npos && count == event_count_;
    if (!is_expected) {
      judge_.Complain("stream " + stream_ + " has other events than were made: " + event);
      return;
    }
    ++last_event_;
    const std::string version = event.substr(by + 4);
    if (version_.empty()) version_ = version;
    if (version != version_) {
      judge_.Complain("stream " + stream_ + " holds events of " + version_ + " and " + version +
                      " from event " + std::to_string(last_event_) + " on");
      return;
    }
  }
}

// A stream that ends as complete has every event, and nothing after the last one.
void Caller::CheckStream(const std::string& body) {
  TakeEvents(body);
  const bool ends_with_event = body.size() >= 2 && body.compare(body.size() - 2, 2, "\n\n") == 0;
  const bool is_whole =
      last_event_ > 0 && last_event_ == event_count_ && (body.empty() || ends_with_event);
  if (!is_whole) judge_.Complain("stream " + stream_ + " ended as complete too early");
}

bool Caller::ShouldResume() const {
  return route_ != nullptr && route_->is_stream && route_->may_repeat && last_event_ > 0 &&
         tries_ < kMostTries;
}

// At another entry than before, most of the time.
void Caller::Resume() {
  if (is_stopped_) return;
  BeginRound();
}

void Caller::Served() {
  ++served_;
  judge_.OnServed(id_, route_->name);
  if (tries_ > 1) judge_.OnResumed(true);
  last_event_ = 0;
  Again(Pace());
}

DurationMs Caller::Pace() const {
  if (habit_ == CallerHabit::kPersistent) return 0;
  return habit_ == CallerHabit::kEager ? kEagerPaceMs : kPaceMs;
}

void Caller::Broken(const std::string&) {
  if (is_stopped_) return;
  judge_.OnFailed(id_, route_->name);
  TakeUpOrGoOn();
}

void Caller::Ended(bool is_reset) {
  if (!is_awaiting_) return TakeUpOrGoOn();
  judge_.OnUnanswered(id_, is_reset ? Judge::Ending::kReset : Judge::Ending::kClosed);
  Broken("the connection ended");
}

void Caller::Leave() {
  if (!is_stopped_) TakeUpOrGoOn();
}

// Closes the connection, and takes the stream up if events of it have come.
void Caller::TakeUpOrGoOn() {
  ++round_;
  is_connected_ = false;
  is_awaiting_ = false;
  error_code ec;
  if (socket_) socket_->close(ec);
  socket_.reset();  // What its handlers still say does not matter.
  const int had = last_event_;
  std::string body;
  const bool is_stream_of_events = head_.rfind("HTTP/1.1 200", 0) == 0 && route_->is_stream;
  if (is_stream_of_events) {
    Dechunk(text_, &body);
    TakeEvents(body);
  }
  if (tries_ > 1) judge_.OnResumed(last_event_ > had);
  if (!ShouldResume()) return Again(kAfterBreakMs);
  patience_.Cancel();
  pace_.After(kAfterBreakMs, [self = shared_from_this()] { self->Resume(); });
}

}  // namespace junctionrail::soak
