#include "loopback.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace junctionrail::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kLongestRun(10);
constexpr std::chrono::milliseconds kStep(5);

}  // namespace

std::string OwnAddress(int last) {
  return "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) +
         "." + std::to_string(last);
}

int SilentLog() { return open("/dev/null", O_WRONLY | O_CLOEXEC); }

EventLogOptions QuietLog() {
  EventLogOptions options;
  options.process = "test";
  options.file_descriptor = SilentLog();
  return options;
}

bool RunUntil(asio::io_context& io, const std::function<bool()>& is_done) {
  const auto until = std::chrono::steady_clock::now() + kLongestRun;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    io.restart();
    io.run_one_for(kStep);
  }
  return true;
}

void RunFor(asio::io_context& io, std::int64_t ms) {
  io.restart();
  io.run_for(std::chrono::milliseconds(ms));
}

std::string SeenRequest::Field(const std::string& name) const {
  const std::string key = "\r\n" + name + ": ";
  const std::size_t at = head.find(key);
  if (at == std::string::npos) return "(none)";
  const std::size_t begin = at + key.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

class ScriptedUpstream::Impl : public std::enable_shared_from_this<ScriptedUpstream::Impl> {
 public:
  Impl(asio::io_context& io, Script script, const Endpoint& endpoint)
      : script_(std::move(script)),
        acceptor_(io, tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port)) {}

  class Peer : public UpstreamPeer, public std::enable_shared_from_this<Peer> {
   public:
    Peer(std::shared_ptr<Impl> owner, tcp::socket socket)
        : owner_(std::move(owner)), socket_(std::move(socket)) {}

    void Write(const std::string& bytes) override {
      if (is_ended_) return;
      held_ += bytes;
      if (!owner_->is_silent_) SendHeld();
    }
    bool IsEnded() const override { return is_ended_; }
    void Close() override {
      is_ended_ = true;
      if (owner_->is_silent_) return owner_->closing_.push_back(shared_from_this());
      error_code ec;
      socket_.close(ec);
    }
    void EndSilence() {
      SendHeld();
      if (is_ended_) Close();
    }
    void Reset() override {
      error_code ec;
      socket_.set_option(asio::socket_base::linger(true, 0), ec);
      Close();
    }

    void Read() {
      socket_.async_read_some(asio::buffer(chunk_),
                              [self = shared_from_this()](error_code ec, std::size_t n) {
                                if (self->is_ended_) return;
                                if (ec) {
                                  ++self->owner_->closed_by_peer_;
                                  return self->Close();
                                }
                                self->text_.append(self->chunk_.data(), n);
                                self->TakeRequests();
                                if (!self->is_ended_) self->Read();
                              });
    }

   private:
    void SendHeld() {
      error_code ec;
      asio::write(socket_, asio::buffer(held_), ec);
      held_.clear();
    }

    void TakeRequests() {
      while (!is_ended_) {
        const std::size_t end = text_.find("\r\n\r\n");
        if (end == std::string::npos) return;
        SeenRequest request;
        request.head = text_.substr(0, end + 4);
        const std::string length = request.Field("Content-Length");
        const std::size_t n = length == "(none)" ? 0 : std::strtoul(length.c_str(), nullptr, 10);
        if (text_.size() < request.head.size() + n) return;
        request.body = text_.substr(request.head.size(), n);
        text_.erase(0, request.head.size() + n);
        owner_->seen_.push_back(request);
        owner_->script_(request, shared_from_this());
      }
    }

    std::shared_ptr<Impl> owner_;
    tcp::socket socket_;
    std::array<char, 4096> chunk_;
    std::string text_;
    std::string held_;  // Written while the upstream was silent.
    bool is_ended_ = false;
  };

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
      if (ec) return;
      ++self->connections_;
      const auto peer = std::make_shared<Peer>(self, std::move(socket));
      self->peers_.push_back(peer);
      peer->Read();
      self->Accept();
    });
  }

  void SetSilent(bool is_silent) {
    if (!std::exchange(is_silent_, is_silent) || is_silent) return;
    for (const auto& it : peers_) {
      const auto peer = it.lock();
      if (peer) peer->EndSilence();
    }
    closing_.clear();
  }

  void Crash() {
    is_silent_ = false;
    closing_.clear();
    error_code ec;
    acceptor_.close(ec);
    for (const auto& it : peers_) {
      const auto peer = it.lock();
      if (peer && !peer->IsEnded()) peer->Reset();
    }
    peers_.clear();
  }

  Script script_;
  tcp::acceptor acceptor_;
  std::vector<SeenRequest> seen_;
  std::vector<std::weak_ptr<Peer>> peers_;
  std::vector<std::shared_ptr<Peer>> closing_;  // Once the upstream is not silent.
  int connections_ = 0;
  int closed_by_peer_ = 0;
  bool is_silent_ = false;
};

ScriptedUpstream::ScriptedUpstream(asio::io_context& io, Script script, const Endpoint& endpoint)
    : impl_(std::make_shared<Impl>(io, std::move(script), endpoint)) {
  impl_->Accept();
}
ScriptedUpstream::~ScriptedUpstream() {
  impl_->closing_.clear();
  error_code ec;
  impl_->acceptor_.close(ec);
}
Endpoint ScriptedUpstream::endpoint() const {
  const auto local = impl_->acceptor_.local_endpoint();
  return {local.address().to_string(), local.port()};
}
const std::vector<SeenRequest>& ScriptedUpstream::seen() const { return impl_->seen_; }
int ScriptedUpstream::connections() const { return impl_->connections_; }
void ScriptedUpstream::Crash() { impl_->Crash(); }
void ScriptedUpstream::SetSilent(bool is_silent) { impl_->SetSilent(is_silent); }
int ScriptedUpstream::closed_by_peer() const { return impl_->closed_by_peer_; }

TestCaller::TestCaller(asio::io_context& io, std::uint16_t port)
    : TestCaller(io, Endpoint{"127.0.0.1", port}) {}

TestCaller::TestCaller(asio::io_context& io, const Endpoint& endpoint, const std::string& from)
    : io_(io), socket_(std::make_shared<tcp::socket>(io)) {
  error_code ec;
  if (!from.empty()) {
    socket_->open(tcp::v4(), ec);
    socket_->bind(tcp::endpoint(asio::ip::make_address(from), 0), ec);
  }
  socket_->connect(tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port), ec);
  is_connected_ = !ec;
  if (is_connected_) Read();
}

void TestCaller::Send(const std::string& bytes) {
  error_code ec;
  asio::write(*socket_, asio::buffer(bytes), ec);
}

void TestCaller::Read() {
  const auto chunk = std::make_shared<std::array<char, 4096>>();
  socket_->async_read_some(asio::buffer(*chunk),
                           [this, chunk, received = received_, is_ended = is_ended_,
                            was_reset = was_reset_](error_code ec, std::size_t n) {
                             if (ec) {
                               *is_ended = true;
                               *was_reset = ec == asio::error::connection_reset;
                               return;
                             }
                             received->append(chunk->data(), n);
                             Read();
                           });
}

bool TestCaller::AwaitText(const std::string& text) {
  RunUntil(io_, [&] { return *is_ended_ || received_->find(text) != std::string::npos; });
  return received_->find(text) != std::string::npos;
}

bool TestCaller::AwaitEnd() {
  return RunUntil(io_, [&] { return *is_ended_; });
}

void TestCaller::Close() {
  error_code ec;
  socket_->close(ec);
}

}  // namespace junctionrail::testing
