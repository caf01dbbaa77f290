#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 16 << 10;
constexpr int kBacklog = 256;
constexpr std::size_t kMaxLine = 64 << 10;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &in.sin_addr);
  return in;
}

bool EqualsNoCase(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strncasecmp(a.c_str(), b.c_str(), a.size()) == 0;
}

void SendAtOnce(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  const auto since = std::chrono::steady_clock::now() - start;
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::Field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (EqualsNoCase(key, name)) return value;
  }
  return "";
}

std::string Message::Method() const { return start_line.substr(0, start_line.find(' ')); }

std::string Message::Target() const {
  const std::size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int Message::Status() const {
  constexpr std::size_t kBegin = 9;
  constexpr std::size_t kDigits = 3;
  if (start_line.compare(0, kBegin, "HTTP/1.1 ") != 0) return 0;
  const std::string code = start_line.substr(kBegin, start_line.find(' ', kBegin) - kBegin);
  const bool is_code =
      code.size() == kDigits &&
      std::all_of(code.begin(), code.end(), [](unsigned char c) { return c >= '0' && c <= '9'; });
  const int status = is_code ? std::atoi(code.c_str()) : 0;
  return status >= 100 && status <= 599 ? status : 0;
}

const char* NameOf(ReadEnd end) {
  switch (end) {
    case ReadEnd::kWhole:
      return "whole";
    case ReadEnd::kClosed:
      return "closed";
    case ReadEnd::kCutShort:
      return "cut_short";
    case ReadEnd::kReset:
      return "reset";
    case ReadEnd::kNoMessage:
      return "no_message";
    case ReadEnd::kTimeout:
      return "timeout";
  }
  return "timeout";
}

Connection::~Connection() { Close(); }

void Connection::Close() {
  if (descriptor_ < 0) return;
  // Bytes that nobody read would turn the close into a reset.
  shutdown(descriptor_, SHUT_WR);
  char rest[kReadBytes];
  while (recv(descriptor_, rest, sizeof(rest), MSG_DONTWAIT) > 0) {
  }
  close(descriptor_);
  descriptor_ = -1;
}

void Connection::Reset() {
  if (descriptor_ < 0) return;
  const linger at_once{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(descriptor_);
  descriptor_ = -1;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::AwaitBytes(std::int64_t timeout_ms) {
  if (!buffer_.empty()) return true;
  pollfd waited{descriptor_, POLLIN, 0};
  return poll(&waited, 1, static_cast<int>(timeout_ms)) > 0;
}

ReadEnd Connection::ReadMore(std::int64_t until) {
  pollfd waited{descriptor_, POLLIN, 0};
  const std::int64_t left = std::max<std::int64_t>(0, until - NowMs());
  if (poll(&waited, 1, static_cast<int>(left)) == 0) return ReadEnd::kTimeout;
  char bytes[kReadBytes];
  const ssize_t n = recv(descriptor_, bytes, sizeof(bytes), 0);
  if (n < 0) return ReadEnd::kReset;
  if (n == 0) return ReadEnd::kClosed;
  buffer_.append(bytes, static_cast<std::size_t>(n));
  return ReadEnd::kWhole;
}

ReadEnd Connection::Fill(std::size_t n, std::int64_t until) {
  while (buffer_.size() < n) {
    const ReadEnd end = ReadMore(until);
    if (end == ReadEnd::kClosed) return ReadEnd::kCutShort;
    if (end != ReadEnd::kWhole) return end;
  }
  return ReadEnd::kWhole;
}

ReadEnd Connection::ReadLine(std::string* line, std::int64_t until) {
  std::size_t at = buffer_.find("\r\n");
  while (at == std::string::npos) {
    if (buffer_.size() > kMaxLine) return ReadEnd::kNoMessage;
    const bool is_empty = buffer_.empty();
    const ReadEnd end = ReadMore(until);
    if (end == ReadEnd::kClosed && !is_empty) return ReadEnd::kCutShort;
    if (end != ReadEnd::kWhole) return end;
    at = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, at);
  buffer_.erase(0, at + 2);
  return ReadEnd::kWhole;
}

ReadEnd Connection::ReadBody(Kind kind, Message* message, std::int64_t until) {
  if (EqualsNoCase(message->Field("Transfer-Encoding"), "chunked")) {
    while (true) {
      std::string line;
      ReadEnd end = ReadLine(&line, until);
      if (end != ReadEnd::kWhole) return end == ReadEnd::kClosed ? ReadEnd::kCutShort : end;
      const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
      end = Fill(n + 2, until);
      if (end != ReadEnd::kWhole) return end;
      message->body += buffer_.substr(0, n);
      buffer_.erase(0, n + 2);
      if (n == 0) return ReadEnd::kWhole;
    }
  }
  const std::string length = message->Field("Content-Length");
  if (!length.empty()) {
    const std::size_t n = std::strtoul(length.c_str(), nullptr, 10);
    const ReadEnd end = Fill(n, until);
    if (end != ReadEnd::kWhole) return end;
    message->body = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return ReadEnd::kWhole;
  }
  if (kind == Kind::kRequest) return ReadEnd::kWhole;
  // It ends with its connection.
  ReadEnd end = ReadEnd::kWhole;
  while (end == ReadEnd::kWhole) end = ReadMore(until);
  message->body = std::exchange(buffer_, {});
  return end == ReadEnd::kClosed ? ReadEnd::kWhole : end;
}

ReadEnd Connection::Read(Kind kind, Message* message, std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  *message = Message();
  ReadEnd end = ReadLine(&message->start_line, until);
  if (end != ReadEnd::kWhole) return end;
  if (kind == Kind::kAnswer && message->Status() == 0) return ReadEnd::kNoMessage;
  while (true) {
    std::string line;
    end = ReadLine(&line, until);
    if (end != ReadEnd::kWhole) return end == ReadEnd::kClosed ? ReadEnd::kCutShort : end;
    if (line.empty()) return ReadBody(kind, message, until);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return ReadEnd::kNoMessage;
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    message->fields.emplace_back(line.substr(0, colon),
                                 begin == std::string::npos ? "" : line.substr(begin));
  }
}

ReadEnd Connection::ReadRequest(Message* request, std::int64_t timeout_ms) {
  return Read(Kind::kRequest, request, timeout_ms);
}

ReadEnd Connection::ReadAnswer(Message* answer, std::int64_t timeout_ms) {
  return Read(Kind::kAnswer, answer, timeout_ms);
}

std::unique_ptr<Connection> Connect(const Address& to, std::int64_t timeout_ms) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return nullptr;
  const sockaddr_in in = ToSocketAddress(to);
  const bool is_open = connect(descriptor, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) == 0;
  pollfd waited{descriptor, POLLOUT, 0};
  const bool is_over = is_open || poll(&waited, 1, static_cast<int>(timeout_ms)) == 1;
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!is_over || error != 0) {
    close(descriptor);
    return nullptr;
  }
  const int is_blocking = 0;
  // Back to blocking mode: reads are awaited with poll.
  if (ioctl(descriptor, FIONBIO, &is_blocking) != 0) {
    close(descriptor);
    return nullptr;
  }
  SendAtOnce(descriptor);
  return std::make_unique<Connection>(descriptor);
}

struct Server::State {
  int descriptor = -1;
  Serve serve;
  std::atomic<bool> is_stopped{false};
};

Server::Server(const Address& address, Serve serve) : state_(std::make_shared<State>()) {
  state_->serve = std::move(serve);
  state_->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(state_->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in in = ToSocketAddress(address);
  const bool is_open =
      bind(state_->descriptor, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) == 0 &&
      listen(state_->descriptor, kBacklog) == 0;
  if (!is_open) throw std::runtime_error(address.ToString() + ": " + std::strerror(errno));
  std::thread([state = state_] {
    while (!state->is_stopped) {
      const int descriptor = accept4(state->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) continue;
      if (state->is_stopped) {
        close(descriptor);
        break;
      }
      SendAtOnce(descriptor);
      std::thread([state, descriptor] {
        Connection connection(descriptor);
        state->serve(connection);
      }).detach();
    }
    close(state->descriptor);
  }).detach();
}

void Server::Stop() {
  if (state_->is_stopped.exchange(true)) return;
  shutdown(state_->descriptor, SHUT_RDWR);
}

std::string Answer(int status, const std::string& fields, const std::string& body) {
  const char* reason = status == 200 ? "OK" : status == 404 ? "Not Found" : "Other";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
