#include "callers.h"

#include <boost/asio/write.hpp>
#include <cstdlib>
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

// The body of a chunked answer; false while it is not whole.
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
      habit_(habit) {}

void Caller::Start() { Again(static_cast<DurationMs>(random_() % 200)); }

void Caller::Stop() {
  is_stopped_ = true;
  pace_.Cancel();
  patience_.Cancel();
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
  ++round_;
  id_ = name_ + "-" + std::to_string(++requests_);
  route_ = &ChooseRoute();
  head_.clear();
  text_.clear();
  patience_.After(kDeadlineMs + 500,
                  [self = shared_from_this()] { self->Broken("no answer in time"); });
  is_connected_ ? Send() : Connect();
}

const RouteSpec& Caller::ChooseRoute() {
  if (IsDeadly()) return RouteOf("POST /resumable/");
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
  const bool is_get = !route_->is_stream && route_->may_repeat;
  std::string request = is_get ? "GET" : "POST";
  request += " /" + route_->name + "/" + (IsDeadly() ? "x" : id_) +
             " HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: " + id_ +
             "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\nKey: key of " +
             organisation_ + "\r\n";
  if (route_->is_stream) {
    const std::string model = kModels[IsDeadly() ? 0 : random_() % std::size(kModels)];
    request += "Model: " + model + (random_() % 4 == 0 ? "/a1" : "") + "\r\n";
  }
  const std::string body = IsDeadly() ? kDeadlyBody : "body of " + id_;
  request += is_get ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const auto text = std::make_shared<std::string>(std::move(request));
  asio::async_write(*socket_, asio::buffer(*text), [text](error_code, std::size_t) {});
}

void Caller::Read() {
  socket_->async_read_some(asio::buffer(chunk_), [self = shared_from_this(), socket = socket_](
                                                     error_code ec, std::size_t n) {
    if (self->is_stopped_ || socket != self->socket_) return;
    if (ec) return self->Broken("the connection ended");
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
  if (head.Field("Connection") == "close") is_connected_ = false;
  const int status = std::atoi(head_.substr(9, 3).c_str());
  const std::string whose = head.Field("Attempt-Id");
  if (whose != id_) judge_.Complain("request " + id_ + " got the answer to " + whose);
  if (status == 200) {
    if (head.Field("Response-Seal") != "seal-" + id_) {
      judge_.Complain("request " + id_ + " got a success with another's seal");
    }
    route_->is_stream ? CheckStream(body) : CheckPlain(body);
    return Served();
  }
  if (!IsDeadly() && body.find("ends_upstreams") != std::string::npos) {
    judge_.Complain("request " + id_ + " was refused as one that ends upstreams");
  }
  const bool is_refused = status == 503 || status == 429 || status == 408;
  is_refused ? judge_.OnRefused(id_) : judge_.OnFailed(id_, route_->name);
  Again(kAfterRefusalMs);
}

void Caller::CheckPlain(const std::string& body) {
  if (body != "answer to " + id_) judge_.Complain("request " + id_ + " got \"" + body + "\"");
}

// A stream that ends as complete has every event once and in order.
void Caller::CheckStream(const std::string& body) {
  const std::size_t of = body.find(" of ");
  const int count = of == std::string::npos ? -1 : std::atoi(body.c_str() + of + 4);
  std::string expected;
  for (int n = 1; n <= count; ++n) {
    expected += "id: " + std::to_string(n) + "\ndata: " + id_ + " " + std::to_string(n) + " of " +
                std::to_string(count) + "\n\n";
  }
  if (body != expected) {
    judge_.Complain("stream " + id_ + " ended as complete with other events than were made");
  }
}

void Caller::Served() {
  ++served_;
  judge_.OnServed(id_, route_->name);
  Again(habit_ == CallerHabit::kEager ? kEagerPaceMs : kPaceMs);
}

void Caller::Broken(const std::string&) {
  if (is_stopped_) return;
  ++round_;
  is_connected_ = false;
  error_code ec;
  if (socket_) socket_->close(ec);
  judge_.OnFailed(id_, route_->name);
  Again(kAfterBreakMs);
}

}  // namespace junctionrail::soak
