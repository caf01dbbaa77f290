#include "client_crowd.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "loopback.h"

namespace junctionrail::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 64 << 10;
constexpr std::size_t kKeptResponseBytes = 2048;
constexpr DurationMs kSampleMs = 10;
// Without a byte for so long, the clients have sent all that the process takes.
constexpr DurationMs kSettledMs = 700;
constexpr DurationMs kLongestSendMs = 30000;

// In KiB, as the kernel tells; 0 if the process has ended.
std::size_t StatusKiB(pid_t process, const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(field + ":", 0) == 0) return std::stoul(line.substr(field.size() + 1));
  }
  return 0;
}

std::size_t CountDescriptors(pid_t process) {
  std::error_code ec;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd", ec);
  return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

// The kernel's table has IPv4 addresses as the hexadecimal number that they are in memory.
std::string TableAddress(const std::string& address) {
  in_addr parsed{};
  inet_pton(AF_INET, address.c_str(), &parsed);
  char text[9];
  std::snprintf(text, sizeof(text), "%08X", parsed.s_addr);
  return text;
}

// In the sockets whose local address it is.
std::size_t UnreadBytes(const std::string& address) {
  constexpr char kEstablished[] = "01";
  const std::string local = TableAddress(address) + ":";
  std::ifstream file("/proc/self/net/tcp");
  std::string line;
  std::size_t bytes = 0;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number, own, remote, state, queues;
    fields >> number >> own >> remote >> state >> queues;
    const bool is_counted = own.rfind(local, 0) == 0 && state == kEstablished;
    if (is_counted) bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return bytes;
}

}  // namespace

UsageMonitor::UsageMonitor(asio::io_context& io, pid_t process, std::string address)
    : process_(process), address_(std::move(address)), timer_(io) {
  Sample();
  timer_.Every(kSampleMs, [this] { Sample(); });
}

void UsageMonitor::Sample() {
  const std::size_t resident = StatusKiB(process_, "VmRSS") << 10;
  peak_.memory_bytes = std::max(
      {peak_.memory_bytes, resident + UnreadBytes(address_), StatusKiB(process_, "VmHWM") << 10});
  peak_.descriptors = std::max(peak_.descriptors, CountDescriptors(process_));
}

ClientPayload AnnouncedBody(const std::string& head, std::size_t bytes, std::size_t announced) {
  ClientPayload payload;
  payload.head = head + "Content-Length: " + std::to_string(announced) + "\r\n\r\n";
  payload.piece = std::string(kPieceBytes, 'x');
  payload.pieces = bytes / kPieceBytes;
  payload.tail = std::string(bytes % kPieceBytes, 'x');
  return payload;
}

ClientPayload UnfinishedChunkedBody(const std::string& head, std::size_t bytes) {
  ClientPayload payload;
  payload.head = head + "Transfer-Encoding: chunked\r\n\r\n";
  payload.piece = "10000\r\n" + std::string(kPieceBytes, 'x') + "\r\n";
  payload.pieces = bytes / kPieceBytes;
  return payload;
}

class ClientCrowd::Client : public std::enable_shared_from_this<Client> {
 public:
  explicit Client(asio::io_context& io) : socket_(io) {}

  void Connect(const Endpoint& endpoint, bool reads) {
    error_code ec;
    socket_.connect(tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port), ec);
    if (ec) return End();
    socket_.non_blocking(true, ec);
    if (reads) Read();
  }

  void Begin(std::shared_ptr<const ClientPayload> payload, bool pauses) {
    payload_ = std::move(payload);
    pauses_ = pauses;
    sent_pieces_ = 0;
    is_tail_sent_ = false;
    Write(payload_->head);
  }

  // The next piece, if it is due.
  void Continue() {
    if (is_writing_ || is_ended_ || !payload_ || is_tail_sent_) return;
    const bool is_last = sent_pieces_ == payload_->pieces;
    is_tail_sent_ = is_last;
    if (!is_last) ++sent_pieces_;
    const std::string& next = is_last ? payload_->tail : payload_->piece;
    if (!next.empty()) Write(next);
  }

  void End() {
    is_ended_ = true;
    error_code ec;
    socket_.close(ec);
  }

  bool is_ended() const { return is_ended_; }
  bool is_writing() const { return is_writing_ && !is_ended_; }
  bool is_done() const { return is_ended_ || (is_tail_sent_ && !is_writing_); }
  std::size_t moved_bytes() const { return moved_bytes_; }
  const std::string& received() const { return received_; }

 private:
  // `data` belongs to the payload.
  void Write(std::string_view data) {
    is_writing_ = true;
    socket_.async_write_some(
        asio::buffer(data.data(), data.size()),
        [self = shared_from_this(), data, payload = payload_](error_code ec, std::size_t n) {
          self->moved_bytes_ += n;
          // What was answered may still be read.
          if (ec) {
            self->is_tail_sent_ = true;
            self->is_writing_ = false;
            return;
          }
          if (n < data.size()) return self->Write(data.substr(n));
          self->is_writing_ = false;
          if (!self->pauses_) self->Continue();
        });
  }

  void Read() {
    socket_.async_read_some(asio::buffer(buf_),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              if (self->is_ended_) return;
                              if (ec) return self->End();
                              self->moved_bytes_ += n;
                              if (self->received_.size() < kKeptResponseBytes)
                                self->received_.append(self->buf_.data(), n);
                              self->Read();
                            });
  }

  tcp::socket socket_;
  std::shared_ptr<const ClientPayload> payload_;
  std::size_t sent_pieces_ = 0;
  std::size_t moved_bytes_ = 0;  // Sent and received.
  bool pauses_ = false;          // After each piece.
  bool is_tail_sent_ = false;
  bool is_writing_ = false;
  bool is_ended_ = false;
  std::array<char, 4096> buf_;
  std::string received_;
};

ClientCrowd::ClientCrowd(asio::io_context& io, const Endpoint& endpoint, std::size_t size,
                         bool reads)
    : io_(io) {
  for (std::size_t n = 0; n < size; ++n) {
    clients_.push_back(std::make_shared<Client>(io));
    clients_.back()->Connect(endpoint, reads);
  }
}

ClientCrowd::~ClientCrowd() { Leave(); }

void ClientCrowd::Send(const ClientPayload& payload) {
  const auto shared = std::make_shared<const ClientPayload>(payload);
  for (const auto& it : clients_) it->Begin(shared, false);
  SettleAfterWrites();
}

void ClientCrowd::SendInRounds(const ClientPayload& payload) {
  const auto shared = std::make_shared<const ClientPayload>(payload);
  for (const auto& it : clients_) it->Begin(shared, true);
  SettleAfterWrites();
  // The head was the first piece, and the tail is the last.
  for (std::size_t n = 0; n <= payload.pieces; ++n) {
    for (const auto& it : clients_) it->Continue();
    const auto is_round_over = [this] {
      return std::none_of(clients_.begin(), clients_.end(),
                          [](const auto& it) { return it->is_writing(); });
    };
    const TimeMs until = MonotonicMs() + kSettledMs;
    RunUntil(io_, [&] { return is_round_over() || MonotonicMs() >= until; });
  }
  SettleAfterWrites();
}

void ClientCrowd::SendInTurn(const ClientPayload& payload, DurationMs pause_ms) {
  const auto shared = std::make_shared<const ClientPayload>(payload);
  for (const auto& it : clients_) {
    it->Begin(shared, false);
    RunFor(io_, pause_ms);
  }
  SettleAfterWrites();
}

void ClientCrowd::SettleAfterWrites() {
  std::size_t moved = 0;
  const TimeMs until = MonotonicMs() + kLongestSendMs;
  while (MonotonicMs() < until) {
    RunFor(io_, kSettledMs);
    std::size_t now_moved = 0;
    for (const auto& it : clients_) now_moved += it->moved_bytes();
    if (std::exchange(moved, now_moved) == now_moved) return;
  }
}

void ClientCrowd::Leave() {
  for (const auto& it : clients_) it->End();
  RunFor(io_, kSampleMs);
}

std::size_t ClientCrowd::CountEnded() const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(),
                                                [](const auto& it) { return it->is_ended(); }));
}

std::size_t ClientCrowd::CountAnswered(const std::string& text) const {
  return static_cast<std::size_t>(std::count_if(
      clients_.begin(), clients_.end(),
      [&text](const auto& it) { return it->received().find(text) != std::string::npos; }));
}

}  // namespace junctionrail::testing
